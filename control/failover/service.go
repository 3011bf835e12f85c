package failover

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"eiderway/control/feed"

	"github.com/samber/lo"
)

// phase is how far the failover of a service has come.
type phase int

const (
	// watching: the service isn't frozen.
	watching phase = iota
	// clearing: frozen, until every gateway keeps the freeze.
	clearing
	// pausing: replicas are made to keep still, and one of them is chosen.
	pausing
	// recording: the intent is on its way to the disks.
	recording
	// calling: the intent is committed, and the call is due or under way.
	calling
	// awaiting: the call has ended, or was an earlier holder's; the instances' terms tell what became of it.
	awaiting
	// installing: there is evidence of a new leader, and the record of it is on its way to the disks.
	installing
	// withdrawing: the old leader goes on; the intent is being taken back.
	withdrawing
)

// reason is why a service is frozen.
type reason int

const (
	leaderSilent reason = iota
	leaderDrains
	newLeader
	openIntent
	neverLed
)

func (r reason) String() string {
	return [...]string{"leader silent", "leader draining", "another leader", "failover under way", "no leader"}[r]
}

// request is a change that was asked for and not decided yet. One at a time.
type request struct {
	number uint64
	at     time.Duration
	change Change
	before feed.Leader // as recorded when it was asked for
}

// calls is what is known of the calls for the intent's target.
type calls struct {
	number         uint64        // of the call that is out; 0: none
	sent           int           // by this holder, and not known to have had no effect or to be over
	unknownUntil   time.Duration // until then a call with an unknown outcome may act
	ownUnknown     bool          // one of those calls is this holder's
	accepted       bool          // the last call
	acceptedUntil  time.Duration // until then an accepted call may take effect
	next           time.Duration // no call before
	endedAt        time.Duration // when the last call ended
	watchFor       time.Duration // how long the target must be seen not to lead before it is called again; 0: not at all
	notLeadingFrom time.Duration // since then it has answered as no primary
	notLeading     bool
	refused        bool // the platform said that the target isn't running, or that the fence is too low
}

// service is the state of one service.
type service struct {
	manager *Manager
	name    string
	view    ServiceView
	members []*member // sorted by id

	phase     phase
	frozen    bool
	freeze    uint64
	why       reason
	frozenAt  time.Duration
	cleared   bool
	clearedAt time.Duration

	idleUntil     time.Duration // nothing is due before
	lookFrom      time.Duration // without a sign of trouble nobody is probed before
	fastUntil     time.Duration
	gatewayAnswer time.Duration // when a gateway last reported an answer of the leader
	gatewayHeard  bool
	failuresOnly  bool // gateways report only failures at the leader
	failuresFrom  time.Duration
	failuresSaid  bool

	unledFrom    time.Duration // since then no leader is recorded
	firstPrimary time.Duration
	sawPrimary   bool

	round       uint64 // term of the pause; 0: none
	roundAt     time.Duration
	highest     uint64 // highest term of a round
	caughtUp    bool
	stalled     bool     // said that no choice is proven
	missing     []string // instances that stand against the choice; empty: none does, or there is nobody to choose
	handOver    time.Duration
	intent      *Intent // committed, as far as known
	inherited   bool    // it was written by an earlier holder
	call        calls
	overdueSaid bool // said that the leader's drain is spent and the service isn't frozen
	doubt       bool // an earlier call may have taken effect unseen: the recorded leader may be deposed
	request     request
	nextAsk     time.Duration // no change is asked for before
}

// newService follows a service from now on. The first look, at what the last holder left behind, is its turn among those that are new.
func newService(manager *Manager, now time.Duration, view ServiceView, turn int) *service {
	s := &service{manager: manager, name: view.Name, unledFrom: now}
	s.lookFrom = now + time.Duration(turn)*firstLookPace
	s.fastUntil = s.lookFrom + learnSettle
	if view.Intent != nil {
		s.inherited, s.doubt = true, true
		s.call.unknownUntil = now + manager.settings.MaxCallDelay
		s.call.watchFor, s.call.endedAt = inheritedWait, now
	}
	return s
}

