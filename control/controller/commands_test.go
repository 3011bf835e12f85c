package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// While a change is being committed, callers beyond the queue's bound are answered 503 at once. Those in the queue are all answered later.
func TestQueuedCommandsAreBounded(t *testing.T) {
	is := is.New(t)
	d, a := newDeploymentWithPrimary(t)
	d.sendConfiguration(a, 1, "x")
	var heartbeats []*testCall
	for index := range maxQueuedCommands + 50 {
		instance := instance{id: fmt.Sprintf("i%d", index%10), seq: uint64(index)}
		heartbeats = append(heartbeats, d.sendHeartbeat(a, instance.heartbeat()))
	}
	for index, heartbeat := range heartbeats {
		if index < maxQueuedCommands {
			is.Equal(heartbeat.outcome(), "none")
			continue
		}
		is.Equal(heartbeat.reply.Status, http.StatusServiceUnavailable)
	}
	is.Equal(len(a.controller.term.commands), maxQueuedCommands)
	d.run(time.Second)
	for _, heartbeat := range heartbeats[:maxQueuedCommands] {
		is.Equal(heartbeat.outcome(), "200")
	}
	is.Equal(d.violation, "")
}

// Commands are applied to the committed state, so no batch may start while an earlier change isn't committed yet.
func TestOneBatchAtATime(t *testing.T) {
	is := is.New(t)
	d, a := newDeploymentWithPrimary(t)
	first := d.sendConfiguration(a, 1, "x")
	second := d.sendConfiguration(a, 1, "y")
	d.sendFetch(a)
	is.Equal(len(a.controller.term.batch.commands), 1)
	is.Equal(len(a.controller.term.commands), 1)
	d.run(time.Second)
	is.Equal(first.outcome(), "200")
	is.Equal(second.outcome(), "409")
}

// A caller that can't be served gets a 503 within the call timeout, and its command is dropped.
func TestCallsAreAnsweredWithinTheTimeout(t *testing.T) {
	is := is.New(t)
	d, a := newDeploymentWithPrimary(t)
	d.isolate(a.name)
	calls := []*testCall{d.sendConfiguration(a, 1, "x"), d.sendFetch(a), d.sendLeave(a, "i1")}
	d.run(callTimeout + tickInterval)
	for _, call := range calls {
		is.Equal(call.outcome(), "503")
		is.True(call.answeredAt-call.sentAt <= callTimeout+tickInterval)
	}
	is.Equal(len(a.controller.calls.open), 0)
	for _, queued := range a.controller.term.commands {
		is.Equal(queued.call, CallID(0)) // only the controller's own commands are left
	}
}
