package failover

import (
	"strings"
	"time"

	"github.com/samber/lo"

	"eiderway/control/guard"
)

// choose picks the instance that is to lead, once it is shown that it holds every commit that may have been acknowledged.
func (s *service) choose(now time.Duration) {
	s.missing = nil
	chosen, held := s.candidate(now)
	if chosen == nil {
		return
	}
	if missing := s.proof(chosen, held); len(missing) > 0 && !s.manager.guards.choiceUnproven && !s.asynchronousLimit(now) {
		s.missing = missing
		s.noteStalled(now, missing)
		return
	}
	if !s.mayCallFor(now, chosen) {
		return
	}
	if !s.manager.guards.callWithoutIntent && !s.ask(now, Change{Intent: s.wanted(chosen)}) {
		return
	}
	s.event("chosen", "%s at %d.%d, term %d", chosen.instance.ID, chosen.heldPosition.Term, chosen.heldPosition.Number, s.round)
	if s.manager.guards.callWithoutIntent {
		s.intent = s.wanted(chosen)
		s.phase = calling
		return
	}
	s.phase = recording
}

// candidate gives the instance to choose, with those on whose positions it is judged. Where the furthest is one that the platform may
// take for the present primary, a call for it may do nothing: it is named only when nobody else has been shown for long to hold
// every commit.
func (s *service) candidate(now time.Duration) (*member, []*member) {
	held := s.heldMembers()
	best := s.furthest(held)
	if best == nil || !s.maySeemPrimary(best) {
		return best, held
	}
	others := lo.Reject(held, func(i *member, _ int) bool { return s.maySeemPrimary(i) })
	if other := s.furthest(others); other != nil && len(s.proof(other, others)) == 0 {
		return other, others
	}
	if now-max(s.clearedAt, s.call.endedAt) < seemsPrimaryWait && s.othersMayCome(best) {
		return nil, nil
	}
	return best, held
}

// maySeemPrimary tells whether the platform may take an instance that doesn't lead for the present primary: it is the recorded
// leader, or a call for it was accepted and nothing followed. Where acknowledged commits need not be in a replica, the recorded
// leader is tried once, since it alone may have them.
func (s *service) maySeemPrimary(i *member) bool {
	return i.calledInVain || i.instance.ID == s.view.Leader.InstanceID && s.view.SyncReplicas > 0
}

// othersMayCome tells whether there are others that may be held yet, or be called with effect.
func (s *service) othersMayCome(best *member) bool {
	return lo.ContainsBy(s.present(), func(i *member) bool { return i != best })
}

func (s *service) wanted(chosen *member) *Intent {
	return &Intent{
		Service:    s.name,
		InstanceID: chosen.instance.ID,
		Term:       s.round,
		Fence:      s.settings().Fence,
		Previous:   s.view.Leader,
	}
}

// furthest gives the instance with the highest position; among equals one that wasn't called in vain, one that stays, then one that didn't lead, then the one that
// lags least.
func (s *service) furthest(held []*member) *member {
	var best *member
	for _, i := range held {
		if best == nil || s.better(i, best) {
			best = i
		}
	}
	return best
}

func (s *service) better(a, b *member) bool {
	if a.heldPosition != b.heldPosition {
		return b.heldPosition.Less(a.heldPosition)
	}
	if a.calledInVain != b.calledInVain {
		return !a.calledInVain
	}
	if a.instance.Draining != b.instance.Draining {
		return !a.instance.Draining
	}
	if led := s.view.Leader.InstanceID; a.instance.ID == led || b.instance.ID == led {
		return b.instance.ID == led
	}
	return a.status.LagMs < b.status.LagMs
}

// proof tells which instances stand against the choice; none if it is proven. An acknowledged commit is in the logs of two instances:
// of the leader of its term and of a replica. The chosen one is the furthest of those held (or of the part of them that counts here),
// so it has the commit if
//   - all instances but one are held: one of the two that have it is among them; or
//   - the recorded leader is held, and no later term is known in which somebody else led; or
//   - each instance that isn't held, but one, had fallen silent or left before the leader's position was read that the chosen
//     one has reached (and no later term is known).
//
// Of those that left and were covered long ago only the furthest of these positions is kept, as the floor.
func (s *service) proof(chosen *member, held []*member) []string {
	led := s.view.Leader.InstanceID
	laterTerm := s.latestTerm() > s.view.Leader.Term
	open := lo.Filter(s.members, func(i *member, _ int) bool {
		covered := !laterTerm && i.cover != nil && !chosen.heldPosition.Less(*i.cover)
		return !lo.Contains(held, i) && (!covered || i.instance.ID == led)
	})
	leader := s.member(led)
	if leader != nil && lo.Contains(held, leader) && !laterTerm {
		return nil
	}
	spare := 1
	if led == "" || leader == nil {
		spare = 0 // the leader is unknown, or was forgotten: it is the one that is missing
	}
	missing := lo.Map(open, func(i *member, _ int) string { return i.instance.ID })
	if chosen.heldPosition.Less(s.view.Floor) && !s.settings().DisabledGuards.Has(guard.Floor) {
		missing = append(missing, DepartedEarlier)
	}
	if len(missing) <= spare {
		return nil
	}
	return missing
}

// DepartedEarlier stands for the instances that departed, and were covered by a position that the chosen one hasn't reached.
const DepartedEarlier = "(departed)"

// asynchronousLimit ends the wait for a silent replica where acknowledged commits need not be in any replica anyway.
func (s *service) asynchronousLimit(now time.Duration) bool {
	return s.view.SyncReplicas == 0 && s.why != leaderDrains && now-s.frozenAt >= s.settings().ReplicaLost
}

func (s *service) noteStalled(now time.Duration, missing []string) {
	if !s.stalled && now-s.roundAt >= statusFresh {
		s.stalled = true
		s.event("waiting", "nobody is shown to hold every acknowledged commit; open: %s", strings.Join(missing, " "))
	}
}

// mayCallFor tells whether a call for this instance may be made: not while an earlier one for another target may still act.
func (s *service) mayCallFor(now time.Duration, chosen *member) bool {
	if s.call.number != 0 {
		return false
	}
	if s.intent == nil || s.intent.InstanceID == chosen.instance.ID || !s.callMayAct(now) {
		return true
	}
	return s.othersCallsVoid() || s.manager.guards.repeatAtOnce && s.call.ownUnknown || s.manager.guards.lateCallsForgotten && !s.call.ownUnknown
}
