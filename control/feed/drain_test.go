package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDrainDeadlineNeverMovesEarlier(t *testing.T) {
	is := is.New(t)
	ready := Instance{ID: "a"}
	draining := Instance{ID: "a", Draining: true}
	deadlines := NewDrainDeadlines()
	is.True(deadlines.MayBegin(time.Hour, ready))
	is.True(!deadlines.MayBegin(0, draining)) // its limit is unknown

	deadlines.Update(2*time.Second, []DrainLimit{{InstanceID: "a", Left: 6 * time.Second}})
	is.True(deadlines.MayBegin(8*time.Second-1, draining))
	is.True(!deadlines.MayBegin(8*time.Second, draining))
	is.True(deadlines.MayBegin(8*time.Second, ready))
	is.Equal(deadlines.Overdue(9*time.Second, draining), time.Second)
	is.Equal(deadlines.Overdue(9*time.Second, ready), time.Duration(0))

	deadlines.Update(5*time.Second, []DrainLimit{{InstanceID: "a"}}) // from a controller that doesn't know when the drain began
	is.True(deadlines.MayBegin(7*time.Second, draining))
	deadlines.Update(5*time.Second, []DrainLimit{{InstanceID: "a", Left: 3100 * time.Millisecond}})
	is.True(deadlines.MayBegin(8*time.Second, draining))

	deadlines.Update(6*time.Second, nil) // it no longer drains
	deadlines.Update(7*time.Second, []DrainLimit{{InstanceID: "a", Left: 100 * time.Millisecond}})
	is.True(!deadlines.MayBegin(7200*time.Millisecond, draining)) // another drain
}
