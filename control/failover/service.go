package failover

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"eiderway/control/feed"

	"github.com/samber/lo"
)

// phase is the step that the failover of a service has reached.
type phase int

const (
	// watching: the service isn't frozen.
	watching phase = iota
	// awaitingClearance: frozen, until every gateway keeps the freeze.
	awaitingClearance
	// pausing: replicas are stopped from receiving, and one of them is chosen.
	pausing
	// recordingIntent: the intent is being committed.
	recordingIntent
	// calling: the intent is committed, and the call is due or in progress.
	calling
	// awaitingEffect: the call has ended, or was an earlier holder's; the instances' terms show what effect it had.
	awaitingEffect
	// recordingLeader: there is evidence of a new leader, and the record of it is being committed.
	recordingLeader
	// withdrawingIntent: the old leader goes on, and the intent is being removed.
	withdrawingIntent
)

// reason is why a service is frozen.
type reason int

const (
	leaderSilent reason = iota
	leaderDraining
	newLeader
	openIntent
	neverLed
)

func (r reason) String() string {
	return [...]string{"leader silent", "leader draining", "another leader", "failover under way", "no leader"}[r]
}

// request is a requested change that is not decided yet. There is one at a time.
type request struct {
	number       uint64
	at           time.Duration
	change       Change
	leaderBefore feed.Leader // the recorded leader when the change was requested
}

// callState is what is known of the calls for the intent's target.
type callState struct {
	number          uint64        // of the outstanding call; 0: none
	sent            int           // calls by this holder that are not known to have had no effect or to be over
	unknownUntil    time.Duration // until then a call with an unknown outcome may still act
	hasOwnUnknown   bool          // one of those calls is this holder's
	wasAccepted     bool          // the last call was accepted
	acceptedUntil   time.Duration // until then an accepted call may take effect
	notBefore       time.Duration // no call is made before
	endedAt         time.Duration // when the last call ended
	watchFor        time.Duration // how long the target must be seen not to lead before it is called again; 0: no wait
	notLeadingSince time.Duration // since then it has answered without being primary
	isNotLeading    bool
	hasConflict     bool // the platform said that the target isn't running, or that the fence is too low
}

// service is the state of one service.
type service struct {
	manager *Manager
	name    string
	view    ServiceView
	members []*member // sorted by id

	phase        phase
	frozen       bool
	freezeNumber uint64
	freezeReason reason
	frozenAt     time.Duration
	cleared      bool
	clearedAt    time.Duration

	idleUntil          time.Duration // nothing is due before
	firstProbeAt       time.Duration // nothing is probed before, unless there is a sign of trouble
	fastProbesUntil    time.Duration
	gatewayAnswerAt    time.Duration // when a gateway last reported an answer of the leader
	hasGatewayAnswer   bool
	hasFailuresOnly    bool // gateways report only failures at the leader
	failuresOnlySince  time.Duration
	failuresOnlyLogged bool

	noLeaderSince  time.Duration // since then no leader is recorded
	primarySeenAt  time.Duration
	hasSeenPrimary bool

	roundTerm        uint64 // term of the pause; 0: none
	roundStartedAt   time.Duration
	highestRoundTerm uint64 // highest term of a round
	caughtUp         bool
	stallLogged      bool     // logged that no choice is proven
	blocking         []string // instances that stand against the choice; empty: none does, or there is no candidate
	nextHandOverAt   time.Duration
	intent           *Intent // committed, as far as known
	intentInherited  bool    // it was written by an earlier holder
	call             callState
	overdueLogged    bool          // logged that the leader's drain is over and the service isn't frozen
	leadInDoubt      bool          // an earlier call may have taken effect unseen: the recorded leader may be deposed
	doubtUntil       time.Duration // no such call takes effect later: only answers to later questions end the doubt
	doubtedTargets   []string      // the instances that such calls named
	request          request
	nextChangeAt     time.Duration // no change is requested before
}

// newService starts to follow a service. Its first probes, which find what the last holder left behind, wait for its turn among the
// services that are new at once.
func newService(manager *Manager, now time.Duration, view ServiceView, turn int) *service {
	s := &service{manager: manager, name: view.Name, noLeaderSince: now}
	s.firstProbeAt = now + time.Duration(turn)*firstProbeSpacing
	s.fastProbesUntil = s.firstProbeAt + discoveryWait
	if view.Intent != nil {
		s.intentInherited, s.leadInDoubt = true, true
		s.doubtedTargets = []string{view.Intent.InstanceID}
		s.call.unknownUntil = now + manager.settings.MaxCallDelay
		s.doubtUntil = s.call.unknownUntil
		s.call.watchFor, s.call.endedAt = inheritedWait, now
	}
	return s
}

