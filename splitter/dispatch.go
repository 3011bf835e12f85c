package splitter

// This file owns a txn's way from the queue to its final answer. It must never choose the member.

import (
	"cmp"
	"math"
	"slices"
)

// share is how many txns of late came, were sent, were answered in time (quick ones twice). It fades.
type share struct{ asked, sent, got, at float64 }

func (s *share) count(now, sent, got float64) {
	f := math.Exp((s.at - now) / shareSpan)
	s.asked, s.sent, s.got, s.at = s.asked*f+1, s.sent*f+sent, s.got*f+got, now
}

func (r *Router) end(t *txn) {
	if !t.ended {
		t.ended = true
		t.group.live--
		delete(r.txns, t.ID)
	}
}

// dispatch gives up what is too late and submits what can be, most value for the work first.
func (r *Router) dispatch(g *group) {
	for _, l := range r.ranked {
		q := slices.DeleteFunc(g.waiting[l], func(t *txn) bool {
			if !t.ended && r.tooLate(t) {
				r.giveUp(t)
			}
			return t.ended
		})
		for len(q) > 0 {
			// Reads leave newest first: when there are too many, the ones served are then served in time.
			i := 0
			if r.kinds[l].Need != NeedPrimary {
				i = len(q) - 1
			}
			n := r.choose(q[i])
			if n == nil {
				break
			}
			if t := q[i]; r.shed(t) {
				r.giveUp(t)
			} else {
				r.submit(t, n)
			}
			q = slices.Delete(q, i, i+1)
		}
		g.waiting[l] = q
	}
}

// shed tells whether a txn is one too many: so few were answered in time of late that sending all keeps
// queues full. It covers overload and shared slowness; it harms where failures have another cause.
func (r *Router) shed(t *txn) bool {
	s := t.group.shares[t.Need == NeedPrimary]
	f := math.Exp((s.at - r.host.Now()) / shareSpan)
	if t.IsRetry && s.asked*f > shareFree && t.LateValue < lateLeast && s.got < crowdShare*s.sent {
		return true // its first try has most likely used up its time
	}
	over := r.rng.Float64()*(s.asked*f+1) < (s.asked-shareLeast*s.got)*f-shareFree
	t.queued = t.queued || over
	return over
}

// last is when a txn is given up if it still waits: when its answer could not earn anything any more.
func (r *Router) last(t *txn) float64 {
	end := t.Deadline - 2*tick
	if r.onlyInTime(t) {
		end = min(end, t.arrived+t.SLA)
	}
	if t.ran > 0 && t.Effect == Referenced {
		end = min(end, t.ran+t.Window-2*tick)
	}
	return end
}

// onlyInTime tells whether a txn is wanted in time or not at all: a late answer earns nothing, or under half
// while many come too late, when the room it takes makes others late. It covers queues that only grow.
func (r *Router) onlyInTime(t *txn) bool {
	s := t.group.shares[t.Need == NeedPrimary]
	return t.LateValue == 0 || t.LateValue < lateLeast && s.sent > shareFree && s.got < crowdShare*s.sent
}

// tooLate tells whether a quick answer, or a usual one where room is short, is too late. A write never sent
// by half of its wait is declined, to turn elsewhere; it harms where a primary comes in the second half.
func (r *Router) tooLate(t *txn) bool {
	left := r.last(t) - r.host.Now()
	return left <= t.quick || t.cause == NoRoom && left <= t.work || t.tries == 0 && t.Need == NeedPrimary &&
		r.host.Now() >= t.arrived+heldShare*(t.Deadline-t.arrived)-2*tick
}

