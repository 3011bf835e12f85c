// Package role keeps what a gateway has seen of the roles of a service's instances, and answers what a read must see. It does no I/O and knows
// no clock.
//
// A position that was read at the lawful leader of a service covers every commit that had been acknowledged when the question for it was sent: a
// commit gets its number before it is acknowledged. So a read whose data may be some time old runs at any instance whose log holds a position that
// was asked for within that time. The instance itself proves that it does (AFTERPOS); nothing is guessed from lags.
package role

import (
	"time"

	"eiderway/control/failover"
)

const (
	// spacing is the time between the positions that are kept: finer ones change nothing for bounds of a second.
	spacing = 50 * time.Millisecond
	// mostKept is how many are kept: six seconds of a busy service, longer of a quiet one.
	mostKept = 128
)

// seen is a position of the leader and when it was asked for.
type seen struct {
	asked    time.Duration
	position failover.Position
}

// Positions are those of the lawful leader of one service, by when they were asked for, the earliest first.
type Positions struct{ kept []seen }

// Record notes a position that the lawful leader named in answer to a question that was sent no earlier than asked.
func (p *Positions) Record(asked time.Duration, position failover.Position) {
	count := len(p.kept)
	if count > 0 && asked <= p.kept[count-1].asked {
		return // a later question has been answered already
	}
	if count > 1 && asked-p.kept[count-2].asked < spacing {
		p.kept[count-1] = seen{asked, position}
		return
	}
	if count == mostKept {
		copy(p.kept, p.kept[1:])
		p.kept = p.kept[:count-1]
	}
	p.kept = append(p.kept, seen{asked, position})
}

// Covering is the lowest position known that covers every commit acknowledged before a moment; false: none is known.
func (p *Positions) Covering(moment time.Duration) (failover.Position, bool) {
	for _, one := range p.kept {
		if one.asked >= moment {
			return one.position, true
		}
	}
	return failover.Position{}, false
}

// Newest is when the newest position was asked for; false: none is known.
func (p *Positions) Newest() (time.Duration, bool) {
	if len(p.kept) == 0 {
		return 0, false
	}
	return p.kept[len(p.kept)-1].asked, true
}

// staleMargin is the part of a read's bound that is kept back: the read takes time on its way, and may wait at the instance.
const staleMargin = 5

// Bound says what a read must see.
type Bound struct {
	Staleness time.Duration // all that was acknowledged longer ago than this
	OwnWrites bool          // and all that its own session committed
}

// RequiredPosition is the position that a read must see now, given the one that its session's last commit has reached; false: no position is known that
// covers the bound.
func (b Bound) RequiredPosition(now time.Duration, positions *Positions, written failover.Position) (failover.Position, bool) {
	after, covered := positions.Covering(now - b.Staleness + b.Staleness/staleMargin)
	if b.OwnWrites && after.Less(written) {
		after = written
	}
	return after, covered
}
