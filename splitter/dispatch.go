package splitter

// This file takes a txn from the queue to its final answer. It must never choose the member.

import (
	"cmp"
	"math"
	"slices"
)

// recentCounts counts recent txns: those that arrived, were sent, and were answered in time (quick answers count twice). Counts fade.
type recentCounts struct{ arrived, sent, inTime, at float64 }

func (s *recentCounts) add(now, sent, inTime float64) {
	fade := math.Exp((s.at - now) / recentSpan)
	s.arrived, s.sent, s.inTime, s.at = s.arrived*fade+1, s.sent*fade+sent, s.inTime*fade+inTime, now
}

func (r *Router) finish(t *txn) {
	if !t.ended {
		t.ended = true
		t.group.active--
		delete(r.txns, t.ID)
	}
}

// dispatch gives up txns that are too late and submits those that can be, most value per SLA time first.
func (r *Router) dispatch(g *group) {
	for _, typ := range r.typesByValue {
		queue := slices.DeleteFunc(g.waiting[typ], func(t *txn) bool {
			if !t.ended && r.tooLate(t) {
				r.giveUp(t)
			}
			return t.ended
		})
		for len(queue) > 0 {
			// Reads are submitted newest first: when there are too many, those that are served are served in time.
			i := 0
			if r.types[typ].Need != NeedPrimary {
				i = len(queue) - 1
			}
			n := r.choose(queue[i])
			if n == nil {
				break
			}
			if t := queue[i]; r.shed(t) {
				r.giveUp(t)
			} else {
				r.submit(t, n)
			}
			queue = slices.Delete(queue, i, i+1)
		}
		g.waiting[typ] = queue
	}
}

// shed tells whether a txn is one too many: so few were answered in time recently that sending all of them keeps queues full.
// It covers overload and slowness of all nodes; it does harm where failures have another cause.
func (r *Router) shed(t *txn) bool {
	s := t.group.recent[t.Need == NeedPrimary]
	fade := math.Exp((s.at - r.host.Now()) / recentSpan)
	if t.IsRetry && s.arrived*fade > ignoredTxns && t.LateValue < lateValueMin && s.inTime < crowdThreshold*s.sent {
		return true // its first try has most likely used up its time
	}
	excess := r.rng.Float64()*(s.arrived*fade+1) < (s.arrived-answeredFactor*s.inTime)*fade-ignoredTxns
	t.hitOverload = t.hitOverload || excess
	return excess
}

// giveUpTime returns when a txn that still waits is given up: when its answer could not have any value any more.
func (r *Router) giveUpTime(t *txn) float64 {
	end := t.Deadline - 2*tickInterval
	if r.onlyInTime(t) {
		end = min(end, t.arrived+t.SLA)
	}
	if t.firstRunAt > 0 && t.Effect == Referenced {
		end = min(end, t.firstRunAt+t.Window-2*tickInterval)
	}
	return end
}

// onlyInTime tells whether a txn must be answered in time or not at all: a late answer has no value, or less than half while many
// come too late and the room it takes delays others. It covers queues that only grow.
func (r *Router) onlyInTime(t *txn) bool {
	s := t.group.recent[t.Need == NeedPrimary]
	return t.LateValue == 0 || t.LateValue < lateValueMin && s.sent > ignoredTxns && s.inTime < crowdThreshold*s.sent
}

// tooLate tells whether a quick answer, or a usual one where room is short, would be too late. A write that was not sent within half of
// its client's patience is declined so that the client can try elsewhere; it does harm where a primary appears in the second half.
func (r *Router) tooLate(t *txn) bool {
	left := r.giveUpTime(t) - r.host.Now()
	return left <= t.quick || t.cause == NoRoom && left <= t.work || t.tries == 0 && t.Need == NeedPrimary &&
		r.host.Now() >= t.arrived+writeWaitShare*(t.Deadline-t.arrived)-2*tickInterval
}

