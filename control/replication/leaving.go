package replication

import "time"

const (
	// handoverRetry is how long a copy gets to take over before the next one is asked.
	handoverRetry = 700 * time.Millisecond
	// leaveTimeout ends the waiting for a clean departure; the state stays on disk.
	leaveTimeout = 3 * time.Second
)

// leaving is the state of a departure from the core.
type leaving struct {
	requested      bool
	since          time.Duration
	handoverSentAt time.Duration // of the last handover
	handovers      int           // handovers sent so far
}

func (n *Node) leave() {
	if n.leaving.requested {
		return
	}
	n.leaving = leaving{requested: true, since: n.now}
	n.tickLeaving()
	if n.leadership == nil {
		n.sendAnswer()
	}
}

// HasLeft reports, after Leave, whether the process may end: the primacy is handed over and this node is no longer a copy, or
// waiting longer gains nothing.
func (n *Node) HasLeft() bool {
	if !n.leaving.requested {
		return false
	}
	if n.now-n.leaving.since > leaveTimeout {
		return true
	}
	if n.leadership != nil {
		return n.isAlone()
	}
	if len(n.disk.unsynced) > 0 {
		return false
	}
	_, votes := n.known.Voter(n.self.Incarnation)
	if !votes {
		return true
	}
	isCommitted := !n.leader.committed.Less(n.known.ID)
	return isCommitted && !n.known.HasCopy(n.self.Incarnation) && len(n.known.Voters) <= n.minVoters()
}

// isAlone reports whether there is nobody to hand over to.
func (n *Node) isAlone() bool {
	leadership := n.leadership
	return leadership.pending == nil && leadership.phase == leading && len(leadership.committed.Voters) == 1
}

// tickLeaving hands over the primacy when no change is pending.
func (n *Node) tickLeaving() {
	if !n.leaving.requested || !n.leads() || n.leadership.pending != nil {
		return
	}
	if n.leaving.handovers > 0 && n.now-n.leaving.handoverSentAt < handoverRetry {
		return
	}
	n.handOver()
}

// handOver asks the next of the copies that are up to date to stand for election at once.
func (n *Node) handOver() {
	leadership := n.leadership
	var candidates []*follower
	for _, follower := range leadership.followers {
		isCandidate := leadership.committed.HasCopy(follower.member.Incarnation) && !follower.leaving && n.isUpToDate(follower)
		if isCandidate {
			candidates = append(candidates, follower)
		}
	}
	if len(candidates) == 0 {
		return
	}
	follower := candidates[n.leaving.handovers%len(candidates)]
	n.leaving.handovers++
	n.leaving.handoverSentAt = n.now
	n.logEvent("handing over primacy", follower.member.Name)
	n.sendTo(follower.member, 0, Message{Epoch: leadership.epoch, Handover: &Handover{Stamp: n.history.stamp}})
}

// handOverIfLeading hands over before a primary steps down because of its disk.
func (n *Node) handOverIfLeading() {
	if n.leads() {
		n.handOver()
	}
}

// onHandover stands for election without a poll, since the primary itself asks for it.
func (n *Node) onHandover(message Message) {
	fromLeader := n.leader.known && n.leader.epoch == message.Epoch && n.record.Promised == message.Epoch &&
		n.leader.member.Incarnation == message.From.Incarnation
	behind := n.history.stamp.Less(message.Handover.Stamp)
	if !fromLeader || behind || n.leaving.requested || n.disk.failed || n.isDiskHanging() || !n.known.HasCopy(n.self.Incarnation) {
		n.drop()
		return
	}
	n.prepare(true)
}
