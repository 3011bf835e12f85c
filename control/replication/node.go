package replication

import (
	"sort"
	"time"

	"eiderway/control/quorum"
)

// frozenAfter: the host steps a node every few tens of milliseconds; after a longer gap the process itself stood still,
// and the silence that it seems to have observed says nothing about the others.
const frozenAfter = 500 * time.Millisecond

// Node decides what one controller does about the control state. It is a pure state machine: everything that happens
// comes in through Step, and everything that it wants done goes out as Effects.
type Node struct {
	settings Settings
	self     quorum.Member
	now      time.Duration
	lastStep time.Duration
	started  bool
	effects  Effects
	guards   disabledGuards

	record  quorum.VoterRecord // as last written or about to be
	history history
	disk    disk

	known       quorum.View   // newest view heard of, from wherever
	highest     quorum.Epoch  // heard of, from wherever
	leader      leaderSeen    // whom this node follows
	silentSince time.Duration // the primary has been missed, or an own candidacy failed, since then

	lastRequest uint64
	random      uint64
	candidacy   *candidacy
	leadership  *leadership
	fetch       *fetch
	serving     []*serving // oldest first
	owed        *owedAnswer
	joining     joining
	leaving     leaving
	dropped     uint64
}

// disabledGuards switches single guards off. Only tests set it, to see that the search finds what the guard prevents.
type disabledGuards struct {
	promiseBeforeSync bool // a promise is spoken before it is on disk
	lowerEpochTaken   bool // a backup takes changes of an epoch below the one it has promised
	oneCopyMayLag     bool // a change is committed though a copy has not synced it
	noFloor           bool // fewer copies than tolerance + 1 are enough
	confirmAlone      bool // the primaryship is confirmed without others
	manyViewChanges   bool // a view change begins before the last is committed
	emptyDiskVotes    bool // a node that never had a view votes
	anyVoterLeads     bool // a candidate's own state serves, though it is no copy of the newest accepted view
	foundingRepeats   bool // an empty disk is enough to take part in founding
	viewBeforeRestamp bool // the first view of an epoch is proposed before the state is synced
}

// leaderSeen is the primary, or candidate with a majority's promises, that a node follows.
type leaderSeen struct {
	member    quorum.Member
	epoch     quorum.Epoch
	heard     time.Duration
	committed quorum.ViewID // newest that it says is committed; zero while it is a candidate
	round     uint64        // of its last word
	known     bool
}

// NewNode returns a node that has what was on its disk.
func NewNode(now time.Duration, settings Settings, durable DurableState) *Node {
	node := &Node{
		settings: settings,
		self:     settings.Self,
		now:      now,
		lastStep: now,
		record:   durable.Voter,
		history:  newHistory(durable.Stamp, durable.Entries),
		known:    newerOf(durable.Voter.Accepted, durable.Voter.Heard),
		highest:  durable.Voter.Promised,
		random:   settings.Random | 1,
	}
	if node.self.Incarnation == "" {
		node.self.Incarnation = durable.Incarnation
	}
	node.disk = newDisk(durable)
	node.lastRequest = node.chance() >> 1
	node.silentSince = now - settings.Timing.ElectionAfter/2
	if node.record.Accepted.Primary == node.self.Incarnation {
		node.silentSince = now - settings.Timing.ElectionAfter // the others know that it doesn't lead any more
	}
	return node
}

func newerOf(a, b quorum.View) quorum.View {
	if a.ID.Less(b.ID) {
		return b
	}
	return a
}

// Step takes in one thing that happened and returns what is to be done about it.
func (n *Node) Step(now time.Duration, input Input) Effects {
	n.now = now
	n.effects = Effects{}
	if now-n.lastStep > frozenAfter {
		n.wake()
	}
	n.lastStep = now
	if !n.started {
		n.start()
	}
	switch input := input.(type) {
	case Tick:
		n.tick()
	case Received:
		n.receive(input.Message)
	case Persisted:
		n.persisted(input.Write)
	case DiskFailed:
		n.diskFailed(input.Write)
	case Propose:
		n.propose(input)
	case Confirm:
		n.confirm(input.Request)
	case Leave:
		n.leave()
	case SeedsChanged:
		n.settings.Seeds = input.Seeds
	case RestoredStateMarked:
		n.noteAgreed()
	}
	n.progress()
	return n.effects
}

