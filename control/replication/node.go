package replication

import (
	"sort"
	"time"

	"eiderway/control/quorum"
)

// frozenAfter is the gap between two steps after which the process itself is taken to have been frozen: the host steps a
// node every few tens of milliseconds. Silence during a freeze says nothing about the other members.
const frozenAfter = 500 * time.Millisecond

// Node decides what one controller does about the control state. It is a pure state machine: everything that happens
// comes in through Step, and everything that the host must do is returned as Effects.
type Node struct {
	settings Settings
	self     quorum.Member
	now      time.Duration
	lastStep time.Duration
	started  bool
	effects  Effects
	guards   disabledGuards

	record  quorum.VoterRecord // as in the last write
	history history
	disk    disk

	known       quorum.View    // newest view heard of from any source
	highest     quorum.Epoch   // highest epoch heard of from any source
	leader      followedLeader // primary or candidate that this node follows
	silentSince time.Duration  // when the primary was last heard, or shifted to time the next candidacy

	lastRequest uint64
	random      uint64
	candidacy   *candidacy
	leadership  *leadership
	fetch       *snapshotFetch
	snapshots   []*servedSnapshot // oldest first
	deferred    *deferredAnswer
	joining     joining
	leaving     leaving
	dropped     uint64
}

// disabledGuards switches off single safety rules. Only tests set it, to check that they find what the rule prevents.
type disabledGuards struct {
	promiseBeforeSync      bool // a promise is sent before it is on disk
	lowerEpochAccepted     bool // a backup accepts changes of an epoch below the one it has promised
	oneCopyMayLag          bool // a change is committed although one copy has not synced it
	noMinCopies            bool // fewer copies than tolerance + 1 are enough
	confirmWithoutMajority bool // the primacy is confirmed without answers of others
	concurrentViewChanges  bool // a view change begins before the previous one is committed
	emptyDiskVotes         bool // a node that never accepted a view votes
	anyVoterTakesOver      bool // a candidate takes over with its own state without being a copy of the newest accepted view
	foundingRepeatable     bool // an empty disk is enough to take part in founding
	viewBeforeRestamp      bool // the first view of an epoch is proposed before the state is synced
}

// followedLeader is the primary or candidate to which a node has given its newest promise, or whose messages it accepts.
type followedLeader struct {
	member    quorum.Member
	epoch     quorum.Epoch
	heardAt   time.Duration
	committed quorum.ViewID // newest committed view that it has announced; zero while it is a candidate
	round     uint64        // newest round heard
	known     bool
}

// NewNode returns a node that starts from the state on its disk.
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
	node.lastRequest = node.nextRandom() >> 1
	node.silentSince = now - settings.Timing.ElectionAfter/2
	if node.record.Accepted.Primary == node.self.Incarnation {
		node.silentSince = now - settings.Timing.ElectionAfter // it was the primary itself, and the others miss it already
	}
	return node
}

func newerOf(a, b quorum.View) quorum.View {
	if a.ID.Less(b.ID) {
		return b
	}
	return a
}

// Step processes one input and returns what the host must do.
func (n *Node) Step(now time.Duration, input Input) Effects {
	n.now = now
	n.effects = Effects{}
	if now-n.lastStep > frozenAfter {
		n.resumeAfterFreeze()
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
		n.onPersisted(input.Write)
	case DiskFailed:
		n.onDiskFailed(input.Write)
	case Propose:
		n.propose(input)
	case Confirm:
		n.confirm(input.Request)
	case Leave:
		n.leave()
	case SeedsChanged:
		n.settings.Seeds = input.Seeds
	case RestoredStateMarked:
		n.clearRestored()
	}
	n.progress()
	return n.effects
}

// start records, before anything else, whether this process may take part in founding a core.
func (n *Node) start() {
	n.started = true
	first := n.settings.FirstStart || n.guards.foundingRepeatable
	if !first || n.record.Promised != 0 || n.record.Accepted.ID != (quorum.ViewID{}) || n.history.stamp != (quorum.Stamp{}) {
		return
	}
	if n.record.MayFound || !n.isSeed() {
		return
	}
	n.record.MayFound = true
	n.writeRecord()
}

// resumeAfterFreeze discards the silence observed while the process itself was frozen.
func (n *Node) resumeAfterFreeze() {
	n.silentSince = n.now
	if n.leader.known {
		n.leader.heardAt = n.now
	}
	if n.leadership != nil {
		n.leadership.resetSilence(n.now)
		n.leadership.requireNewAnswers()
	}
	if n.candidacy != nil {
		n.abandonCandidacy(n.now)
	}
}

