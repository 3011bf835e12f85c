package host

import (
	"context"
	"time"

	"eiderway/control/controller"
	"eiderway/control/feed"
	"eiderway/control/replication"
)

// watchBackstop ends a gateway's question that the controller has left open. It answers within watchWait and, when it
// has to confirm first, callWait.
const watchBackstop = watchWait + answerBackstop

// processFront takes what other processes of the system send, and hands it to the controller.
type processFront struct {
	inbox    *mailbox
	numbers  *callNumbers
	watches  *pending[feed.WatchAnswer]
	counters *counters
	backstop time.Duration
	relay    func(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error)
}

// message takes a message of another controller. One too many is dropped: the protocol bears lost messages.
func (f *processFront) message(message replication.Message) {
	if !f.inbox.offer(controller.PeerMessage{Message: message}) {
		f.counters.messagesDropped.Add(1)
	}
}

// watch answers a gateway's question; false if there is no answer to be had here, so that the gateway asks elsewhere.
func (f *processFront) watch(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
	f.counters.watches.Add(1)
	call := f.numbers.next()
	answers := f.watches.open(call)
	if !f.inbox.offer(controller.Watch{Call: call, Request: request}) {
		f.watches.drop(call)
		f.counters.overloaded.Add(1)
		return feed.WatchAnswer{}, false
	}
	backstop := time.NewTimer(f.backstop)
	defer backstop.Stop()
	select {
	case answer := <-answers:
		return f.passedOn(ctx, request, answer), true
	case <-f.inbox.ended:
	case <-ctx.Done():
		f.counters.abandoned.Add(1)
	case <-backstop.C:
		f.counters.unanswered.Add(1)
	}
	if f.watches.drop(call) {
		f.inbox.post(controller.Abandon{Call: call})
	}
	return feed.WatchAnswer{}, false
}

// passedOn asks the primary for a gateway that can't reach it. The lease in its answer is counted by the gateway from its own question, which came
// before this one, so the way round makes no lease look younger than it is.
func (f *processFront) passedOn(ctx context.Context, request feed.WatchRequest, answer feed.WatchAnswer) feed.WatchAnswer {
	if !request.Relay || !answer.NotPrimary || answer.Primary.Address == "" || f.relay == nil {
		return answer
	}
	request.Relay = false
	passed, err := f.relay(ctx, answer.Primary.Address, request)
	if err != nil {
		return answer
	}
	f.counters.relayed.Add(1)
	return passed
}
