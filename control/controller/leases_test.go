package controller

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
)

const leaseLength = 3 * time.Second

func version(sequence uint64) feed.Version { return feed.Version{Epoch: 1, Sequence: sequence} }

func word(id string, applied feed.Version) feed.WatchRequest {
	name, _, _ := strings.Cut(id, "#")
	return feed.WatchRequest{Gateway: id, Name: name, Applied: applied}
}

// A gateway's first question is answered after a while: what is forgotten in between must not be its lease.
func TestLeaseIsRemembered(t *testing.T) {
	is := is.New(t)
	g := newGatewayLeases(0, leaseLength, disabledGuards{})
	now := 10 * time.Second
	g.noteRequest(word("g#1", version(1)))
	g.expire(now)
	g.grant(now, word("g#1", version(1)))
	g.expire(now + leaseLength - 1)
	is.True(!g.noneBehind(now+leaseLength-1, version(2)))
	is.True(g.noneBehind(now+leaseLength-1, version(1)))
	is.True(g.noneBehind(now+leaseLength, version(2)))
	g.expire(now + leaseLength)
	is.Equal(len(g.gateways), 0)
}

// Words of an earlier process of a gateway may come late, also its goodbye.
func TestEarlierProcessDoesNotEndTheLeaseOfALaterOne(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		is := is.New(t)
		g := newGatewayLeases(0, leaseLength, disabledGuards{})
		now := 10 * time.Second
		g.grant(now, word("g#2", version(1)))
		late := word("g#1", version(1))
		late.Leaving = leaving
		g.noteRequest(late)
		is.True(!g.noneBehind(now+time.Second, version(2)))
	}
}

func TestGoodbyeEndsTheLease(t *testing.T) {
	is := is.New(t)
	g := newGatewayLeases(0, leaseLength, disabledGuards{})
	now := 10 * time.Second
	g.grant(now, word("g#1", version(1)))
	goodbye := word("g#1", version(1))
	goodbye.Leaving = true
	g.noteRequest(goodbye)
	is.True(g.noneBehind(now+time.Second, version(2)))
}

// A gateway that works by a table of a later epoch shows that this term is over.
func TestNothingIsClearedOnceALaterEpochIsSeen(t *testing.T) {
	is := is.New(t)
	g := newGatewayLeases(0, leaseLength, disabledGuards{})
	now := 10 * time.Second
	g.grant(now, word("g#1", version(1)))
	g.noteRequest(word("g#1", feed.Version{Epoch: 2, Sequence: 1}))
	is.True(!g.noneBehind(now+time.Second, version(2)))
	is.True(!g.noneBehind(now+time.Hour, version(2)))
}

func TestLeasesOfEarlierTermsAreWaitedFor(t *testing.T) {
	is := is.New(t)
	g := newGatewayLeases(time.Second, leaseLength, disabledGuards{})
	is.True(!g.noneBehind(time.Second+leaseLength-1, version(1)))
	is.True(g.noneBehind(time.Second+leaseLength, version(1)))
}