func (n *Node) tick() {
	n.retryDisk()
	n.sendOverdueAnswer()
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

// progress takes the steps that the input has made possible.
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

// Role returns the role of the node. Primary is no proof that it still leads; see Confirm.
func (n *Node) Role() Role {
	if n.leads() {
		return Primary
	}
	if _, votes := n.known.Voter(n.self.Incarnation); votes {
		return Backup
	}
	return NonMember
}

// View returns the newest view that this node knows.
func (n *Node) View() quorum.View { return n.known }

// PrimaryMember returns the primary that callers are sent to. It is unknown while the primary is silent.
func (n *Node) PrimaryMember() (quorum.Member, bool) {
	if n.leads() {
		return n.self, true
	}
	fresh := n.leader.known && n.now-n.leader.heardAt <= n.settings.Timing.ElectionAfter
	if fresh && n.leader.committed != (quorum.ViewID{}) {
		return n.leader.member, true
	}
	if n.Role() != NonMember {
		return quorum.Member{}, false
	}
	if n.joining.coreFull {
		return n.joining.primary, true
	}
	if n.leader.known && n.leader.epoch >= n.known.ID.Epoch {
		return quorum.Member{}, false // the followed primary is silent, and no later one is known
	}
	return n.known.Voter(n.known.Primary)
}

// FollowedPrimary returns the primary that this node follows as a copy of its view, if it was heard recently.
func (n *Node) FollowedPrimary() (quorum.Member, bool) {
	if n.leadership != nil || !n.known.HasCopy(n.self.Incarnation) {
		return quorum.Member{}, false
	}
	return n.PrimaryMember()
}

// LiveCopies returns the copies of the view that this node leads, itself included, that were heard recently.
func (n *Node) LiveCopies() []quorum.Member {
	if !n.leads() {
		return nil
	}
	var live []quorum.Member
	view := n.leadership.committed
	for _, member := range view.Voters {
		if view.HasCopy(member.Incarnation) && n.silenceOf(member.Incarnation) <= 3*n.settings.Timing.Heartbeat {
			live = append(live, member)
		}
	}
	return live
}

// LeadsRestoredState reports whether this node leads with a state restored from a dump. What was acknowledged after the
// dump is missing from it.
func (n *Node) LeadsRestoredState() bool { return n.leads() && n.record.Restored }

// Epoch returns the epoch of the view that this node leads, or zero if it doesn't lead.
func (n *Node) Epoch() quorum.Epoch {
	if !n.leads() {
		return 0
	}
	return n.leadership.epoch
}

// Stamp returns the stamp of the last change that was committed or, on a backup, synced.
func (n *Node) Stamp() quorum.Stamp {
	if n.leads() {
		return n.history.stamp
	}
	return n.disk.stamp
}

// MayPropose reports whether a change would be accepted now.
func (n *Node) MayPropose() bool {
	return n.leads() && n.leadership.pending == nil && !n.leaving.requested && !n.disk.failed
}

// Entry returns one entry of the committed state.
func (n *Node) Entry(key string) ([]byte, bool) {
	value, found := n.history.entries[key]
	return value, found
}

// Entries returns the entries of the committed state whose keys begin with the prefix, sorted by key.
func (n *Node) Entries(prefix string) []Mutation { return n.history.list(prefix) }

// DroppedMessages counts messages that were ignored as foreign, outdated or unsolicited.
func (n *Node) DroppedMessages() uint64 { return n.dropped }

func (n *Node) leads() bool { return n.leadership != nil && n.leadership.phase == leading }

func (n *Node) drop() { n.dropped++ }

func (n *Node) logEvent(what, text string) {
	n.effects.Events = append(n.effects.Events, Event{What: what, Text: text})
}

func (n *Node) decide(request uint64, outcome Outcome) {
	n.effects.Decisions = append(n.effects.Decisions, Decision{Request: request, Outcome: outcome})
}

// sendTo sends a message to a member once the write after (0: none) is synced to disk.
func (n *Node) sendTo(member quorum.Member, after uint64, message Message) {
	message.From = n.self
	message.To = member.Incarnation
	n.effects.Send = append(n.effects.Send, Envelope{To: member.Address, After: after, Message: message})
}

// reply answers a message, with the same epoch and request.
func (n *Node) reply(question Message, after uint64, message Message) {
	message.Epoch = question.Epoch
	message.Request = question.Request
	n.sendTo(question.From, after, message)
}

// nextRequest returns the identifier of a new question. Identifiers start at a random number, so that those of a restarted
// process differ.
func (n *Node) nextRequest() uint64 {
	n.lastRequest++
	return n.lastRequest
}

// nextRandom advances the xorshift64 generator.
func (n *Node) nextRandom() uint64 {
	n.random ^= n.random << 13
	n.random ^= n.random >> 7
	n.random ^= n.random << 17
	return n.random
}

// jitter returns a random duration below the limit.
func (n *Node) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.nextRandom() % uint64(limit))
}

// learnView keeps a view if it is newer than the newest known.
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

// newerView returns the newest view known if it is newer than the given one, else nil.
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
