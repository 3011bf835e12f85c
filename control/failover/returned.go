package failover

import (
	"time"

	"github.com/samber/lo"

	"eiderway/control/feed"
	"eiderway/control/guard"
)

// An instance that crashes may come back at its address with its log and under a new id. Two facts hold then, and the rest of the package
// relies on them:
//   - A term has one primary. An instance that leads the recorded term is the recorded leader, whatever its id is.
//   - An address belongs to one process at a time. Whoever appears at the address of the recorded leader after the leader has gone either
//     has the leader's log, and the two are one copy; or it started after the last commit that the leader acknowledged, and holds no copy
//     of it that counts. So the leader and all that have followed it at its address count as one copy.
//
// Only a primary is known to come back with its log. A replica that comes back under a new id counts as another instance.

// noteEarlierIDs records under which ids instances ran before at the address of a new one.
func (s *service) noteEarlierIDs(added *member) {
	if s.settings().DisabledGuards.Has(guard.LeaderReturns) {
		return
	}
	for _, m := range s.members {
		if m.departed && m.instance.Address == added.instance.Address {
			added.earlierIDs = append(added.earlierIDs, m.instance.ID)
		}
	}
}

// ranAs reports whether the instance with this id has gone, and a member has appeared at its address since.
func (m *member) ranAs(id string) bool { return lo.Contains(m.earlierIDs, id) }

// isCopyOfLeader reports whether an instance has followed the recorded leader at its address, or was it under an earlier id.
func (s *service) isCopyOfLeader(m *member) bool {
	return m.ranAs(s.view.Leader.InstanceID) || m.copyOfTerm != 0 && m.copyOfTerm == s.view.Leader.Term
}

// isIntentTarget reports whether an instance is the one that the intent names, or has come back in its place.
func (s *service) isIntentTarget(m *member) bool {
	return s.intent != nil && (m.instance.ID == s.intent.InstanceID || m.ranAs(s.intent.InstanceID))
}

// isReturnedLeader reports whether an instance has shown that it is the recorded leader under a new id: it leads the recorded term, at the
// leader's address, and its log lacks nothing that the leader is known to have had.
func (s *service) isReturnedLeader(m *member) bool {
	led := s.view.Leader
	if led.Term == 0 || s.leader() != nil || !m.ranAs(led.InstanceID) || !m.leadsSince(0) {
		return false
	}
	if m.status.Term != led.Term || s.highestLedTerm() > led.Term || m.status.Received.Less(s.view.Floor) {
		return false
	}
	earlier := s.findMember(led.InstanceID)
	return earlier == nil || !earlier.hasStatus || !m.status.Received.Less(earlier.status.Received)
}

// hasLeaderLog reports whether an instance is the recorded leader, or has come back in its place with its log: it started after the leader
// had gone, and it has entries of the leader's term, which no other instance could have sent to it.
func (s *service) hasLeaderLog(m *member) bool {
	led := s.view.Leader
	return m.instance.ID == led.InstanceID || m.ranAs(led.InstanceID) && led.Term != 0 && m.pausedPosition.Term == led.Term
}

// recordReturnedLeader records the id under which the recorded leader has come back. That gives nobody the lead: a frozen service stays
// frozen, and a call that may act is waited for, as with a leader that comes back under its id.
func (s *service) recordReturnedLeader(now time.Duration) {
	for _, m := range s.presentMembers() {
		if s.isReturnedLeader(m) {
			s.requestLeader(now, m)
			return
		}
	}
}

// isSameLeadership reports whether two records name the leader of one term, and so one instance.
func isSameLeadership(a, b feed.Leader) bool { return a.Term != 0 && a.Term == b.Term }

// onReturnedLeaderCommitted adopts the new id of the recorded leader. What it held under the earlier one it holds still.
func (s *service) onReturnedLeaderCommitted(previous, leader feed.Leader) {
	s.view.Leader = leader
	s.hasGatewayAnswer, s.hasFailuresOnly, s.failuresOnlyLogged = false, false, false
	if previous.InstanceID == leader.InstanceID {
		return
	}
	for _, m := range s.members {
		if m.instance.ID == previous.InstanceID || m.ranAs(previous.InstanceID) {
			m.copyOfTerm = leader.Term
		}
	}
	s.addEvent("leader returned", "%s term %d is back as %s", previous.InstanceID, previous.Term, leader.InstanceID)
}

// withoutLeaderCopies returns the instances without those that are one copy with the recorded leader, if the leader itself is known: it
// counts for them, whether it is paused or not.
func (s *service) withoutLeaderCopies(members []*member) []*member {
	led := s.view.Leader.InstanceID
	if s.findMember(led) == nil {
		return members
	}
	return lo.Reject(members, func(m *member, _ int) bool { return m.instance.ID != led && s.isCopyOfLeader(m) })
}
