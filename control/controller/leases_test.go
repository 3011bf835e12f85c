package controller

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
)

const leaseDuration = 3 * time.Second

func version(sequence uint64) feed.Version { return feed.Version{Epoch: 1, Sequence: sequence} }

func watchRequest(id string, applied feed.Version) feed.WatchRequest {
	name, _, _ := strings.Cut(id, "#")
	return feed.WatchRequest{Gateway: id, Name: name, Applied: applied}
}

// A gateway's first request is answered after a while. An expire between request and answer must not drop the lease that the answer grants.
func TestExpireKeepsCurrentLeases(t *testing.T) {
	is := is.New(t)
	leases := newGatewayLeases(0, leaseDuration, disabledGuards{})
	now := 10 * time.Second
	leases.noteRequest(watchRequest("g#1", version(1)))
	leases.expire(now)
	leases.grant(now, watchRequest("g#1", version(1)))
	leases.expire(now + leaseDuration - 1)
	is.True(!leases.noneBehind(now+leaseDuration-1, version(2)))
	is.True(leases.noneBehind(now+leaseDuration-1, version(1)))
	is.True(leases.noneBehind(now+leaseDuration, version(2)))
	leases.expire(now + leaseDuration)
	is.Equal(len(leases.gateways), 0)
}

// Requests of an earlier process of a gateway may arrive late, also the one that says that it leaves.
func TestEarlierProcessDoesNotEndTheLeaseOfALaterOne(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		is := is.New(t)
		leases := newGatewayLeases(0, leaseDuration, disabledGuards{})
		now := 10 * time.Second
		leases.grant(now, watchRequest("g#2", version(1)))
		late := watchRequest("g#1", version(1))
		late.Leaving = leaving
		leases.noteRequest(late)
		is.True(!leases.noneBehind(now+time.Second, version(2)))
	}
}

func TestLeavingEndsTheLease(t *testing.T) {
	is := is.New(t)
	leases := newGatewayLeases(0, leaseDuration, disabledGuards{})
	now := 10 * time.Second
	leases.grant(now, watchRequest("g#1", version(1)))
	leave := watchRequest("g#1", version(1))
	leave.Leaving = true
	leases.noteRequest(leave)
	is.True(leases.noneBehind(now+time.Second, version(2)))
}

// A gateway that works by a table of a later epoch shows that this term is over, so leases may have been granted that aren't known here.
func TestNoFreezeIsClearedOnceALaterEpochIsSeen(t *testing.T) {
	is := is.New(t)
	leases := newGatewayLeases(0, leaseDuration, disabledGuards{})
	now := 10 * time.Second
	leases.grant(now, watchRequest("g#1", version(1)))
	leases.noteRequest(watchRequest("g#1", feed.Version{Epoch: 2, Sequence: 1}))
	is.True(!leases.noneBehind(now+time.Second, version(2)))
	is.True(!leases.noneBehind(now+time.Hour, version(2)))
}

func TestFreezeWaitsForLeasesOfEarlierTerms(t *testing.T) {
	is := is.New(t)
	leases := newGatewayLeases(time.Second, leaseDuration, disabledGuards{})
	is.True(!leases.noneBehind(time.Second+leaseDuration-1, version(1)))
	is.True(leases.noneBehind(time.Second+leaseDuration, version(1)))
}
