package role

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/failover"
)

func at(number uint64) failover.Position { return failover.Position{Term: 3, Number: number} }

const ms = time.Millisecond

func TestCoveringReturnsTheFirstPositionRequestedAfterTheMoment(t *testing.T) {
	is := is.New(t)
	var positions Positions
	_, isKnown := positions.Covering(0)
	is.True(!isKnown)
	for step := range 10 {
		positions.Record(time.Duration(step+1)*100*ms, at(uint64(step)))
	}
	found, isKnown := positions.Covering(350 * ms)
	is.True(isKnown)
	is.Equal(found, at(3)) // requested at 400 ms: no later one is needed
	found, _ = positions.Covering(400 * ms)
	is.Equal(found, at(3))
	_, isKnown = positions.Covering(1001 * ms)
	is.True(!isKnown)
	positions.Record(200*ms, at(99)) // answered late: a newer one is known
	found, _ = positions.Covering(150 * ms)
	is.Equal(found, at(1))
	newest, _ := positions.Newest()
	is.Equal(newest, time.Second)
}

// The newest position is kept however closely it follows the one before, and the number of kept positions is bounded.
func TestPositionsAreThinnedAndBounded(t *testing.T) {
	is := is.New(t)
	var positions Positions
	for step := range 10_000 {
		positions.Record(time.Duration(step)*ms, at(uint64(step)))
		newest, _ := positions.Newest()
		is.Equal(newest, time.Duration(step)*ms)
	}
	is.True(len(positions.kept) <= maxPositions)
	for moment := 5 * time.Second; moment < 9900*ms; moment += 7 * ms {
		found, isKnown := positions.Covering(moment)
		is.True(isKnown)
		is.True(found.Number >= uint64(moment/ms))
		is.True(found.Number <= uint64((moment+2*minSpacing)/ms))
	}
}
