package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDeadlineOfADrain(t *testing.T) {
	is := is.New(t)
	ready := Instance{ID: "a"}
	drains := Instance{ID: "a", Draining: true}
	deadlines := NewDrainDeadlines()
	is.True(deadlines.MayBegin(time.Hour, ready))
	is.True(!deadlines.MayBegin(0, drains)) // nothing is known of its limit

	deadlines.Update(2*time.Second, []DrainLimit{{InstanceID: "a", Left: 6 * time.Second}})
	is.True(deadlines.MayBegin(8*time.Second-1, drains))
	is.True(!deadlines.MayBegin(8*time.Second, drains))
	is.True(deadlines.MayBegin(8*time.Second, ready))
	is.Equal(deadlines.Overdue(9*time.Second, drains), time.Second)
	is.Equal(deadlines.Overdue(9*time.Second, ready), time.Duration(0))

	deadlines.Update(5*time.Second, []DrainLimit{{InstanceID: "a"}}) // of a controller that doesn't know since when it drains
	is.True(deadlines.MayBegin(7*time.Second, drains))
	deadlines.Update(5*time.Second, []DrainLimit{{InstanceID: "a", Left: 3100 * time.Millisecond}})
	is.True(deadlines.MayBegin(8*time.Second, drains))

	deadlines.Update(6*time.Second, nil) // it drains no more
	deadlines.Update(7*time.Second, []DrainLimit{{InstanceID: "a", Left: 100 * time.Millisecond}})
	is.True(!deadlines.MayBegin(7200*time.Millisecond, drains)) // another drain
}
