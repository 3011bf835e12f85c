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

// routes returns a configuration body with this many routes, which is as repetitive as a real one.
func routes(count int) []byte {
	var body bytes.Buffer
	for number := range count {
		fmt.Fprintf(&body, `{"name":"r-%d","routeClass":"primary","timeoutMs":1000,"targetService":"s%d"},`, number, number%30)
	}
	return body.Bytes()
}

func TestLargeConfigurationIsPacked(t *testing.T) {
	is := is.New(t)
	body := routes(400)
	table := &feed.Table{ConfigurationNumber: 7, Configuration: body}
	shared := &packer{}
	for range 3 {
		answer := feed.WatchAnswer{Table: table}
		packed, err := shared.pack(&answer)
		is.NoErr(err)
		is.True(len(packed.Configuration) > 0 && len(packed.Configuration) < len(body)/8) // a configuration repeats itself
		is.True(answer.Table.Configuration == nil)                                        // it is sent only once
		is.True(bytes.Equal(table.Configuration, body))                                   // the shared table is unchanged
		is.NoErr(unpack(&answer, packed))
		is.True(bytes.Equal(answer.Table.Configuration, body))
	}
	answer := feed.WatchAnswer{Table: &feed.Table{Configuration: routes(500)}}
	packed, err := shared.pack(&answer)
	is.NoErr(err)
	is.NoErr(unpack(&answer, packed))
	is.True(bytes.Equal(answer.Table.Configuration, routes(500))) // another configuration is packed separately
}

func TestSmallOrMissingConfigurationsAreNotPacked(t *testing.T) {
	is := is.New(t)
	shared := &packer{}
	for _, table := range []*feed.Table{nil, {}, {Configuration: []byte("small")}} {
		answer := feed.WatchAnswer{Table: table}
		packed, err := shared.pack(&answer)
		is.NoErr(err)
		is.Equal(packed, packedParts{})
		is.Equal(answer.Table, table)
		is.NoErr(unpack(&answer, packed))
	}
}

func TestManyServicesArePacked(t *testing.T) {
	is := is.New(t)
	var services []feed.Service
	for number := range 300 {
		name := fmt.Sprintf("service%d", number)
		service := feed.Service{Name: name, Leader: feed.Leader{InstanceID: name + "-0", Term: 3}}
		for replica := range 3 {
			id := fmt.Sprintf("%s-%d", name, replica)
			service.Instances = append(service.Instances, feed.Instance{
				ID: id, Service: name, Address: fmt.Sprintf("10.1.%d.%d:8080", number, replica), Zone: "a", Slots: 7,
			})
		}
		services = append(services, service)
	}
	shared := &packer{}
	var first []byte
	for range 3 {
		answer := feed.WatchAnswer{Table: &feed.Table{Services: services}}
		packed, err := shared.pack(&answer)
		is.NoErr(err)
		is.True(answer.Table.Services == nil)
		is.True(len(packed.Services) < 25*len(services)*3) // each instance takes a few hundred bytes unpacked
		if first == nil {
			first = packed.Services
		}
		is.True(&first[0] == &packed.Services[0]) // packed only once
		is.NoErr(unpack(&answer, packed))
		is.Equal(answer.Table.Services, services)
	}
}

func TestInvalidPackedPartsAreBadFrames(t *testing.T) {
	is := is.New(t)
	tooLong, err := deflate(make([]byte, configuration.MaxBody+1))
	is.NoErr(err)
	for _, packed := range [][]byte{[]byte("no stream"), tooLong} {
		answer := feed.WatchAnswer{Table: &feed.Table{}}
		is.True(errors.Is(unpack(&answer, packedParts{Configuration: packed}), errBadFrame))
		is.True(errors.Is(unpack(&answer, packedParts{Services: packed}), errBadFrame))
	}
	is.True(errors.Is(unpack(&feed.WatchAnswer{}, packedParts{Configuration: []byte("x")}), errBadFrame))
}
