package failover

import (
	"fmt"
	"slices"
	"time"
)

// checker checks the safety rules against what the simulated instances, gateways and the platform do. It doesn't look at the
// manager. Logs that share an entry share all entries before it.
type checker struct {
	violations []string
	answers    map[string]map[int]bool     // by service: writes that an instance has answered
	answeredAt map[string]map[Position]int // by service: which write was answered at a position
	acks       map[string]int              // by service: writes acknowledged to a client
	last       map[string]lastAck          // by service: the furthest write acknowledged to a client
	promotes   map[string][]promotion      // by service
	calls      map[string][]*sentCall      // by service
	ackedAt    map[string]time.Duration    // by service
	gap        map[string]time.Duration    // by service: longest time without an acknowledgement, for scenarios
}

type promotion struct {
	at time.Duration
	id string
}

type lastAck struct {
	position Position
	write    int
}

type sentCall struct {
	at     time.Duration
	target string
	fence  uint64
	acted  bool // it can't act any more
}

func newChecker() *checker {
	return &checker{
		answers: map[string]map[int]bool{}, answeredAt: map[string]map[Position]int{}, acks: map[string]int{},
		last: map[string]lastAck{}, promotes: map[string][]promotion{}, calls: map[string][]*sentCall{},
		ackedAt: map[string]time.Duration{}, gap: map[string]time.Duration{},
	}
}

func (c *checker) addViolation(now time.Duration, rule, format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v %s: %s", now, rule, fmt.Sprintf(format, values...)))
}

// answered records that an instance has answered a commit. What an old primary answers after a promote is lost when it steps down: no
// client may be told of its success, which rule ONE checks.
func (c *checker) answered(at *database, position Position, number int) {
	if made := c.promotes[at.service]; len(made) > 0 && made[len(made)-1].id != at.id {
		return
	}
	if c.answers[at.service] == nil {
		c.answers[at.service], c.answeredAt[at.service] = map[int]bool{}, map[Position]int{}
	}
	c.answers[at.service][number] = true
	if other, taken := c.answeredAt[at.service][position]; taken && other != number {
		c.addViolation(at.world.now, "PLACE", "two commits at %v of %s", position, at.service)
	}
	c.answeredAt[at.service][position] = number
}

// acknowledged records that a client has been told of the success of a write, and checks rule ONE.
func (c *checker) acknowledged(w *world, at *database, committed time.Duration, position Position, number int) {
	service := at.service
	if last, any := c.last[service]; !any || last.position.Less(position) {
		c.last[service] = lastAck{position: position, write: number}
	}
	c.acks[service]++
	c.gap[service] = max(c.gap[service], w.now-c.ackedAt[service])
	c.ackedAt[service] = w.now
	if made := c.promotes[service]; len(made) > 0 && made[len(made)-1].at < committed && made[len(made)-1].id != at.id {
		c.addViolation(w.now, "ONE", "%v acknowledged by %s after the promote of %s", position, at.id, made[len(made)-1].id)
	}
}

// promoted records a promote, and checks rule LOST.
func (c *checker) promoted(w *world, target *database) {
	has := map[int]bool{}
	for _, e := range target.log {
		has[e.write] = true
	}
	var missing []int
	for number := range c.answers[target.service] {
		if !has[number] {
			missing = append(missing, number)
		}
	}
	if w.options.sync > 0 && len(missing) > 0 {
		slices.Sort(missing)
		c.addViolation(w.now, "LOST", "%s promoted without %d acknowledged commits, such as write %d", target.id, len(missing), missing[0])
	}
	c.promotes[target.service] = append(c.promotes[target.service], promotion{at: w.now, id: target.id})
	for _, number := range missing {
		delete(c.answers[target.service], number)
	}
	if len(missing) > 0 {
		delete(c.last, target.service)
	}
	c.answeredAt[target.service] = map[Position]int{}
	for n, e := range target.log {
		c.answeredAt[target.service][Position{Term: e.term, Number: uint64(n + 1)}] = e.write
	}
}

// renamed records that the instance promoted last goes on under a new id.
func (c *checker) renamed(service, from, to string) {
	if made := c.promotes[service]; len(made) > 0 && made[len(made)-1].id == from {
		made[len(made)-1].id = to
	}
}

// read checks rule STALE when an instance runs a read for a gateway that may serve.
func (c *checker) read(w *world, g *gateway, at *database) {
	if !g.serves(at.service) || g.leaders[at.service].InstanceID != at.id {
		return
	}
	last, any := c.last[at.service]
	if !any {
		return
	}
	if n := int(last.position.Number); len(at.log) < n || at.log[n-1].write != last.write {
		c.addViolation(w.now, "STALE", "a read at %s misses write %d", at.id, last.write)
	}
}

// paused checks rule FREEZE when a replica is about to be paused by the primary controller.
func (c *checker) paused(w *world, service string) {
	for _, g := range w.gateways {
		if g.serves(service) {
			c.addViolation(w.now, "FREEZE", "a replica of %s is paused while %s serves", service, g.name)
			return
		}
	}
}

// called records a call that is sent, and checks rules INTENT and REPEAT.
func (c *checker) called(w *world, call PlatformCall) *sentCall {
	intent := w.committed[call.Service].Intent
	if intent == nil || intent.InstanceID != call.InstanceID {
		c.addViolation(w.now, "INTENT", "a call for %s leaves without its intent", call.InstanceID)
	}
	for _, earlier := range c.calls[call.Service] {
		voided := w.options.fenceChecked && earlier.fence < call.Fence
		if !earlier.acted && !voided && earlier.target != call.InstanceID {
			c.addViolation(w.now, "REPEAT", "a call for %s leaves while one for %s may act", call.InstanceID, earlier.target)
		}
	}
	sent := &sentCall{at: w.now, target: call.InstanceID, fence: call.Fence}
	c.calls[call.Service] = append(c.calls[call.Service], sent)
	return sent
}
