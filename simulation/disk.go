package simulation

import (
	"math/rand/v2"
	"time"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// PowerLoss says what becomes of the writes that a disk had taken and not yet synced.
type PowerLoss int

const (
	// LosesSome keeps a random number of the first ones: each write is a transaction of the store, in order.
	LosesSome PowerLoss = iota
	// LosesAll keeps none of them.
	LosesAll
	// LosesNone keeps all of them.
	LosesNone
)

// disk keeps what one controller has synced. Writes are synced in order; what comes in during a sync shares the next.
type disk struct {
	schedule *schedule
	random   *rand.Rand

	incarnation quorum.Incarnation
	voter       quorum.VoterRecord
	stamp       quorum.Stamp
	entries     map[string][]byte

	pending []replication.Write // handed out and not synced
	syncing int                 // how many of them the running sync covers
	life    int                 // of the process whose writes these are
	done    func(life int, write uint64)
	failed  func(life int, write uint64)

	syncTime time.Duration
	slowness float64
	stalled  bool
	full     bool
	bytes    int64 // written since the start, for reports
}

func newDisk(schedule *schedule, random *rand.Rand, syncTime time.Duration) *disk {
	return &disk{schedule: schedule, random: random, syncTime: syncTime, slowness: 1, entries: map[string][]byte{}}
}

// durable is what a process finds when it starts.
func (d *disk) durable() replication.DurableState {
	entries := make(map[string][]byte, len(d.entries))
	for key, value := range d.entries {
		entries[key] = append([]byte(nil), value...)
	}
	return replication.DurableState{Incarnation: d.incarnation, Voter: d.voter, Stamp: d.stamp, Entries: entries}
}

// submit takes a write of the process of the given life.
func (d *disk) submit(life int, write replication.Write) {
	d.life = life
	d.pending = append(d.pending, write)
	d.begin()
}

func (d *disk) begin() {
	if d.syncing > 0 || d.stalled || len(d.pending) == 0 {
		return
	}
	d.syncing = len(d.pending)
	life := d.life
	took := time.Duration(float64(d.syncTime) * d.slowness * (0.8 + 0.4*d.random.Float64()))
	d.schedule.after(took, func() { d.finish(life) })
}

func (d *disk) finish(life int) {
	if life != d.life || d.syncing == 0 {
		return
	}
	if d.stalled {
		d.schedule.after(stallPoll, func() { d.finish(life) })
		return
	}
	covered := d.pending[:d.syncing]
	d.syncing = 0
	if d.full {
		first := covered[0].Number
		d.pending = nil
		d.failed(life, first)
		return
	}
	last := covered[len(covered)-1].Number
	for _, write := range covered {
		d.apply(write)
	}
	d.pending = append([]replication.Write(nil), d.pending[len(covered):]...)
	d.begin()
	d.done(life, last)
}

// stallPoll is how often a stalled disk looks whether it works again.
const stallPoll = 5 * time.Millisecond

func (d *disk) apply(write replication.Write) {
	if write.Voter != nil {
		d.voter = *write.Voter
	}
	if write.Replace {
		d.entries = map[string][]byte{}
	}
	for _, mutation := range write.Mutations {
		if mutation.Delete {
			delete(d.entries, mutation.Key)
			continue
		}
		d.entries[mutation.Key] = append([]byte(nil), mutation.Value...)
		d.bytes += int64(len(mutation.Key) + len(mutation.Value))
	}
	if write.Stamp != nil {
		d.stamp = *write.Stamp
	}
}

// drop ends the writes of a process that is gone. A write is whole or absent, and none is kept without those before it.
func (d *disk) drop(how PowerLoss) {
	kept := 0
	switch how {
	case LosesNone:
		kept = len(d.pending)
	case LosesSome:
		kept = d.random.IntN(len(d.pending) + 1)
	}
	if d.full {
		kept = 0
	}
	for _, write := range d.pending[:kept] {
		d.apply(write)
	}
	d.pending = nil
	d.syncing = 0
	d.life = -1
}

// stall holds every sync until resume.
func (d *disk) stall() { d.stalled = true }

func (d *disk) resume() {
	d.stalled = false
	d.begin()
}

// wipe leaves an empty disk.
func (d *disk) wipe() {
	d.drop(LosesAll)
	d.incarnation = ""
	d.voter = quorum.VoterRecord{}
	d.stamp = quorum.Stamp{}
	d.entries = map[string][]byte{}
}
