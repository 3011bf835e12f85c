package simulation

import (
	"fmt"
	"time"

	"eiderway/control/failover"
)

// Rules that the judge knows, by the names of the operators' page.
const (
	ruleConfig = "CONFIG"
	ruleLost   = "LOST"
	ruleOne    = "ONE"
	ruleStale  = "STALE"
	ruleDrain  = "DRAIN"
	ruleAcks   = "Acks"
	ruleDuty   = "Duty"
	// Rules of tenants: whose key a statement came with, whom an instance was told, and how many operations there were.
	ruleRoute   = "ROUTE"
	ruleUnasked = "UNASKED"
	ruleQuota   = "QUOTA"
	// ruleAnswer: whoever can't settle a call says so before its caller gives up.
	ruleAnswer = "Answer"
	// ruleInvariant: what a process checks of itself holds.
	ruleInvariant = "Invariant"
	// ruleLinear: the history of orders and fetches is that of one register.
	ruleLinear = "linearizable"
)

// Break is a rule that was broken.
type Break struct {
	Rule string
	At   time.Duration
	Text string
}

func (b Break) String() string { return fmt.Sprintf("%.3fs %s: %s", b.At.Seconds(), b.Rule, b.Text) }

// Judge looks on from outside: it is told what operators, clients, gateways, instances and the platform saw.
type Judge struct {
	world  *World
	breaks []Break
	seen   map[string]bool // breaks that were reported: each is reported once

	served, busy, doubt int
	strangers           int             // statements that were refused for their keys
	writes              []time.Duration // moments of successes of writes
	replicaReads        []time.Duration // moments of reads at replicas

	services map[string]*serviceRecord
	gateways map[string]*gatewayRecord
	drains   map[string]drainRecord
	leaves   []*leaveRecord
	calls    []*sentCall
	register registerHistory
	calm     time.Duration // since when core and links have been calm; negative: they aren't
	lastRead readBack

	operations    map[string][]ranOperation // by tenant
	bindings      map[*order]*binding
	lastWithdrawn time.Duration // the longest after its key was taken away that a statement was sent that ran
	nearest       float64       // of the operations in a window to the limit, as a share of it
}

func newJudge(w *World) *Judge {
	return &Judge{
		world: w, seen: map[string]bool{}, services: map[string]*serviceRecord{},
		gateways: map[string]*gatewayRecord{}, drains: map[string]drainRecord{}, calm: -1,
		operations: map[string][]ranOperation{}, bindings: map[*order]*binding{},
	}
}

// broken reports a break; the same words once only.
func (j *Judge) broken(rule, text string) {
	if j.seen[rule+text] {
		return
	}
	j.seen[rule+text] = true
	j.breaks = append(j.breaks, Break{Rule: rule, At: j.world.now(), Text: text})
	j.world.note("JUDGE", rule+": "+text)
}

// watchEvery is how often the judge looks for what should have happened.
const watchEvery = 100 * time.Millisecond

// watch looks for acknowledgements that are overdue.
func (j *Judge) watch() {
	w := j.world
	switch {
	case !w.settled() || !w.linksCalm():
		j.calm = -1
	case j.calm < 0:
		j.calm = w.now()
	}
	j.lookForLateOrders()
	j.lookForLateLeaves()
	j.followLimits()
	w.schedule.after(watchEvery, j.watch)
}

// perRoute is added to the bound of an acknowledgement for each route of the order.
const perRoute = 3 * time.Millisecond

func (j *Judge) lookForLateOrders() {
	if j.calm < 0 {
		return
	}
	for _, one := range j.world.orders {
		if !one.open || one.late || !one.valid() || one.acked >= 0 {
			continue
		}
		since := max(j.calm, one.sent)
		if j.world.now()-since > j.world.plan.Bounds.Ack+time.Duration(one.routes)*perRoute {
			one.late = true
			j.broken(ruleAcks, fmt.Sprintf("%s has had no acknowledgement since %.1fs, in calm times", one, since.Seconds()))
		}
	}
}

// leaveRecord is an instance that says that it leaves.
type leaveRecord struct {
	instance *instance
	since    time.Duration
	late     bool
}

func (j *Judge) drainBegun(i *instance) {
	j.leaves = append(j.leaves, &leaveRecord{instance: i, since: j.world.now()})
}

func (j *Judge) lookForLateLeaves() {
	if j.calm < 0 {
		return
	}
	for _, one := range j.leaves {
		if one.late || one.instance.drainAckedAt > 0 || !one.instance.running || one.instance.frozen {
			continue
		}
		since := max(j.calm, one.since, one.instance.startedAt) // an instance that is back from a crash says it anew
		if j.world.now()-since > j.world.plan.Bounds.Ack {
			one.late = true
			j.broken(ruleAcks, one.instance.id+" has said that it leaves and has no acknowledgement, in calm times")
		}
	}
}