// start records, before anything else, whether this process may take part in founding a core.
func (n *Node) start() {
	n.started = true
	first := n.settings.FirstStart || n.guards.foundingRepeats
	if !first || n.record.Promised != 0 || n.record.Accepted.ID != (quorum.ViewID{}) || n.history.stamp != (quorum.Stamp{}) {
		return
	}
	if n.record.MayFound || !n.isSeed() {
		return
	}
	n.record.MayFound = true
	n.writeRecord()
}

// wake forgets the silence of the time in which the process itself stood still.
func (n *Node) wake() {
	n.silentSince = n.now
	if n.leader.known {
		n.leader.heard = n.now
	}
	if n.leadership != nil {
		n.leadership.forgetSilence(n.now)
		n.leadership.askAgain()
	}
	if n.candidacy != nil {
		n.abandonCandidacy(n.now)
	}
}

func (n *Node) tick() {
	n.retryDisk()
	n.payOwedAnswer()
	n.tickFetch()
	n.dropIdleSnapshots()
	if n.leadership != nil {
		n.tickLeadership()
	} else {
		n.tickElection()
		n.tickJoining()
	}
	n.tickLeaving()
}

// progress does what has become possible by the input.
func (n *Node) progress() {
	if n.candidacy != nil {
		n.evaluateCandidacy()
	}
	if n.leadership != nil {
		n.progressLeadership()
	}
}

func (n *Node) receive(message Message) {
	if message.From.Incarnation == n.self.Incarnation || message.From.Incarnation == "" {
		n.drop()
		return
	}
	if message.To != "" && message.To != n.self.Incarnation {
		n.drop()
		return
	}
	switch {
	case message.Append != nil:
		n.onAppend(message)
	case message.AppendAnswer != nil:
		n.onAppendAnswer(message)
	case message.Poll != nil:
		n.onPoll(message)
	case message.PollAnswer != nil:
		n.onPollAnswer(message)
	case message.Prepare != nil:
		n.onPrepare(message)
	case message.Promise != nil:
		n.onPromise(message)
	case message.Refusal != nil:
		n.onRefusal(message)
	case message.Fetch != nil:
		n.onFetch(message)
	case message.Piece != nil:
		n.onPiece(message)
	case message.Join != nil:
		n.onJoin(message)
	case message.JoinAnswer != nil:
		n.onJoinAnswer(message)
	case message.Handover != nil:
		n.onHandover(message)
	default:
		n.drop()
	}
}

// Role of the node. Primary is no proof that it still leads: see Confirm.
func (n *Node) Role() Role {
	if n.leads() {
		return Primary
	}
	if _, votes := n.known.Voter(n.self.Incarnation); votes {
		return Backup
	}
	return Outsider
}

// View is the newest view known here.
func (n *Node) View() quorum.View { return n.known }

// PrimaryMember is where callers are sent. It is unknown while the primary is missed.
func (n *Node) PrimaryMember() (quorum.Member, bool) {
	if n.leads() {
		return n.self, true
	}
	fresh := n.leader.known && n.now-n.leader.heard <= n.settings.Timing.ElectionAfter
	if fresh && n.leader.committed != (quorum.ViewID{}) {
		return n.leader.member, true
	}
	if n.Role() != Outsider {
		return quorum.Member{}, false
	}
	if n.joining.standby {
		return n.joining.primary, true
	}
	if n.leader.known && n.leader.epoch >= n.known.ID.Epoch {
		return quorum.Member{}, false // the one that was followed is missed, and nobody later is known
	}
	return n.known.Voter(n.known.Primary)
}

// FollowedPrimary gives the primary that this node follows as a copy of its view, if it was heard lately.
func (n *Node) FollowedPrimary() (quorum.Member, bool) {
	if n.leadership != nil || !n.known.HasCopy(n.self.Incarnation) {
		return quorum.Member{}, false
	}
	return n.PrimaryMember()
}

