package replication

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/quorum"
)

const (
	// pieceBytes makes a piece take 65 ms on a link of 2 Mbit/s, so that heartbeats are not delayed much behind it.
	pieceBytes = 16 << 10
	// pieceRetry is how long a node waits for a piece before it asks again.
	pieceRetry = 400 * time.Millisecond
	// fetchLostAfter is how long a node waits for a piece before it takes the source for lost.
	fetchLostAfter = 2 * time.Second
	// snapshotIdleAfter is when a snapshot that nobody fetches any more is freed.
	snapshotIdleAfter = 5 * time.Second
	// maxServedSnapshots allows a slow fetch to finish an older snapshot while others begin with the newest.
	maxServedSnapshots = 2
)

var errSnapshotTruncated = eris.New("replication: snapshot ends in the middle of an entry")

// servedSnapshot is a snapshot that others fetch. Later changes don't affect it.
type servedSnapshot struct {
	stamp  quorum.Stamp
	bytes  []byte
	usedAt time.Duration
}

func (s *servedSnapshot) pieces() int { return max(1, (len(s.bytes)+pieceBytes-1)/pieceBytes) }

func (s *servedSnapshot) piece(index int) []byte {
	from := min(index*pieceBytes, len(s.bytes))
	to := min(from+pieceBytes, len(s.bytes))
	return s.bytes[from:to]
}

// snapshotFetch is a snapshot that this node is fetching.
type snapshotFetch struct {
	source     quorum.Member
	epoch      quorum.Epoch
	stamp      quorum.Stamp
	next       int
	bytes      []byte
	request    uint64
	askedAt    time.Duration
	advancedAt time.Duration
}

// encodeEntries writes the keys and values one after the other, each with its length before it.
func encodeEntries(entries []Mutation) []byte {
	var out []byte
	for _, entry := range entries {
		out = binary.AppendUvarint(out, uint64(len(entry.Key)))
		out = append(out, entry.Key...)
		out = binary.AppendUvarint(out, uint64(len(entry.Value)))
		out = append(out, entry.Value...)
	}
	return out
}

func decodeEntries(in []byte) (map[string][]byte, error) {
	entries := map[string][]byte{}
	for len(in) > 0 {
		key, rest, err := decodeBytes(in)
		if err != nil {
			return nil, err
		}
		value, rest, err := decodeBytes(rest)
		if err != nil {
			return nil, err
		}
		entries[string(key)] = value
		in = rest
	}
	return entries, nil
}

func decodeBytes(in []byte) (field, rest []byte, err error) {
	length, used := binary.Uvarint(in)
	if used <= 0 || uint64(len(in)-used) < length {
		return nil, nil, errSnapshotTruncated
	}
	end := used + int(length)
	return in[used:end:end], in[end:], nil
}

// currentSnapshot returns the newest served snapshot if sending the changes after it is cheaper than a new one, else a new one.
func (n *Node) currentSnapshot() *servedSnapshot {
	if count := len(n.snapshots); count > 0 {
		newest := n.snapshots[count-1]
		changes, found := n.changesAfter(newest.stamp)
		if found && n.history.prefersChanges(changes) {
			return newest
		}
	}
	created := &servedSnapshot{stamp: n.history.stamp, bytes: encodeEntries(n.history.list("")), usedAt: n.now}
	n.snapshots = append(n.snapshots, created)
	if len(n.snapshots) > maxServedSnapshots {
		n.snapshots = n.snapshots[1:]
	}
	return created
}

// snapshotFor returns the requested snapshot if the changes after it are kept, else the current one.
func (n *Node) snapshotFor(stamp quorum.Stamp) *servedSnapshot {
	for _, snapshot := range n.snapshots {
		if snapshot.stamp != stamp {
			continue
		}
		if _, found := n.changesAfter(stamp); found {
			return snapshot
		}
	}
	return n.currentSnapshot()
}

// changesAfter returns the changes that lead from a snapshot to the current state, and whether they are available. A voter that
// serves a candidate has none: its snapshot must be the state that it promised.
func (n *Node) changesAfter(stamp quorum.Stamp) ([]Change, bool) {
	if n.leadership == nil {
		return nil, stamp == n.history.stamp
	}
	if stamp.Epoch != n.leadership.epoch {
		return nil, false
	}
	return n.history.changesSince(stamp)
}

