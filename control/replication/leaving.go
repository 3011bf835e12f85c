package replication

import "time"

const (
	// handoverRetry: a copy that was asked to stand and has not done so by then is taken for unable.
	handoverRetry = 700 * time.Millisecond
	// leaveLimit: whatever has not been gained by then is not waited for; the state stays on disk.
	leaveLimit = 3 * time.Second
)

// leaving is the way out of the core.
type leaving struct {
	asked bool
	since time.Duration
	sent  time.Duration // of the last handover
	tried int           // copies asked to stand
}

func (n *Node) leave() {
	if n.leaving.asked {
		return
	}
	n.leaving = leaving{asked: true, since: n.now}
	n.tickLeaving()
	if n.leadership == nil {
		n.sendAnswer()
	}
}

// HasLeft tells, after Leave, that the process may end: the primacy is handed over and this node is no copy, or nothing
// more can be gained.
func (n *Node) HasLeft() bool {
	if !n.leaving.asked {
		return false
	}
	if n.now-n.leaving.since > leaveLimit {
		return true
	}
	if n.leadership != nil {
		return n.isAlone()
	}
	if len(n.disk.open) > 0 {
		return false
	}
	_, votes := n.known.Voter(n.self.Incarnation)
	if !votes {
		return true
	}
	isCommitted := !n.leader.committed.Less(n.known.ID)
	return isCommitted && !n.known.HasCopy(n.self.Incarnation) && len(n.known.Voters) <= n.leastVoters()
}

// isAlone tells that there is nobody to hand over to.
func (n *Node) isAlone() bool {
	lead := n.leadership
	return lead.pending == nil && lead.phase == leading && len(lead.committed.Voters) == 1
}

// tickLeaving hands the primacy over, when no change is under way.
func (n *Node) tickLeaving() {
	if !n.leaving.asked || !n.leads() || n.leadership.pending != nil {
		return
	}
	if n.leaving.tried > 0 && n.now-n.leaving.sent < handoverRetry {
		return
	}
	n.handOver()
}

// handOver asks the next of the copies that are up to date to stand at once.
func (n *Node) handOver() {
	lead := n.leadership
	var able []*follower
	for _, one := range lead.followers {
		ready := lead.committed.HasCopy(one.member.Incarnation) && !one.leaving && n.isUpToDate(one)
		if ready {
			able = append(able, one)
		}
	}
	if len(able) == 0 {
		return
	}
	one := able[n.leaving.tried%len(able)]
	n.leaving.tried++
	n.leaving.sent = n.now
	n.event("hands over", one.member.Name)
	n.sendTo(one.member, 0, Message{Epoch: lead.epoch, Handover: &Handover{Stamp: n.history.stamp}})
}

// handOverAtOnce is for a primary whose own disk fails it.
func (n *Node) handOverAtOnce() {
	if n.leads() {
		n.handOver()
	}
}

// onHandover stands for election without a poll: the primary itself wants it.
func (n *Node) onHandover(message Message) {
	fromLeader := n.leader.known && n.leader.epoch == message.Epoch && n.record.Promised == message.Epoch &&
		n.leader.member.Incarnation == message.From.Incarnation
	behind := n.history.stamp.Less(message.Handover.Stamp)
	if !fromLeader || behind || n.leaving.asked || n.disk.bad || n.diskHangs() || !n.known.HasCopy(n.self.Incarnation) {
		n.drop()
		return
	}
	n.prepare(true)
}
