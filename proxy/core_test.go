package proxy

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTimersLeaveRoom: a timer that sets itself anew at once keeps neither mail nor the end from its turn, and of two that are
// due the one that was set first comes first.
func TestTimersLeaveRoom(t *testing.T) {
	c := &core{actor: newActor(), clock: newClock()}
	life, end := context.WithCancel(context.Background())
	ended, done := make(chan error), make(chan []int, 1)
	go func() { ended <- c.run(life) }()
	var order []int
	c.tell(func() {
		var again func()
		again = func() { c.After(c.now, again) }
		again()
		for k := range 3 {
			c.After(c.now, func() { order = append(order, k) })
		}
	})
	for range 3 { // each of these is behind another turn of the timers
		turn := make(chan bool)
		c.tell(func() { close(turn) })
		<-turn
	}
	c.tell(func() { done <- order })
	require.Equal(t, []int{0, 1, 2}, <-done)
	end()
	require.NoError(t, <-ended)
}
