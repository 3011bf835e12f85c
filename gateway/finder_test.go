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
	search.answered("a", []quorum.Member{member("a"), member("c")})
	is.Equal(search.next(time.Second), "a")
	search.failed(time.Second, "a")
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
	search.answered("b", nil)
	is.True(search.sentOn(0, "b", member("c"), nil))
}

func TestFinderIsNotSentToOneThatJustFailed(t *testing.T) {
	is := is.New(t)
	search := newFinder([]string{"a", "b"})
	search.failed(0, "a")
	is.True(!search.sentOn(time.Second, "b", member("a"), []quorum.Member{member("a"), member("b"), member("c")}))
	is.True(search.next(time.Second) != "a")
	is.True(search.sentOn(avoidFor, "b", member("a"), nil))
	is.Equal(search.next(avoidFor), "a")
}

func TestFinderWithNobodyToAsk(t *testing.T) {
	is := is.New(t)
	is.Equal(newFinder(nil).next(0), "")
	search := newFinder([]string{"a"})
	search.failed(0, "a")
	is.Equal(search.next(0), "a") // better than nobody
}