// LiveCopies are the copies of the view that this node leads, itself included, that were heard lately.
func (n *Node) LiveCopies() []quorum.Member {
	if !n.leads() {
		return nil
	}
	var live []quorum.Member
	view := n.leadership.committed
	for _, member := range view.Voters {
		if view.HasCopy(member.Incarnation) && n.silence(member.Incarnation) <= 3*n.settings.Timing.Heartbeat {
			live = append(live, member)
		}
	}
	return live
}

// LeadsRestoredState tells whether this node leads with a state that was brought back from a dump: what was acknowledged since the dump was
// made isn't in it.
func (n *Node) LeadsRestoredState() bool { return n.leads() && n.record.Restored }

// Epoch of the view that this node leads; zero if it doesn't lead.
func (n *Node) Epoch() quorum.Epoch {
	if !n.leads() {
		return 0
	}
	return n.leadership.epoch
}

// Stamp of the last change that was committed or, at a backup, synced.
func (n *Node) Stamp() quorum.Stamp {
	if n.leads() {
		return n.history.stamp
	}
	return n.disk.stamp
}

// MayPropose tells whether a change would be taken now.
func (n *Node) MayPropose() bool {
	return n.leads() && n.leadership.pending == nil && !n.leaving.asked && !n.disk.bad
}

// Entry of the committed state.
func (n *Node) Entry(key string) ([]byte, bool) {
	value, found := n.history.entries[key]
	return value, found
}

// Entries of the committed state whose keys begin with the prefix, sorted by key.
func (n *Node) Entries(prefix string) []Mutation { return n.history.list(prefix) }

// Dropped counts messages that were thrown away as foreign, old, or answers to nothing that was asked.
func (n *Node) Dropped() uint64 { return n.dropped }

func (n *Node) leads() bool { return n.leadership != nil && n.leadership.phase == leading }

func (n *Node) drop() { n.dropped++ }

func (n *Node) event(what, text string) {
	n.effects.Events = append(n.effects.Events, Event{What: what, Text: text})
}

func (n *Node) decide(request uint64, outcome Outcome) {
	n.effects.Decisions = append(n.effects.Decisions, Decision{Request: request, Outcome: outcome})
}

// sendTo hands out a message to a member, to leave once the write is safe on disk.
func (n *Node) sendTo(member quorum.Member, after uint64, message Message) {
	message.From = n.self
	message.To = member.Incarnation
	n.effects.Send = append(n.effects.Send, Envelope{To: member.Address, After: after, Message: message})
}

// answer sends a message back to the sender of another.
func (n *Node) answer(question Message, after uint64, message Message) {
	message.Epoch = question.Epoch
	message.Request = question.Request
	n.sendTo(question.From, after, message)
}

// nextRequest names a question. The names of a later life of the process differ, since they start at random.
func (n *Node) nextRequest() uint64 {
	n.lastRequest++
	return n.lastRequest
}

// chance is a step of xorshift64.
func (n *Node) chance() uint64 {
	n.random ^= n.random << 13
	n.random ^= n.random >> 7
	n.random ^= n.random << 17
	return n.random
}

// jitter is a time below the limit.
func (n *Node) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.chance() % uint64(limit))
}

// learnView remembers a view that is newer than the newest known.
func (n *Node) learnView(view quorum.View) {
	if n.known.ID.Less(view.ID) {
		n.known = view
	}
	n.learnEpoch(view.ID.Epoch)
}

func (n *Node) learnEpoch(epoch quorum.Epoch) {
	if epoch > n.highest {
		n.highest = epoch
	}
}

// newerView is the newest view known, if it is newer than the other's.
func (n *Node) newerView(than quorum.ViewID) *quorum.View {
	if !than.Less(n.known.ID) {
		return nil
	}
	view := n.known
	return &view
}

func sortMembers(members []quorum.Member) {
	sort.Slice(members, func(a, b int) bool { return members[a].Incarnation < members[b].Incarnation })
}
