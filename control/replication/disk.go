package replication

import (
	"time"

	"eiderway/control/quorum"
)

// diskRetry is the pause before everything is written again after the disk refused a write.
const diskRetry = 300 * time.Millisecond

// disk keeps account of what was handed out to be written and what is known to be safe.
type disk struct {
	issued   uint64      // number of the last write
	open     []openWrite // not known to be safe, in order
	bad      bool        // a write was refused; the next write puts everything on disk again
	retryAt  time.Duration
	stamp    quorum.Stamp  // safe
	accepted quorum.ViewID // safe
	promised quorum.Epoch  // safe
}

// openWrite is what will be known to be safe with the write.
type openWrite struct {
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

// write hands out a write. While the disk is in trouble it only names the write that will repeat everything.
func (n *Node) write(write Write) uint64 {
	if n.disk.bad {
		return n.disk.issued + 1
	}
	n.disk.issued++
	write.Number = n.disk.issued
	n.effects.Writes = append(n.effects.Writes, write)
	n.disk.open = append(n.disk.open, openWrite{
		number:   write.Number,
		issued:   n.now,
		stamp:    n.writtenStamp(),
		accepted: n.record.Accepted.ID,
		promised: n.record.Promised,
	})
	return write.Number
}

// lastWrite is the write that covers everything in memory.
func (n *Node) lastWrite() uint64 {
	if n.disk.bad {
		return n.disk.issued + 1
	}
	return n.disk.issued
}

// writtenStamp is the stamp of the newest state that was handed out to be written.
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

// writeState puts what leads to the newest state on disk.
func (n *Node) writeState(mutations []Mutation) uint64 {
	stamp := n.writtenStamp()
	return n.write(Write{Mutations: mutations, Stamp: &stamp})
}

// writeAll repeats the whole state.
func (n *Node) writeAll() uint64 {
	record := n.record
	stamp := n.history.stamp
	return n.write(Write{Voter: &record, Replace: true, Mutations: n.history.list(""), Stamp: &stamp})
}

func (n *Node) persisted(number uint64) {
	before := n.disk
	for len(n.disk.open) > 0 && n.disk.open[0].number <= number {
		safe := n.disk.open[0]
		n.disk.open = n.disk.open[1:]
		n.disk.stamp = safe.stamp
		n.disk.accepted = safe.accepted
		n.disk.promised = safe.promised
	}
	if before.stamp != n.disk.stamp || before.accepted != n.disk.accepted {
		n.acknowledgeSync()
	}
}

// diskFailed: the write and all after it may be on disk or not. Nothing is said that rests on them until everything
// in memory has been written again. A primary can't know whether its own change lasts, so it steps down.
func (n *Node) diskFailed(number uint64) {
	for len(n.disk.open) > 0 && n.disk.open[len(n.disk.open)-1].number >= number {
		n.disk.open = n.disk.open[:len(n.disk.open)-1]
	}
	n.disk.bad = true
	n.disk.retryAt = n.now + diskRetry
	if n.candidacy != nil {
		n.abandonCandidacy(n.now)
	}
	if n.leadership != nil {
		n.handOverAtOnce()
		n.stepDown("the disk refused a write")
	}
}

func (n *Node) retryDisk() {
	if !n.disk.bad || n.now < n.disk.retryAt {
		return
	}
	n.disk.bad = false
	n.writeAll()
}

// diskHangs tells that a write has been under way for too long.
func (n *Node) diskHangs() bool {
	return len(n.disk.open) > 0 && n.now-n.disk.open[0].issued > n.settings.Timing.OwnDiskAfter
}