func (s *service) settings() Settings { return s.manager.settings }

func (s *service) event(what string, format string, values ...any) {
	s.manager.event(what, s.name+": "+fmt.Sprintf(format, values...))
}

// take replaces the committed view of the service.
func (s *service) take(now time.Duration, view ServiceView) {
	if view.Leader.InstanceID == "" && s.view.Leader.InstanceID != "" {
		s.unledFrom = now
	}
	if len(s.members) == 0 {
		s.members = departedBefore(now, view)
	}
	givenUp := view.GiveUpCount > s.view.GiveUpCount && s.view.Name != ""
	s.view = view
	s.intent = view.Intent
	for _, instance := range view.Instances {
		if known := s.member(instance.ID); known != nil {
			known.note(now, instance)
			if known.departed {
				known.departed, known.cover, known.lastLife = false, nil, now
			}
			continue
		}
		added := &member{lastLife: now, drainBefore: instance.Draining}
		added.note(now, instance)
		s.members = append(s.members, added)
		s.fastUntil = max(s.fastUntil, now+learnSettle)
	}
	for _, known := range s.members {
		present := slices.ContainsFunc(view.Instances, func(i feed.Instance) bool { return i.ID == known.instance.ID })
		if !present && !known.departed {
			known.departed, known.departedAt = true, now
			known.held = false
			s.fastUntil = max(s.fastUntil, now+departureLook)
		}
	}
	if givenUp {
		s.giveUpDeparted()
	}
	slices.SortFunc(s.members, func(a, b *member) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	s.forgetDeparted()
}

// giveUpDeparted forgets what departed instances may have held, and the failover that waited for them.
func (s *service) giveUpDeparted() {
	s.members = lo.Reject(s.members, func(i *member, _ int) bool { return i.departed })
	s.call, s.inherited, s.doubt = calls{}, false, false
	s.missing = nil
	s.event("given up", "what lost copies held")
}

// departedBefore are the instances that departed under an earlier holder, and that nothing is known to cover.
func departedBefore(now time.Duration, view ServiceView) []*member {
	return lo.Map(view.Departed, func(instance feed.Instance, _ int) *member {
		return &member{instance: instance, departed: true, departedAt: now, lastLife: now}
	})
}

// forgetDeparted bounds the memory of instances that have gone: the oldest of those whose log is covered go first. A
// departed one that was draining handed its log to the instance that has its address now.
func (s *service) forgetDeparted() {
	s.members = lo.Filter(s.members, func(gone *member, _ int) bool {
		return !gone.departed || !gone.instance.Draining || !s.hasSuccessor(gone)
	})
	gone := lo.Filter(s.members, func(i *member, _ int) bool { return i.departed })
	if len(gone) <= mostDeparted {
		return
	}
	slices.SortStableFunc(gone, func(a, b *member) int { return cmp.Compare(a.departedAt, b.departedAt) })
	oldest := gone[0]
	s.members = lo.Filter(s.members, func(i *member, _ int) bool { return i != oldest })
}

func (s *service) hasSuccessor(gone *member) bool {
	return slices.ContainsFunc(s.members, func(i *member) bool {
		return !i.departed && i.instance.Address == gone.instance.Address
	})
}

func (s *service) member(id string) *member {
	for _, known := range s.members {
		if known.instance.ID == id {
			return known
		}
	}
	return nil
}

// present gives the instances that have not left.
func (s *service) present() []*member {
	return lo.Filter(s.members, func(i *member, _ int) bool { return !i.departed })
}

// leader gives the recorded leader, if it is there.
func (s *service) leader() *member {
	known := s.member(s.view.Leader.InstanceID)
	if known == nil || known.departed {
		return nil
	}
	return known
}

// isLeading tells whether an instance has shown, to a question asked since, that it leads as recorded.
func (s *service) isLeading(i *member, since time.Duration) bool {
	return i != nil && i.leads(since) && i.status.Term == s.view.Leader.Term && i.instance.ID == s.view.Leader.InstanceID
}

// highestTerm is the highest term met by any instance, record or round of this service.
func (s *service) highestTerm() uint64 {
	highest := max(s.view.Leader.Term, s.highest)
	if s.intent != nil {
		highest = max(highest, s.intent.Term, s.intent.Previous.Term)
	}
	for _, known := range s.members {
		highest = max(highest, known.newest())
	}
	return highest
}

// latestTerm is the highest term in which an instance is known to have led.
func (s *service) latestTerm() uint64 {
	latest := s.view.Leader.Term
	for _, known := range s.members {
		if known.known {
			latest = max(latest, known.status.Term, known.status.Received.Term)
		}
	}
	return latest
}

// deposed tells whether an instance says that it leads, in a term that has been followed by another.
func (s *service) deposed(i *member) bool { return i.leads(0) && i.status.Term < s.latestTerm() }

// newPrimary gives the instance that leads a later term than the recorded one, the highest if there are several.
func (s *service) newPrimary(since time.Duration) *member {
	var found *member
	for _, known := range s.present() {
		if !known.leads(since) || known.status.Term < s.view.Leader.Term {
			continue
		}
		if known.status.Term == s.view.Leader.Term && s.view.Leader.InstanceID != "" {
			continue
		}
		if found == nil || found.status.Term < known.status.Term {
			found = known
		}
	}
	return found
}

// advance does whatever is due.
func (s *service) advance(now time.Duration) {
	s.idleUntil = 0
	switch s.phase {
	case watching:
		s.watch(now)
	case clearing:
		s.clear(now)
	case pausing:
		s.pause(now)
	case recording:
		s.record(now)
	case calling:
		s.makeCall(now)
	case awaiting:
		s.await(now)
	case installing:
		s.install(now)
	case withdrawing:
		s.withdraw(now)
	}
}

func (s *service) heard(now time.Duration, beat Heartbeat) {
	known := s.member(beat.InstanceID)
	if known == nil || known.departed {
		return
	}
	known.lastLife, known.refusals = now, 0
	known.cover, known.coverDead = nil, false
	turned := known.lastBeat != 0 && beat.Primary != known.beatPrimary
	known.beat(now)
	known.beatPrimary = beat.Primary
	leads := beat.InstanceID == s.view.Leader.InstanceID
	if turned || beat.Primary != leads {
		s.fastUntil = max(s.fastUntil, now+s.settings().FastWindow)
	}
	if beat.Primary != leads || known.failures > 0 {
		s.probeNow(now, known)
	}
}

// freezeFor freezes the service. Nothing that can change the lead is done before the freeze is cleared.
func (s *service) freezeFor(now time.Duration, why reason) {
	s.manager.freezes++
	s.freeze = s.manager.freezes
	s.frozen, s.frozenAt, s.why = true, now, why
	s.manager.freezeChanges++
	s.cleared, s.caughtUp, s.stalled = false, false, false
	s.phase = clearing
	s.endRound()
	s.event("frozen", "%v, leader %s term %d", why, s.view.Leader.InstanceID, s.view.Leader.Term)
	s.clear(now)
}

// unfreeze lets the recorded leader go on.
func (s *service) unfreeze(now time.Duration) {
	s.frozen = false
	s.manager.freezeChanges++
	s.phase = watching
	s.endRound()
	s.fastUntil = now + s.settings().FastWindow
	s.event("unfrozen", "leader %s term %d after %v", s.view.Leader.InstanceID, s.view.Leader.Term, now-s.frozenAt)
	s.releasePaused(now)
}

func (s *service) endRound() {
	s.round = 0
	for _, known := range s.members {
		known.forgetRound()
	}
}

// callMayAct tells whether a call for the intent's target may still take effect.
func (s *service) callMayAct(now time.Duration) bool {
	return s.call.number != 0 || now < s.call.unknownUntil || now < s.call.acceptedUntil
}

// othersCallsVoid tells whether only an earlier holder's calls may be on their way, which the fence of the next call voids.
func (s *service) othersCallsVoid() bool {
	return s.settings().FenceChecked && s.inherited && !s.call.ownUnknown && s.call.number == 0
}
