package role

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/failover"
)

func at(number uint64) failover.Position { return failover.Position{Term: 3, Number: number} }

const ms = time.Millisecond

func TestPositionThatCovers(t *testing.T) {
	is := is.New(t)
	var positions Positions
	_, known := positions.Covering(0)
	is.True(!known)
	for step := range 10 {
		positions.Record(time.Duration(step+1)*100*ms, at(uint64(step)))
	}
	found, known := positions.Covering(350 * ms)
	is.True(known)
	is.Equal(found, at(3)) // asked for at 400 ms: no later one is needed
	found, _ = positions.Covering(400 * ms)
	is.Equal(found, at(3))
	_, known = positions.Covering(1001 * ms)
	is.True(!known)
	positions.Record(200*ms, at(99)) // late, and no news
	found, _ = positions.Covering(150 * ms)
	is.Equal(found, at(1))
	newest, _ := positions.Newest()
	is.Equal(newest, time.Second)
}

// The newest one is kept however close it follows on others, and memory is bounded.
func TestPositionsAreThinned(t *testing.T) {
	is := is.New(t)
	var positions Positions
	for step := range 10_000 {
		positions.Record(time.Duration(step)*ms, at(uint64(step)))
		newest, _ := positions.Newest()
		is.Equal(newest, time.Duration(step)*ms)
	}
	is.True(len(positions.kept) <= mostKept)
	for moment := 5 * time.Second; moment < 9900*ms; moment += 7 * ms {
		found, known := positions.Covering(moment)
		is.True(known)
		is.True(found.Number >= uint64(moment/ms))
		is.True(found.Number <= uint64((moment+2*spacing)/ms))
	}
}
