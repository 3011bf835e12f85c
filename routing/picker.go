// Package routing chooses the instance at which a read of a service runs. It does no I/O, has no clock, and doesn't decide what a read
// must see: the instance itself checks that (see package role).
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"eiderway/control/feed"
)

// Result says how a read ended at an instance.
type Result int

const (
	// Served: the instance ran the read.
	Served Result = iota
	// Lagging: the instance's log had not reached the position; nothing was run.
	Lagging
	// Busy: the instance had no room, or there was no connection to it.
	Busy
	// Failed: the connection broke or could not be made, or there was no answer in time.
	Failed
	// Inconclusive: the result says nothing about the instance.
	Inconclusive
)

const (
	// latencyGain is the weight of the newest answer in an instance's average latency: about the last dozen answers count.
	latencyGain = 0.12
	// minLatency is the lowest latency that counts. It also stands for an instance that has not answered yet, so that it is tried.
	minLatency = time.Millisecond
	// otherZoneFactor multiplies the load of an instance in another zone: traffic between zones costs money.
	otherZoneFactor = 1.5
	// jitter is the width of the random variation of the loads: gateways with the same knowledge must not all choose the same instance.
	jitter = 0.2
	// An instance gets no reads for a while after it was busy, lagging or failed, for longer each time in a row.
	busyBackoff, maxBusyBackoff       = 10 * time.Millisecond, 80 * time.Millisecond
	laggingBackoff, maxLaggingBackoff = 60 * time.Millisecond, 500 * time.Millisecond
	failedBackoff, maxFailedBackoff   = 250 * time.Millisecond, 4 * time.Second
)

// instanceState is what the picker knows of an instance.
type instanceState struct {
	inFlight     int
	latency      time.Duration // moving average of its answers
	backoff      time.Duration // the last one
	backoffUntil time.Duration
	lastResult   Result
}

// Picker chooses among the instances of one service.
type Picker struct {
	zone   string
	random *rand.Rand
	states map[string]*instanceState // by instance id; Retain drops those that are gone
}

// NewPicker makes a picker for a gateway in a zone.
func NewPicker(zone string, random *rand.Rand) *Picker {
	return &Picker{zone: zone, random: random, states: map[string]*instanceState{}}
}

// Choose returns the least loaded of the candidates that haven't been tried, have a free slot and aren't backing off. It prefers the own
// zone (see otherZoneFactor).
func (p *Picker) Choose(now time.Duration, candidates []feed.Instance, tried []string) (feed.Instance, bool) {
	var best feed.Instance
	lowest := 0.0
	for _, candidate := range candidates {
		state := p.stateOf(candidate.ID)
		isFull := candidate.Slots > 0 && state.inFlight >= candidate.Slots
		if isFull || now < state.backoffUntil || slices.Contains(tried, candidate.ID) {
			continue
		}
		if load := p.load(state, candidate); best.ID == "" || load < lowest {
			best, lowest = candidate, load
		}
	}
	return best, best.ID != ""
}

func (p *Picker) load(state *instanceState, candidate feed.Instance) float64 {
	load := float64(state.inFlight+1) * float64(max(state.latency, minLatency))
	if candidate.Zone != p.zone {
		load *= otherZoneFactor
	}
	return load * (1 + jitter*(p.random.Float64()-0.5))
}

// ReadStarted notes that a read is sent to an instance.
func (p *Picker) ReadStarted(id string) { p.stateOf(id).inFlight++ }

// ReadEnded notes how a read ended at an instance.
func (p *Picker) ReadEnded(now time.Duration, id string, result Result, took time.Duration) {
	state := p.stateOf(id)
	state.inFlight = max(0, state.inFlight-1)
	switch result {
	case Served:
		state.latency += time.Duration(latencyGain * float64(took-state.latency))
		state.backoff = 0
	case Busy:
		state.backOff(now, result, busyBackoff, maxBusyBackoff)
	case Lagging:
		state.backOff(now, result, laggingBackoff, maxLaggingBackoff)
	case Failed:
		state.backOff(now, result, failedBackoff, maxFailedBackoff)
	}
	state.lastResult = result
}

// backOff keeps reads away from the instance for a while: twice as long as the last time, if the result before was the same.
func (i *instanceState) backOff(now time.Duration, result Result, shortest, longest time.Duration) {
	if i.lastResult != result || i.backoff == 0 {
		i.backoff = shortest
	} else if now >= i.backoffUntil {
		i.backoff = min(2*i.backoff, longest)
	}
	i.backoffUntil = max(i.backoffUntil, now+i.backoff)
}

func (p *Picker) stateOf(id string) *instanceState {
	state, found := p.states[id]
	if !found {
		state = &instanceState{}
		p.states[id] = state
	}
	return state
}

// Retain drops the state of instances that aren't present and have no read in flight.
func (p *Picker) Retain(present []feed.Instance) {
	for id, state := range p.states {
		isPresent := slices.ContainsFunc(present, func(instance feed.Instance) bool { return instance.ID == id })
		if !isPresent && state.inFlight == 0 {
			delete(p.states, id)
		}
	}
}
