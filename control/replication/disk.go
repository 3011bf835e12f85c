package replication

import (
	"time"

	"eiderway/control/quorum"
)

// diskRetry is the pause after a failed write before the whole state is written again.
const diskRetry = 300 * time.Millisecond

// disk tracks which writes were issued and what is known to be synced.
type disk struct {
	issued   uint64          // number of the last write
	unsynced []unsyncedWrite // issued and not known to be synced, in order
	failed   bool            // a write failed; the next write repeats the whole state
	retryAt  time.Duration
	stamp    quorum.Stamp  // synced
	accepted quorum.ViewID // synced
	promised quorum.Epoch  // synced
}

// unsyncedWrite holds what is known to be synced once this write is.
type unsyncedWrite struct {
	number   uint64
	issued   time.Duration
	stamp    quorum.Stamp
	accepted quorum.ViewID
	promised quorum.Epoch
}

func newDisk(durable DurableState) disk {
	return disk{
		stamp:    durable.Stamp,
		accepted: durable.Voter.Accepted.ID,
		promised: durable.Voter.Promised,
	}
}

// write issues a write and returns its number. After a failure it issues nothing and returns the number of the write that
// will repeat the whole state.
func (n *Node) write(write Write) uint64 {
	if n.disk.failed {
		return n.disk.issued + 1
	}
	n.disk.issued++
	write.Number = n.disk.issued
	n.effects.Writes = append(n.effects.Writes, write)
	n.disk.unsynced = append(n.disk.unsynced, unsyncedWrite{
		number:   write.Number,
		issued:   n.now,
		stamp:    n.writtenStamp(),
		accepted: n.record.Accepted.ID,
		promised: n.record.Promised,
	})
	return write.Number
}

// lastWrite returns the number of the write that covers everything in memory.
func (n *Node) lastWrite() uint64 {
	if n.disk.failed {
		return n.disk.issued + 1
	}
	return n.disk.issued
}

// writtenStamp returns the stamp of the newest state for which a write was issued, a pending change included.
func (n *Node) writtenStamp() quorum.Stamp {
	if n.leadership != nil && n.leadership.pending != nil {
		return n.leadership.pending.change.Stamp
	}
	return n.history.stamp
}

func (n *Node) writeRecord() uint64 {
	record := n.record
	return n.write(Write{Voter: &record})
}

// writeState writes the mutations that lead to the newest state.
func (n *Node) writeState(mutations []Mutation) uint64 {
	stamp := n.writtenStamp()
	return n.write(Write{Mutations: mutations, Stamp: &stamp})
}

// writeAll writes the voter record and the whole state again.
func (n *Node) writeAll() uint64 {
	record := n.record
	stamp := n.history.stamp
	return n.write(Write{Voter: &record, Replace: true, Mutations: n.history.list(""), Stamp: &stamp})
}

func (n *Node) onPersisted(number uint64) {
	before := n.disk
	for len(n.disk.unsynced) > 0 && n.disk.unsynced[0].number <= number {
		synced := n.disk.unsynced[0]
		n.disk.unsynced = n.disk.unsynced[1:]
		n.disk.stamp = synced.stamp
		n.disk.accepted = synced.accepted
		n.disk.promised = synced.promised
	}
	if before.stamp != n.disk.stamp || before.accepted != n.disk.accepted {
		n.acknowledgeSync()
	}
}

// onDiskFailed handles a failed write: it and all later ones may be on disk or not. Nothing that depends on them is sent
// until everything in memory has been written again. A primary can't know whether its own change survives, so it steps down.
func (n *Node) onDiskFailed(number uint64) {
	for len(n.disk.unsynced) > 0 && n.disk.unsynced[len(n.disk.unsynced)-1].number >= number {
		n.disk.unsynced = n.disk.unsynced[:len(n.disk.unsynced)-1]
	}
	n.disk.failed = true
	n.disk.retryAt = n.now + diskRetry
	if n.candidacy != nil {
		n.abandonCandidacy(n.now)
	}
	if n.leadership != nil {
		n.handOverIfLeading()
		n.stepDown("a disk write failed")
	}
}

func (n *Node) retryDisk() {
	if !n.disk.failed || n.now < n.disk.retryAt {
		return
	}
	n.disk.failed = false
	n.writeAll()
}

// isDiskHanging reports whether a write has taken too long.
func (n *Node) isDiskHanging() bool {
	return len(n.disk.unsynced) > 0 && n.now-n.disk.unsynced[0].issued > n.settings.Timing.OwnDiskAfter
}
