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

func (p *Picker) must(is *is.I, now time.Duration, tried ...string) string {
	chosen, found := p.Choose(now, all, tried)
	is.True(found)
	return chosen.ID
}

func TestOwnZoneWhileItIsNoBusier(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	is.Equal(p.must(is, 0), "near")
	p.ReadStarted("near")
	is.True(p.must(is, 0) != "near") // twice as busy
	p.ReadEnded(0, "near", Served, 5*ms)
	for range 40 {
		p.ReadStarted("near")
		p.ReadEnded(0, "near", Served, 80*ms)
		p.ReadStarted("far")
		p.ReadEnded(0, "far", Served, 5*ms)
		p.ReadStarted("third")
		p.ReadEnded(0, "third", Served, 30*ms)
	}
	is.Equal(p.must(is, 0), "far")
	is.Equal(p.must(is, 0, "far"), "third")
}

func TestNoneBeyondItsSlots(t *testing.T) {
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

func TestLeftAloneAfterWhatSpeaksAgainstIt(t *testing.T) {
	for _, one := range []struct {
		result      Result
		first, most time.Duration
	}{{Busy, busyRest, mostBusyRest}, {Lagging, laggingRest, mostLaggingRest}, {Failed, failedRest, mostFailedRest}} {
		is := is.New(t)
		p := newPicker()
		now := time.Duration(0)
		only := func(now time.Duration) bool { _, found := p.Choose(now, all, []string{"far", "third"}); return found }
		p.ReadStarted("near")
		p.ReadEnded(now, "near", one.result, 0)
		is.True(!only(now + one.first - ms))
		is.True(only(now + one.first))
		for range 12 {
			now += one.most
			p.ReadStarted("near")
			p.ReadEnded(now, "near", one.result, 0)
		}
		is.True(!only(now + one.most - ms))
		is.True(only(now + one.most))
		now += one.most
		p.ReadStarted("near")
		p.ReadEnded(now, "near", Served, ms)
		p.ReadStarted("near")
		p.ReadEnded(now, "near", one.result, 0)
		is.True(only(now + one.first)) // it has served meanwhile
	}
}

func TestGoneInstancesAreForgotten(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	p.ReadStarted("near")
	p.ReadStarted("far")
	p.ReadEnded(0, "far", Failed, 0)
	p.Retain([]feed.Instance{third})
	is.Equal(len(p.known), 1) // near still runs something
	p.ReadEnded(0, "near", Served, ms)
	p.Retain([]feed.Instance{third})
	is.Equal(len(p.known), 0)
}