// wentUnanswered looks at a call whose caller has given up after a second of silence: a process that runs and could be
// reached all the time must have said something.
func (j *Judge) wentUnanswered(from string, target *machine) {
	w := j.world
	if !target.running || target.frozen || w.now()-target.lastTrouble <= 2*callWait {
		return
	}
	for _, way := range []*link{w.network.link(from, target.name), w.network.link(target.name, from)} {
		if way.cuts > 0 || w.now()-way.troubled <= 2*callWait {
			return
		}
	}
	conditions := w.network.conditions
	if conditions.Loss > 0 || conditions.Reorder > 0 {
		return
	}
	j.broken(ruleAnswer, target.name+" left a call of "+from+" unanswered for a second")
}

// drainRecord says when a machine acknowledged that an instance is draining or gone. It binds all, also where the machine that
// gave it was not in touch.
type drainRecord struct{ at time.Duration }

func (j *Judge) drainAcknowledged(i *instance) { j.noteGone(i) }
func (j *Judge) leaveAcknowledged(i *instance) { j.noteGone(i) }

func (j *Judge) noteGone(i *instance) {
	if _, known := j.drains[i.id]; !known {
		j.drains[i.id] = drainRecord{at: j.world.now()}
	}
}

// toldBroken takes what a process says of its own invariants: none may be broken, whatever fails.
func (j *Judge) toldBroken(by, text string) { j.broken(ruleInvariant, by+": "+text) }

// reached looks at a statement that reaches an instance.
func (j *Judge) reached(i *instance, one *statement) {
	if one.inside() {
		return // what a transaction does was begun with its first statement
	}
	record, drained := j.drains[i.id]
	if !drained || j.world.now()-record.at <= j.world.plan.Bounds.Drain {
		return
	}
	if one.gateway != nil && j.world.gatewayInTouch(one.gateway) {
		j.broken(ruleDrain, "a statement reached "+i.id+" too long after its draining was acknowledged")
	}
}

// sentCall is a call to the platform.
type sentCall struct {
	from     string
	call     failover.PlatformCall
	sent     time.Duration
	woken    bool // the sender was frozen or cut off just before
	arrived  time.Duration
	accepted bool
	effect   time.Duration // zero: none
}

// callSent looks at a call as it leaves: a fence has one holder, and whoever has lost the duty makes no calls.
func (j *Judge) callSent(from *machine, call failover.PlatformCall) *sentCall {
	now := j.world.now()
	sent := &sentCall{from: from.name, call: call, sent: now, woken: now-from.lastTrouble < j.world.plan.Bounds.ThawSlack}
	j.world.note(from.name, fmt.Sprintf("calls for %s to lead %s, fence %d", call.InstanceID, call.Service, call.Fence))
	for _, earlier := range j.calls {
		j.compareCalls(earlier, sent)
	}
	j.calls = append(j.calls, sent)
	return sent
}

// repeatSlack is how long after a promote took effect its caller may not know of it.
const repeatSlack = 1500 * time.Millisecond

func (j *Judge) compareCalls(earlier, sent *sentCall) {
	one, other := earlier.call, sent.call
	if one.Fence == other.Fence && one.Holder != other.Holder {
		j.broken(ruleDuty, fmt.Sprintf("fence %d was used by %s and by %s", one.Fence, one.Holder, other.Holder))
	}
	if one.Service != other.Service {
		return
	}
	if other.Fence < one.Fence && earlier.arrived > 0 && !sent.woken {
		j.broken(ruleDuty, fmt.Sprintf("%s calls with fence %d after %s called with %d", other.Holder, other.Fence, one.Holder, one.Fence))
	}
	same := one.InstanceID == other.InstanceID
	leader := j.world.service(one.Service).leader
	leads := leader.id == one.InstanceID && leader.primary && leader.running
	if same && leads && earlier.effect > 0 && sent.sent-earlier.effect > repeatSlack {
		j.broken(ruleDuty, fmt.Sprintf("%s is called to lead again though it has led since %.3fs", one.InstanceID, earlier.effect.Seconds()))
	}
}

func (j *Judge) callArrived(sent *sentCall)  { sent.arrived = j.world.now() }
func (j *Judge) callAccepted(sent *sentCall) { sent.accepted = true }

func (j *Judge) finish() []Break {
	j.judgeReadBack()
	j.judgeRegister()
	j.judgeQuota()
	return j.breaks
}
