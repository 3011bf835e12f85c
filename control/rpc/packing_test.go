package rpc

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/configuration"
	"eiderway/control/feed"
)

// routes is a body as large as one with many routes, and as repetitive.
func routes(count int) []byte {
	var body bytes.Buffer
	for number := range count {
		fmt.Fprintf(&body, `{"name":"r-%d","routeClass":"primary","timeoutMs":1000,"targetService":"s%d"},`, number, number%30)
	}
	return body.Bytes()
}

func TestConfigurationTravelsPacked(t *testing.T) {
	is := is.New(t)
	body := routes(400)
	table := &feed.Table{ConfigurationNumber: 7, Configuration: body}
	shared := &packing{}
	for range 3 {
		answer := feed.WatchAnswer{Table: table}
		packed, err := shared.pack(&answer)
		is.NoErr(err)
		is.True(len(packed) > 0 && len(packed) < len(body)/8) // a configuration repeats itself
		is.True(answer.Table.Configuration == nil)            // it travels once
		is.True(bytes.Equal(table.Configuration, body))       // the table of others is untouched
		is.NoErr(unpack(&answer, packed))
		is.True(bytes.Equal(answer.Table.Configuration, body))
	}
	answer := feed.WatchAnswer{Table: &feed.Table{Configuration: routes(500)}}
	packed, err := shared.pack(&answer)
	is.NoErr(err)
	is.NoErr(unpack(&answer, packed))
	is.True(bytes.Equal(answer.Table.Configuration, routes(500))) // another one is packed anew
}

func TestSmallOrMissingConfigurationsAreLeftAsTheyAre(t *testing.T) {
	is := is.New(t)
	shared := &packing{}
	for _, table := range []*feed.Table{nil, {}, {Configuration: []byte("small")}} {
		answer := feed.WatchAnswer{Table: table}
		packed, err := shared.pack(&answer)
		is.NoErr(err)
		is.Equal(len(packed), 0)
		is.Equal(answer.Table, table)
		is.NoErr(unpack(&answer, packed))
	}
}

func TestBadPackingBreaksTheConnection(t *testing.T) {
	is := is.New(t)
	source := make([]byte, configuration.MaxBody+1)
	tooLong, err := (&packing{}).packedOf(source)
	is.NoErr(err)
	for _, packed := range [][]byte{[]byte("no stream"), tooLong} {
		answer := feed.WatchAnswer{Table: &feed.Table{}}
		is.True(errors.Is(unpack(&answer, packed), errBadFrame))
	}
	is.True(errors.Is(unpack(&feed.WatchAnswer{}, []byte("x")), errBadFrame))
}
