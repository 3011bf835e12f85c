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
	finder := newFinder([]string{"a", "b"})
	is.Equal(finder.next(0), "a")
	finder.answered(0, "a", []quorum.Member{member("a"), member("c")})
	is.Equal(finder.next(time.Second), "a")
	finder.failed(time.Second, "a", false)
	asked := map[string]bool{}
	for range 4 {
		asked[finder.next(time.Second)] = true
	}
	is.Equal(asked, map[string]bool{"b": true, "c": true}) // the one that failed is avoided for a while
	asked = map[string]bool{}
	for range 3 {
		asked[finder.next(time.Second+avoidFor)] = true
	}
	is.True(asked["a"])
}

func TestFinderFollowsRedirects(t *testing.T) {
	is := is.New(t)
	finder := newFinder([]string{"a"})
	is.True(finder.redirected(0, "a", member("b"), nil))
	is.Equal(finder.next(0), "b")
	is.True(finder.redirected(0, "b", member("c"), nil))
	is.True(!finder.redirected(0, "c", member("b"), nil)) // the controllers don't agree: a pause
	is.Equal(finder.next(0), "b")
	finder.answered(0, "b", nil)
	is.True(finder.redirected(0, "b", member("c"), nil))
}

func TestFinderAvoidsControllerThatJustFailed(t *testing.T) {
	is := is.New(t)
	finder := newFinder([]string{"a", "b"})
	finder.failed(0, "a", false)
	is.True(finder.redirected(time.Second, "b", member("a"), []quorum.Member{member("a"), member("b"), member("c")}))
	is.Equal(finder.next(time.Second), "b") // b relays to a
	is.True(finder.usesRelay(time.Second))
	finder.answered(time.Second, "b", nil)
	is.Equal(finder.next(2*time.Second), "b")
	later := time.Second + relayFor
	is.True(!finder.usesRelay(later))
	is.True(finder.redirected(later, "b", member("a"), nil))
	is.Equal(finder.next(later), "a") // directly again

	finder = newFinder([]string{"a", "b"})
	finder.failed(0, "a", false)
	is.True(finder.redirected(0, "b", member("a"), nil))
	is.True(!finder.redirected(0, "b", member("a"), nil)) // b doesn't reach a either: a pause
	is.True(!finder.usesRelay(0))
}

// A controller that refused a connection is asked again soon: after a power loss all processes start at the same time,
// and the first one asked may not listen yet.
func TestFinderRetriesRefusedControllerSoon(t *testing.T) {
	is := is.New(t)
	finder := newFinder([]string{"a", "b"})
	finder.failed(0, "a", true)
	is.True(finder.redirected(avoidRefusedFor, "b", member("a"), nil))
	is.Equal(finder.next(avoidRefusedFor), "a")
}

func TestFinderWithoutUsableControllers(t *testing.T) {
	is := is.New(t)
	is.Equal(newFinder(nil).next(0), "")
	finder := newFinder([]string{"a"})
	finder.failed(0, "a", false)
	is.Equal(finder.next(0), "a") // there is no other one
}