func (r *Router) submit(t *txn, n *node) {
	now := r.host.Now()
	until := t.Deadline
	if r.onlyInTime(t) {
		until = min(until, t.arrived+t.SLA)
	}
	// An answer that is long overdue was lost, not late: after a third of its time the txn is submitted again, where a repeat does no
	// harm. It covers nodes and networks that lose answers; it repeats work at a node that is eight times slower than usual.
	third, usual := (until-now)/3, overdueFactor*t.free
	harmless := t.Effect == Repeatable || t.Effect == Referenced && now+third+usual < cmp.Or(t.firstRunAt, now)+t.Window
	if harmless && third > usual {
		until = now + third
	}
	t.sentTo, t.sentAt, t.newConnection, t.cancelled = n, now, !n.hasOpenConnection(r), false
	n.idleSince = n.idleSince[:max(0, len(n.idleSince)-1)]
	t.tries++
	r.sentCount++
	t.group.active++
	n.inFlight = append(n.inFlight, t)
	r.host.Submit(t.ID, n.Node, until, func(res Result) { r.takeResult(t, n, res) })
}

// takeResult learns from the result of a submission and takes the next step of the txn.
func (r *Router) takeResult(t *txn, n *node, res Result) {
	now := r.checkClock()
	n.inFlight = slices.DeleteFunc(n.inFlight, func(x *txn) bool { return x == t })
	t.sentTo = nil
	t.group.active--
	if n.limit < 1 {
		n.notBefore = now + (1/n.limit-1)*res.Latency // a limit below 1 is a share of the time
	}
	if res.ProvedType > 0 {
		// The txn proved to be of another type, such as a write in a statement that looked like a read and that a replica rejected.
		t.Type, t.typeStats = res.ProvedType-1, r.types[res.ProvedType-1]
	}
	if !res.is(TimedOut, Broken, NoConn, Cancelled) { // these end a connection
		n.idleSince = append(n.idleSince, now)
	}
	if t.newConnection && t.sentAt >= r.stallEnd && res.is(Committed, TimedOut) {
		r.connectCost += paceGain * (max(0, res.Latency-t.work) - r.connectCost)
	}
	r.learnFromResult(t, n, res)
	if now < r.connectionsScarceUntil && len(n.inFlight) == 0 && res.Outcome != NoConn {
		n.idleSince = nil
		r.host.CloseIdle(n.Node)
	}
	defer r.dispatch(t.group)
	if res.Ended || t.ended {
		r.finish(t)
		return
	}
	if t.firstRunAt == 0 && !res.is(Missed, Full, NoConn, Unsent) {
		t.firstRunAt, t.firstRunZone = t.sentAt, n.Zone
	}
	t.avoid = n
	if t.answerStarted || t.tries >= r.terms.MaxSubmissions || now >= r.giveUpTime(t) || t.firstRunAt > 0 && t.Effect == OnceOnly {
		r.giveUp(t)
		return
	}
	wait := min(retryDelayMax, retryDelayFirst*math.Pow(2, float64(t.tries-1)))
	if n != t.group.primary || !res.is(Failed, NoConn) || now+wait > r.giveUpTime(t) {
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
	queue, i := t.group.waiting[t.Type], 0
	if t.Need != NeedPrimary {
		i = len(queue)
	}
	t.group.waiting[t.Type] = slices.Insert(queue, i, t)
}

// giveUp gives a txn its final answer at once. A decline tells the client that a retry is harmless.
func (r *Router) giveUp(t *txn) {
	r.finish(t)
	if t.hitOverload {
		t.group.recent[t.Need == NeedPrimary].add(r.host.Now(), min(1, float64(t.tries)), 0)
	}
	if t.firstRunAt > 0 && t.Effect != Repeatable && !(t.Effect == Referenced && t.Scope == ScopeAll) {
		r.host.RollBack(t.ID)
		return
	}
	pause := 0.0
	if r.onlyInTime(t) && r.host.Now() > t.arrived+t.SLA/2 {
		pause = r.terms.MaxPause // no answer can be in time any more
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
