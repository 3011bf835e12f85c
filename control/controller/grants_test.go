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
	g := newGrants(0, leaseLength)
	now := 10 * time.Second
	g.ask(word("g#1", version(1)))
	g.expire(now)
	g.give(now, word("g#1", version(1)))
	g.expire(now + leaseLength - 1)
	is.True(!g.cleared(now+leaseLength-1, version(2)))
	is.True(g.cleared(now+leaseLength-1, version(1)))
	is.True(g.cleared(now+leaseLength, version(2)))
	g.expire(now + leaseLength)
	is.Equal(len(g.gateways), 0)
}