func (n *Node) dropIdleSnapshots() {
	if len(n.snapshots) == 0 {
		return
	}
	kept := n.snapshots[:0:0]
	for _, snapshot := range n.snapshots {
		if n.now-snapshot.usedAt <= snapshotIdleAfter {
			kept = append(kept, snapshot)
		}
	}
	n.snapshots = kept
}

// onFetch serves a follower of this node, or a candidate that has this node's promise.
func (n *Node) onFetch(message Message) {
	leads := n.leadership != nil && n.leadership.epoch == message.Epoch
	promised := n.leadership == nil && n.record.Promised == message.Epoch && n.candidacy == nil
	if !leads && !promised {
		n.drop()
		return
	}
	snapshot := n.snapshotFor(message.Fetch.Stamp)
	snapshot.usedAt = n.now
	index := message.Fetch.Index
	if message.Fetch.Stamp != snapshot.stamp || index < 0 || index >= snapshot.pieces() {
		index = 0
	}
	n.reply(message, 0, Message{Piece: &Piece{
		Stamp: snapshot.stamp,
		Index: index,
		Total: snapshot.pieces(),
		Bytes: snapshot.piece(index),
	}})
}

// startFetch begins to fetch a snapshot, unless one of the epoch is being fetched from the same source.
func (n *Node) startFetch(source quorum.Member, epoch quorum.Epoch, stamp quorum.Stamp) {
	if n.fetch != nil && n.fetch.epoch == epoch && n.fetch.source.Incarnation == source.Incarnation {
		return
	}
	n.fetch = &snapshotFetch{source: source, epoch: epoch, stamp: stamp, advancedAt: n.now}
	n.requestPiece()
}

func (n *Node) requestPiece() {
	n.fetch.request = n.nextRequest()
	n.fetch.askedAt = n.now
	n.sendTo(n.fetch.source, 0, Message{
		Epoch:   n.fetch.epoch,
		Request: n.fetch.request,
		Fetch:   &Fetch{Stamp: n.fetch.stamp, Index: n.fetch.next},
	})
}

func (n *Node) tickFetch() {
	if n.fetch == nil {
		return
	}
	if n.now-n.fetch.advancedAt > fetchLostAfter {
		n.fetch = nil
		return
	}
	if n.now-n.fetch.askedAt >= pieceRetry {
		n.requestPiece()
	}
}

func (n *Node) onPiece(message Message) {
	piece := message.Piece
	if n.fetch == nil || n.fetch.request != message.Request || n.fetch.epoch != message.Epoch ||
		n.fetch.source.Incarnation != message.From.Incarnation {
		n.drop()
		return
	}
	if piece.Stamp != n.fetch.stamp && n.candidacy != nil {
		n.abandonCandidacy(n.silenceStartForRetry()) // not the state that the source promised
		return
	}
	if piece.Stamp != n.fetch.stamp { // the requested snapshot is gone
		n.fetch.stamp = piece.Stamp
		n.fetch.next = 0
		n.fetch.bytes = nil
	}
	if piece.Index != n.fetch.next {
		n.requestPiece()
		return
	}
	n.fetch.bytes = append(n.fetch.bytes, piece.Bytes...)
	n.fetch.next++
	n.fetch.advancedAt = n.now
	if n.fetch.next < piece.Total {
		n.requestPiece()
		return
	}
	n.install()
}

// install replaces the state by the complete snapshot.
func (n *Node) install() {
	done := n.fetch
	n.fetch = nil
	entries, err := decodeEntries(done.bytes)
	if err != nil || n.record.Promised != done.epoch || n.hasReached(done.epoch, done.stamp) {
		n.drop()
		return
	}
	n.history = newHistory(done.stamp, entries)
	n.writeAll()
	n.clearRestored()
	n.logEvent("snapshot installed", done.stamp.String())
	if n.candidacy != nil {
		n.takeOver(n.candidacy.base)
		return
	}
	n.sendAnswer()
}
