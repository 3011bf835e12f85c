package replication

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/quorum"
)

const (
	// pieceBytes keeps a piece's way over a link of 2 Mbit/s at 65 ms, so that heartbeats aren't held up behind it.
	pieceBytes = 16 << 10
	// pieceRetry: a piece that has not come by then is asked for again.
	pieceRetry = 400 * time.Millisecond
	// fetchLostAfter: after this long without a piece the source is taken for lost.
	fetchLostAfter = 2 * time.Second
	// snapshotIdleAfter frees a snapshot that nobody fetches any more.
	snapshotIdleAfter = 5 * time.Second
	// servedSnapshots: who fetches slowly goes on with an older one while others begin with the newest.
	servedSnapshots = 2
)

var errSnapshotCutOff = eris.New("replication: a snapshot ends in the middle of an entry")

// serving is a snapshot that others fetch. Changes that come meanwhile don't touch it.
type serving struct {
	stamp quorum.Stamp
	bytes []byte
	used  time.Duration
}

func (s *serving) pieces() int { return max(1, (len(s.bytes)+pieceBytes-1)/pieceBytes) }

func (s *serving) piece(index int) []byte {
	from := min(index*pieceBytes, len(s.bytes))
	to := min(from+pieceBytes, len(s.bytes))
	return s.bytes[from:to]
}

// fetch is a snapshot on its way here.
type fetch struct {
	source   quorum.Member
	epoch    quorum.Epoch
	stamp    quorum.Stamp
	next     int
	bytes    []byte
	request  uint64
	asked    time.Duration
	advanced time.Duration
}

// encodeEntries writes entries one after the other, each length before its bytes.
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
		return nil, nil, errSnapshotCutOff
	}
	end := used + int(length)
	return in[used:end:end], in[end:], nil
}

// offered is a snapshot from which it is worthwhile to go on with changes: the newest that is served, or a new one.
func (n *Node) offered() *serving {
	if count := len(n.serving); count > 0 {
		newest := n.serving[count-1]
		changes, leads := n.changesAfter(newest.stamp)
		if leads && n.history.worthwhile(changes) {
			return newest
		}
	}
	made := &serving{stamp: n.history.stamp, bytes: encodeEntries(n.history.list("")), used: n.now}
	n.serving = append(n.serving, made)
	if len(n.serving) > servedSnapshots {
		n.serving = n.serving[1:]
	}
	return made
}

// served is the snapshot asked for, as long as changes lead on from it.
func (n *Node) served(stamp quorum.Stamp) *serving {
	for _, one := range n.serving {
		if one.stamp != stamp {
			continue
		}
		if _, leads := n.changesAfter(stamp); leads {
			return one
		}
	}
	return n.offered()
}

// changesAfter returns the changes that lead from a snapshot to the present state. A candidate, to whom a voter shows the
// state that it promised, gets no changes after it.
func (n *Node) changesAfter(stamp quorum.Stamp) ([]Change, bool) {
	if n.leadership == nil {
		return nil, stamp == n.history.stamp
	}
	if stamp.Epoch != n.leadership.epoch {
		return nil, false
	}
	return n.history.since(stamp)
}

func (n *Node) dropIdleSnapshots() {
	if len(n.serving) == 0 {
		return
	}
	kept := n.serving[:0:0]
	for _, one := range n.serving {
		if n.now-one.used <= snapshotIdleAfter {
			kept = append(kept, one)
		}
	}
	n.serving = kept
}

// onFetch serves a member that follows this node, or a candidate that has this node's promise.
func (n *Node) onFetch(message Message) {
	leads := n.leadership != nil && n.leadership.epoch == message.Epoch
	promised := n.leadership == nil && n.record.Promised == message.Epoch && n.candidacy == nil
	if !leads && !promised {
		n.drop()
		return
	}
	served := n.served(message.Fetch.Stamp)
	served.used = n.now
	index := message.Fetch.Index
	if message.Fetch.Stamp != served.stamp || index < 0 || index >= served.pieces() {
		index = 0
	}
	n.answer(message, 0, Message{Piece: &Piece{
		Stamp: served.stamp,
		Index: index,
		Total: served.pieces(),
		Bytes: served.piece(index),
	}})
}

// startFetch begins to fetch a snapshot, unless one from the same source is on its way.
func (n *Node) startFetch(source quorum.Member, epoch quorum.Epoch, stamp quorum.Stamp) {
	if n.fetch != nil && n.fetch.epoch == epoch && n.fetch.source.Incarnation == source.Incarnation {
		return
	}
	n.fetch = &fetch{source: source, epoch: epoch, stamp: stamp, advanced: n.now}
	n.askPiece()
}

func (n *Node) askPiece() {
	n.fetch.request = n.nextRequest()
	n.fetch.asked = n.now
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
	if n.now-n.fetch.advanced > fetchLostAfter {
		n.fetch = nil
		return
	}
	if n.now-n.fetch.asked >= pieceRetry {
		n.askPiece()
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
		n.abandonCandidacy(n.retrySoon()) // not the state that was promised
		return
	}
	if piece.Stamp != n.fetch.stamp { // the one that was asked for is gone
		n.fetch.stamp = piece.Stamp
		n.fetch.next = 0
		n.fetch.bytes = nil
	}
	if piece.Index != n.fetch.next {
		n.askPiece()
		return
	}
	n.fetch.bytes = append(n.fetch.bytes, piece.Bytes...)
	n.fetch.next++
	n.fetch.advanced = n.now
	if n.fetch.next < piece.Total {
		n.askPiece()
		return
	}
	n.install()
}

// install replaces the state by a snapshot that is complete.
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
	n.noteAgreed()
	n.event("snapshot installed", done.stamp.String())
	if n.candidacy != nil {
		n.takeOver(n.candidacy.base)
		return
	}
	n.sendAnswer()
}