func (s *service) settings() Settings { return s.manager.settings }

func (s *service) addEvent(what string, format string, values ...any) {
	s.manager.addEvent(what, s.name+": "+fmt.Sprintf(format, values...))
}

// updateView replaces the committed view of the service.
func (s *service) updateView(now time.Duration, view ServiceView) {
	if view.Leader.InstanceID == "" && s.view.Leader.InstanceID != "" {
		s.noLeaderSince = now
	}
	if len(s.members) == 0 {
		s.members = membersDepartedBefore(now, view)
	}
	givenUp := view.GiveUpCount > s.view.GiveUpCount && s.view.Name != ""
	s.view = view
	s.intent = view.Intent
	var appeared []*member
	for _, instance := range view.Instances {
		if m := s.findMember(instance.ID); m != nil {
			m.update(now, instance)
			if m.departed {
				m.comeBack(now)
			}
			continue
		}
		added := &member{lastAliveAt: now, drainStartUnknown: instance.Draining}
		added.update(now, instance)
		appeared = append(appeared, added)
		s.members = append(s.members, added)
		s.fastProbesUntil = max(s.fastProbesUntil, now+discoveryWait)
	}
	for _, m := range s.members {
		present := slices.ContainsFunc(view.Instances, func(instance feed.Instance) bool { return instance.ID == m.instance.ID })
		if !present && !m.departed {
			m.depart(now)
			s.fastProbesUntil = max(s.fastProbesUntil, now+departureProbeWindow)
		}
	}
	for _, added := range appeared {
		s.noteEarlierIDs(added)
	}
	if givenUp {
		s.giveUpDepartedCopies()
	}
	slices.SortFunc(s.members, func(a, b *member) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	s.pruneDeparted()
}

// giveUpDepartedCopies forgets what departed instances may have held, and the calls of the failover that waited for them.
func (s *service) giveUpDepartedCopies() {
	s.members = lo.Reject(s.members, func(m *member, _ int) bool { return m.departed })
	s.call, s.intentInherited, s.doubtUntil = callState{}, false, 0
	s.endDoubt()
	s.blocking = nil
	s.addEvent("given up", "the commits that lost copies may have held")
}

// membersDepartedBefore returns the instances that departed under an earlier holder and that no known position covers.
func membersDepartedBefore(now time.Duration, view ServiceView) []*member {
	return lo.Map(view.Departed, func(instance feed.Instance, _ int) *member {
		return &member{instance: instance, departed: true, departedAt: now, lastAliveAt: now}
	})
}

// pruneDeparted bounds the number of departed instances that are remembered: the one that departed first goes first. An instance at the
// address of a departed one doesn't stand for it: whoever leaves takes its log along.
func (s *service) pruneDeparted() {
	gone := lo.Filter(s.members, func(m *member, _ int) bool { return m.departed })
	if len(gone) <= maxDeparted {
		return
	}
	slices.SortStableFunc(gone, func(a, b *member) int { return cmp.Compare(a.departedAt, b.departedAt) })
	oldest := gone[0]
	s.members = lo.Filter(s.members, func(m *member, _ int) bool { return m != oldest })
}

func (s *service) findMember(id string) *member {
	for _, m := range s.members {
		if m.instance.ID == id {
			return m
		}
	}
	return nil
}

// presentMembers returns the instances that have not departed.
func (s *service) presentMembers() []*member {
	return lo.Filter(s.members, func(m *member, _ int) bool { return !m.departed })
}

// leader returns the recorded leader, if it is present.
func (s *service) leader() *member {
	m := s.findMember(s.view.Leader.InstanceID)
	if m == nil || m.departed {
		return nil
	}
	return m
}

// isLeading reports whether an instance has shown, to a question asked since, that it leads as recorded.
func (s *service) isLeading(m *member, since time.Duration) bool {
	return m != nil && m.leadsSince(since) && m.status.Term == s.view.Leader.Term && m.instance.ID == s.view.Leader.InstanceID
}

// highestKnownTerm returns the highest term in any instance, record or round of this service.
func (s *service) highestKnownTerm() uint64 {
	highest := max(s.view.Leader.Term, s.highestRoundTerm)
	if s.intent != nil {
		highest = max(highest, s.intent.Term, s.intent.Previous.Term)
	}
	for _, m := range s.members {
		highest = max(highest, m.highestTerm())
	}
	return highest
}

// highestLedTerm returns the highest term in which an instance is known to have led.
func (s *service) highestLedTerm() uint64 {
	latest := s.view.Leader.Term
	for _, m := range s.members {
		if m.hasStatus {
			latest = max(latest, m.status.Term, m.status.Received.Term)
		}
	}
	return latest
}

// isDeposed reports whether an instance claims to lead in a term that another has followed.
func (s *service) isDeposed(m *member) bool {
	return m.leadsSince(0) && m.status.Term < s.highestLedTerm()
}

// findNewPrimary returns the instance that leads a later term than the recorded one, the highest if there are several.
func (s *service) findNewPrimary(since time.Duration) *member {
	var found *member
	for _, m := range s.presentMembers() {
		if !m.leadsSince(since) || m.status.Term < s.view.Leader.Term {
			continue
		}
		if m.status.Term == s.view.Leader.Term && s.view.Leader.InstanceID != "" {
			continue
		}
		if found == nil || found.status.Term < m.status.Term {
			found = m
		}
	}
	return found
}

// advance runs the step that is due in the current phase.
func (s *service) advance(now time.Duration) {
	s.idleUntil = 0
	s.recordReturnedLeader(now)
	switch s.phase {
	case watching:
		s.watch(now)
	case awaitingClearance:
		s.awaitClearance(now)
	case pausing:
		s.pauseReplicas(now)
	case recordingIntent:
		s.awaitIntent(now)
	case calling:
		s.makeCall(now)
	case awaitingEffect:
		s.awaitEffect(now)
	case recordingLeader:
		s.recordLeader(now)
	case withdrawingIntent:
		s.withdrawIntent(now)
	}
}

func (s *service) handleHeartbeat(now time.Duration, beat Heartbeat) {
	m := s.findMember(beat.InstanceID)
	if m == nil || m.departed {
		return
	}
	m.lastAliveAt, m.refusals, m.cover = now, 0, nil
	turned := m.lastBeatAt != 0 && beat.Primary != m.beatSaysPrimary
	m.noteBeat(now)
	m.beatSaysPrimary = beat.Primary
	leads := beat.InstanceID == s.view.Leader.InstanceID
	if turned || beat.Primary != leads {
		s.fastProbesUntil = max(s.fastProbesUntil, now+s.settings().FastWindow)
	}
	if beat.Primary != leads || m.failures > 0 {
		s.probeNow(now, m)
	}
}

// freezeBecause freezes the service. Nothing that can change the lead is done before the freeze is cleared.
func (s *service) freezeBecause(now time.Duration, why reason) {
	s.manager.lastFreeze++
	s.freezeNumber = s.manager.lastFreeze
	s.frozen, s.frozenAt, s.freezeReason = true, now, why
	s.manager.freezeChanges++
	s.cleared, s.caughtUp, s.stallLogged = false, false, false
	s.phase = awaitingClearance
	s.endRound()
	s.addEvent("frozen", "%v, leader %s term %d", why, s.view.Leader.InstanceID, s.view.Leader.Term)
	s.awaitClearance(now)
}

// unfreeze lets the recorded leader go on.
func (s *service) unfreeze(now time.Duration) {
	s.frozen = false
	s.manager.freezeChanges++
	s.phase = watching
	s.endRound()
	s.cancelOrders()
	for _, m := range s.members {
		m.heldAt = nil // commits are acknowledged again
	}
	s.fastProbesUntil = now + s.settings().FastWindow
	s.addEvent("unfrozen", "leader %s term %d after %v", s.view.Leader.InstanceID, s.view.Leader.Term, now-s.frozenAt)
	s.resumePaused(now)
}

func (s *service) endRound() {
	s.roundTerm = 0
	for _, m := range s.members {
		m.resetRound()
	}
}

// callMayAct reports whether a call for the intent's target may still take effect.
func (s *service) callMayAct(now time.Duration) bool {
	return s.call.number != 0 || now < s.call.unknownUntil || now < s.call.acceptedUntil
}

// fenceVoidsOpenCalls reports whether all calls that may still act are an earlier holder's, which the fence of the next call voids.
func (s *service) fenceVoidsOpenCalls() bool {
	return s.settings().FenceChecked && s.intentInherited && !s.call.hasOwnUnknown && s.call.number == 0
}
