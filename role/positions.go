// Package role keeps the log positions that a gateway has seen at the leader of a service, and computes the position that a read must
// see. It does no I/O and has no clock.
//
// A position read at the valid leader of a service (the leader by a table under a valid lease, from the request to the answer) covers every
// commit that had been acknowledged when the request for it was sent: a commit gets its number before it is acknowledged. So a read that
// tolerates some staleness may run at any instance whose log has reached a position that was requested within that time. The instance
// itself checks that it has (AFTERPOS); nothing is estimated from lags.
package role

import (
	"time"

	"eiderway/control/failover"
)

const (
	// minSpacing is the time between the positions that are kept: finer spacing makes no difference for staleness bounds of a second.
	minSpacing = 50 * time.Millisecond
	// maxPositions is how many positions are kept: they cover six seconds of a busy service, and more of a quiet one.
	maxPositions = 128
)

// observedPosition is a position of the leader and when it was requested.
type observedPosition struct {
	askedAt  time.Duration
	position failover.Position
}

// Positions holds the observed positions of the valid leader of one service, in the order in which they were requested.
type Positions struct{ kept []observedPosition }

// Record adds a position that the valid leader reported in answer to a request sent no earlier than askedAt.
func (p *Positions) Record(askedAt time.Duration, position failover.Position) {
	count := len(p.kept)
	if count > 0 && askedAt <= p.kept[count-1].askedAt {
		return // a later request has been answered already
	}
	if count > 1 && askedAt-p.kept[count-2].askedAt < minSpacing {
		p.kept[count-1] = observedPosition{askedAt, position}
		return
	}
	if count == maxPositions {
		copy(p.kept, p.kept[1:])
		p.kept = p.kept[:count-1]
	}
	p.kept = append(p.kept, observedPosition{askedAt, position})
}

// Covering returns the lowest known position that covers every commit acknowledged before a moment; false if none is known.
func (p *Positions) Covering(moment time.Duration) (failover.Position, bool) {
	for _, observed := range p.kept {
		if observed.askedAt >= moment {
			return observed.position, true
		}
	}
	return failover.Position{}, false
}

// Newest returns when the newest position was requested; false if none is known.
func (p *Positions) Newest() (time.Duration, bool) {
	if len(p.kept) == 0 {
		return 0, false
	}
	return p.kept[len(p.kept)-1].askedAt, true
}

// stalenessMarginDivisor gives the part of a read's staleness bound that is kept as a margin, a fifth: the read takes time on its way,
// and may wait at the instance.
const stalenessMarginDivisor = 5

// Bound says which commits a read must see.
type Bound struct {
	Staleness time.Duration // all commits acknowledged longer ago than this
	OwnWrites bool          // and all commits of its own session
}

// RequiredPosition returns the position that a read must see now, given the position of its session's last commit; false if no known
// position covers the bound.
func (b Bound) RequiredPosition(now time.Duration, positions *Positions, lastCommit failover.Position) (failover.Position, bool) {
	required, isCovered := positions.Covering(now - b.Staleness + b.Staleness/stalenessMarginDivisor)
	if b.OwnWrites && required.Less(lastCommit) {
		required = lastCommit
	}
	return required, isCovered
}