func (r *Router) submit(t *txn, n *node) {
	now := r.host.Now()
	until := t.Deadline
	if r.onlyInTime(t) {
		until = min(until, t.arrived+t.SLA)
	}
	// An answer overdue by far was lost, not late: in a third of its time the txn goes on, where a repeat does
	// no harm. It covers nodes and ways that lose answers; it repeats work at a node eight times as slow.
	third, usual := (until-now)/3, overdue*t.free
	harmless := t.Effect == Repeatable || t.Effect == Referenced && now+third+usual < cmp.Or(t.ran, now)+t.Window
	if harmless && third > usual {
		until = now + third
	}
	t.sentTo, t.sentAt, t.opened, t.cancelled = n, now, !n.hasOpenConnection(r), false
	n.idle = n.idle[:max(0, len(n.idle)-1)]
	t.tries++
	r.sent++
	t.group.live++
	n.inFlight = append(n.inFlight, t)
	r.host.Submit(t.ID, n.Node, until, func(res Result) { r.takeResult(t, n, res) })
}

// takeResult learns from the result of a submission, and the txn takes its next step.
func (r *Router) takeResult(t *txn, n *node, res Result) {
	now := r.clock()
	n.inFlight = slices.DeleteFunc(n.inFlight, func(x *txn) bool { return x == t })
	t.sentTo = nil
	t.group.live--
	if n.limit < 1 {
		n.notBefore = now + (1/n.limit-1)*res.Latency // a limit under one is a share of the time
	}
	if res.ProvedType > 0 {
		// A read that a replica turned away as a write is one. Against statements that hide their writes.
		t.Type, t.kind = res.ProvedType-1, r.kinds[res.ProvedType-1]
	}
	if !res.is(TimedOut, Broken, NoConn, Cancelled) { // these end a connection
		n.idle = append(n.idle, now)
	}
	if t.opened && t.sentAt >= r.stallEnd && res.is(Committed, TimedOut) {
		r.connectCost += paceGain * (max(0, res.Latency-t.work) - r.connectCost)
	}
	r.learn(t, n, res)
	if now < r.scarceUntil && len(n.inFlight) == 0 && res.Outcome != NoConn {
		n.idle = nil
		r.host.CloseIdle(n.Node)
	}
	defer r.dispatch(t.group)
	if res.Ended || t.ended {
		r.end(t)
		return
	}
	if t.ran == 0 && !res.is(Missed, Full, NoConn, Unsent) {
		t.ran, t.ranZone = t.sentAt, n.Zone
	}
	t.avoid = n
	if t.started || t.tries >= r.terms.MaxSubmissions || now >= r.last(t) || t.ran > 0 && t.Effect == OnceOnly {
		r.giveUp(t)
		return
	}
	wait := min(againMost, againFirst*math.Pow(2, float64(t.tries-1)))
	if n != t.group.primary || !res.is(Failed, NoConn) || now+wait > r.last(t) {
		r.requeue(t)
		return
	}
	r.host.After(now+wait, func() {
		if !t.ended {
			r.requeue(t)
			r.dispatch(t.group)
		}
	})
}

func (r *Router) requeue(t *txn) {
	q, i := t.group.waiting[t.Type], 0
	if t.Need != NeedPrimary {
		i = len(q)
	}
	t.group.waiting[t.Type] = slices.Insert(q, i, t)
}

// giveUp gives a txn its final answer at once. A decline says that trying again is harmless.
func (r *Router) giveUp(t *txn) {
	r.end(t)
	if t.queued {
		t.group.shares[t.Need == NeedPrimary].count(r.host.Now(), min(1, float64(t.tries)), 0)
	}
	if t.ran > 0 && t.Effect != Repeatable && !(t.Effect == Referenced && t.Scope == ScopeAll) {
		r.host.RollBack(t.ID)
		return
	}
	pause := 0.0
	if r.onlyInTime(t) && r.host.Now() > t.arrived+t.SLA/2 {
		pause = r.terms.MaxPause // no answer will be in time any more
	}
	if t.tries > 0 {
		t.cause = Tried
	}
	r.host.Count(Declined, t.cause)
	r.host.Decline(t.ID, pause)
}

func (r *Router) cancel(t *txn) {
	if r.terms.CanCancel && t.sentTo != nil && !t.cancelled {
		t.cancelled = true
		r.host.Cancel(t.ID)
	}
}
