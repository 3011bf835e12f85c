package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
)

const ms = time.Millisecond

var (
	near  = feed.Instance{ID: "near", Zone: "a", Slots: 4}
	far   = feed.Instance{ID: "far", Zone: "b", Slots: 4}
	third = feed.Instance{ID: "third", Zone: "c", Slots: 4}
	all   = []feed.Instance{near, far, third}
)

func newPicker() *Picker { return NewPicker("a", rand.New(rand.NewPCG(1, 1))) }

func (p *Picker) mustChoose(is *is.I, now time.Duration, tried ...string) string {
	chosen, found := p.Choose(now, all, tried)
	is.True(found)
	return chosen.ID
}

func TestOwnZoneIsPreferredUnlessItIsBusier(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	is.Equal(p.mustChoose(is, 0), "near")
	p.ReadStarted("near")
	is.True(p.mustChoose(is, 0) != "near") // near has twice the load
	p.ReadEnded(0, "near", Served, 5*ms)
	for range 40 {
		p.ReadStarted("near")
		p.ReadEnded(0, "near", Served, 80*ms)
		p.ReadStarted("far")
		p.ReadEnded(0, "far", Served, 5*ms)
		p.ReadStarted("third")
		p.ReadEnded(0, "third", Served, 30*ms)
	}
	is.Equal(p.mustChoose(is, 0), "far")
	is.Equal(p.mustChoose(is, 0, "far"), "third")
}

func TestNoInstanceIsChosenBeyondItsSlots(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	for range 3 * near.Slots {
		chosen, found := p.Choose(0, all, nil)
		is.True(found)
		p.ReadStarted(chosen.ID)
	}
	_, found := p.Choose(0, all, nil)
	is.True(!found)
}

func TestInstanceBacksOffAfterBusyLaggingOrFailed(t *testing.T) {
	for _, test := range []struct {
		result            Result
		shortest, longest time.Duration
	}{{Busy, busyBackoff, maxBusyBackoff}, {Lagging, laggingBackoff, maxLaggingBackoff}, {Failed, failedBackoff, maxFailedBackoff}} {
		is := is.New(t)
		p := newPicker()
		now := time.Duration(0)
		isChosen := func(now time.Duration) bool { _, found := p.Choose(now, all, []string{"far", "third"}); return found }
		p.ReadStarted("near")
		p.ReadEnded(now, "near", test.result, 0)
		is.True(!isChosen(now + test.shortest - ms))
		is.True(isChosen(now + test.shortest))
		for range 12 {
			now += test.longest
			p.ReadStarted("near")
			p.ReadEnded(now, "near", test.result, 0)
		}
		is.True(!isChosen(now + test.longest - ms))
		is.True(isChosen(now + test.longest))
		now += test.longest
		p.ReadStarted("near")
		p.ReadEnded(now, "near", Served, ms)
		p.ReadStarted("near")
		p.ReadEnded(now, "near", test.result, 0)
		is.True(isChosen(now + test.shortest)) // back to the shortest: it has served a read meanwhile
	}
}

func TestRetainDropsIdleInstancesThatAreGone(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	p.ReadStarted("near")
	p.ReadStarted("far")
	p.ReadEnded(0, "far", Failed, 0)
	p.Retain([]feed.Instance{third})
	is.Equal(len(p.states), 1) // near still has a read in flight
	p.ReadEnded(0, "near", Served, ms)
	p.Retain([]feed.Instance{third})
	is.Equal(len(p.states), 0)
}
