package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// While a change is under way a bounded number of commands waits; the rest is sent away at once, and nobody is forgotten.
func TestWaitingCommandsAreBounded(t *testing.T) {
	is := is.New(t)
	w, a := leading(t)
	w.sendOrder(a, 1, "x")
	var beats []*call
	for index := range maxQueuedCommands + 50 {
		one := instance{id: fmt.Sprintf("i%d", index%10), seq: uint64(index)}
		beats = append(beats, w.sendBeat(a, one.beat()))
	}
	for index, beat := range beats {
		if index < maxQueuedCommands {
			is.Equal(beat.outcome(), "none")
			continue
		}
		is.Equal(beat.reply.Status, http.StatusServiceUnavailable)
	}
	is.Equal(len(a.controller.term.commands), maxQueuedCommands)
	w.run(time.Second)
	for _, beat := range beats[:maxQueuedCommands] {
		is.Equal(beat.outcome(), "200")
	}
	is.Equal(w.broken, "")
}

// What was decided on the committed state is proposed on it: no batch is decided while a change is under way.
func TestOneBatchAtATime(t *testing.T) {
	is := is.New(t)
	w, a := leading(t)
	first := w.sendOrder(a, 1, "x")
	second := w.sendOrder(a, 1, "y")
	w.sendFetch(a)
	is.Equal(len(a.controller.term.batch.commands), 1)
	is.Equal(len(a.controller.term.commands), 1)
	w.run(time.Second)
	is.Equal(first.outcome(), "200")
	is.Equal(second.outcome(), "409")
}

// A caller that can't be served is not kept waiting for longer than it waits itself.
func TestCallsEndInTime(t *testing.T) {
	is := is.New(t)
	w, a := leading(t)
	w.isolate(a.name)
	calls := []*call{w.sendOrder(a, 1, "x"), w.sendFetch(a), w.sendLeave(a, "i1")}
	w.run(callWait + tickPause)
	for _, made := range calls {
		is.Equal(made.outcome(), "503")
		is.True(made.answered-made.sent <= callWait+tickPause)
	}
	is.Equal(len(a.controller.calls.open), 0)
	for _, waiting := range a.controller.term.commands {
		is.Equal(waiting.call, CallID(0)) // only what the controller itself wants
	}
}
