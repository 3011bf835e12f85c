// Package routing chooses the instance at which a read of a service runs. It does no I/O, knows no clock, and decides nothing about what a read
// must see: that is proven at the instance (see package role).
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"eiderway/control/feed"
)

// Result is how a read ended at an instance.
type Result int

const (
	// Served: the instance ran it.
	Served Result = iota
	// Lagging: the instance's log lacked the position; nothing was run.
	Lagging
	// Busy: the instance had no room, or there was no connection to it.
	Busy
	// Failed: the connection broke or could not be made, or there was no answer in time.
	Failed
	// Inconclusive: nothing can be said of the instance.
	Inconclusive
)

const (
	// paceGain is the weight of the newest answer in an instance's pace: about the last dozen answers count.
	paceGain = 0.12
	// paceLeast is the pace of one that has not answered yet, so that it is tried.
	paceLeast = time.Millisecond
	// otherZone is how much busier an instance of another zone counts: bytes between zones are paid for.
	otherZone = 1.5
	// chance is the width of the chance in the choice: gateways that know the same must not all choose the same.
	chance = 0.2
	// An instance is left alone after a result that speaks against it, for longer each time in a row.
	busyRest, mostBusyRest       = 10 * time.Millisecond, 80 * time.Millisecond
	laggingRest, mostLaggingRest = 60 * time.Millisecond, 500 * time.Millisecond
	failedRest, mostFailedRest   = 250 * time.Millisecond, 4 * time.Second
)

// instance is what is known of one.
type instance struct {
	inFlight int
	pace     time.Duration // of its answers, of late
	rest     time.Duration // the last one
	until    time.Duration // it is left alone until then
	last     Result
}

// Picker chooses among the instances of one service.
type Picker struct {
	zone   string
	random *rand.Rand
	known  map[string]*instance // by instance id; Keep forgets those that are gone
}

// NewPicker makes a picker for a gateway in a zone.
func NewPicker(zone string, random *rand.Rand) *Picker {
	return &Picker{zone: zone, random: random, known: map[string]*instance{}}
}

// Choose picks the least busy of the candidates that haven't been tried and aren't left alone; one of the own zone as long as it is no busier.
func (p *Picker) Choose(now time.Duration, candidates []feed.Instance, tried []string) (feed.Instance, bool) {
	var best feed.Instance
	least := 0.0
	for _, candidate := range candidates {
		one := p.of(candidate.ID)
		full := candidate.Slots > 0 && one.inFlight >= candidate.Slots
		if full || now < one.until || slices.Contains(tried, candidate.ID) {
			continue
		}
		if busy := p.busyness(one, candidate); best.ID == "" || busy < least {
			best, least = candidate, busy
		}
	}
	return best, best.ID != ""
}

func (p *Picker) busyness(one *instance, candidate feed.Instance) float64 {
	busy := float64(one.inFlight+1) * float64(max(one.pace, paceLeast))
	if candidate.Zone != p.zone {
		busy *= otherZone
	}
	return busy * (1 + chance*(p.random.Float64()-0.5))
}

// ReadStarted notes that a read goes to an instance.
func (p *Picker) ReadStarted(id string) { p.of(id).inFlight++ }

// ReadEnded notes how it ended.
func (p *Picker) ReadEnded(now time.Duration, id string, result Result, took time.Duration) {
	one := p.of(id)
	one.inFlight = max(0, one.inFlight-1)
	switch result {
	case Served:
		one.pace += time.Duration(paceGain * float64(took-one.pace))
		one.rest = 0
	case Busy:
		one.leaveAlone(now, result, busyRest, mostBusyRest)
	case Lagging:
		one.leaveAlone(now, result, laggingRest, mostLaggingRest)
	case Failed:
		one.leaveAlone(now, result, failedRest, mostFailedRest)
	}
	one.last = result
}

// leaveAlone rests the instance: twice as long as the last time, if that was for the same result with nothing else between.
func (i *instance) leaveAlone(now time.Duration, why Result, least, most time.Duration) {
	if i.last != why || i.rest == 0 {
		i.rest = least
	} else if now >= i.until {
		i.rest = min(2*i.rest, most)
	}
	i.until = max(i.until, now+i.rest)
}

func (p *Picker) of(id string) *instance {
	one, found := p.known[id]
	if !found {
		one = &instance{}
		p.known[id] = one
	}
	return one
}

// Retain forgets instances that aren't among those present and have nothing under way.
func (p *Picker) Retain(present []feed.Instance) {
	for id, one := range p.known {
		isPresent := slices.ContainsFunc(present, func(instance feed.Instance) bool { return instance.ID == id })
		if !isPresent && one.inFlight == 0 {
			delete(p.known, id)
		}
	}
}
