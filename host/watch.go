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
		return answer, true
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
