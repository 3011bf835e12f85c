package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/quorum"
)

func member(address string) quorum.Member { return quorum.Member{Address: address} }

func TestFinderStaysWithThePrimaryUntilItFails(t *testing.T) {
	is := is.New(t)
	search := newFinder([]string{"a", "b"})
	is.Equal(search.next(0), "a")
	search.answered(0, "a", []quorum.Member{member("a"), member("c")})
	is.Equal(search.next(time.Second), "a")
	search.failed(time.Second, "a", false)
	asked := map[string]bool{}
	for range 4 {
		asked[search.next(time.Second)] = true
	}
	is.Equal(asked, map[string]bool{"b": true, "c": true}) // the one that failed is left alone for a while
	asked = map[string]bool{}
	for range 3 {
		asked[search.next(time.Second+avoidFor)] = true
	}
	is.True(asked["a"])
}

func TestFinderFollowsWhereItIsSent(t *testing.T) {
	is := is.New(t)
	search := newFinder([]string{"a"})
	is.True(search.sentOn(0, "a", member("b"), nil))
	is.Equal(search.next(0), "b")
	is.True(search.sentOn(0, "b", member("c"), nil))
	is.True(!search.sentOn(0, "c", member("b"), nil)) // they don't agree: a pause
	is.Equal(search.next(0), "b")
	search.answered(0, "b", nil)
	is.True(search.sentOn(0, "b", member("c"), nil))
}

func TestFinderIsNotSentToOneThatJustFailed(t *testing.T) {
	is := is.New(t)
	search := newFinder([]string{"a", "b"})
	search.failed(0, "a", false)
	is.True(search.sentOn(time.Second, "b", member("a"), []quorum.Member{member("a"), member("b"), member("c")}))
	is.Equal(search.next(time.Second), "b") // which is to ask a
	is.True(search.relays(time.Second))
	search.answered(time.Second, "b", nil)
	is.Equal(search.next(2*time.Second), "b")
	later := time.Second + relayFor
	is.True(!search.relays(later))
	is.True(search.sentOn(later, "b", member("a"), nil))
	is.Equal(search.next(later), "a") // tried directly again

	search = newFinder([]string{"a", "b"})
	search.failed(0, "a", false)
	is.True(search.sentOn(0, "b", member("a"), nil))
	is.True(!search.sentOn(0, "b", member("a"), nil)) // it doesn't reach a either: a pause
	is.True(!search.relays(0))
}

// One that refuses connections is asked again soon: after a loss of power all processes start, and the first to be asked may not listen yet.
func TestFinderAsksAgainSoonWhereNobodyListens(t *testing.T) {
	is := is.New(t)
	search := newFinder([]string{"a", "b"})
	search.failed(0, "a", true)
	is.True(search.sentOn(refusedFor, "b", member("a"), nil))
	is.Equal(search.next(refusedFor), "a")
}

func TestFinderWithNobodyToAsk(t *testing.T) {
	is := is.New(t)
	is.Equal(newFinder(nil).next(0), "")
	search := newFinder([]string{"a"})
	search.failed(0, "a", false)
	is.Equal(search.next(0), "a") // better than nobody
}
