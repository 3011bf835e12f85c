package host

import (
	"context"
	"time"

	"eiderway/control/controller"
	"eiderway/control/feed"
	"eiderway/control/replication"
)

// watchBackstop ends a watch request that the controller has not answered. The controller answers within maxWatchWait plus, if it has to
// confirm first, callTimeout.
const watchBackstop = maxWatchWait + answerBackstop

// internalHandler takes the messages and requests of other processes of the system and passes them to the controller.
type internalHandler struct {
	inbox    *mailbox
	ids      *callIDs
	watches  *pending[feed.WatchAnswer]
	counters *counters
	backstop time.Duration
	relay    func(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error)
}

// message takes a message of another controller. It is dropped if the mailbox is full: the protocol tolerates lost messages.
func (h *internalHandler) message(message replication.Message) {
	if !h.inbox.offer(controller.PeerMessage{Message: message}) {
		h.counters.messagesDropped.Add(1)
	}
}

// watch answers a gateway's watch request. It returns false if there is no answer here, so that the gateway asks another controller.
func (h *internalHandler) watch(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
	h.counters.watches.Add(1)
	call := h.ids.next()
	answers := h.watches.open(call)
	if !h.inbox.offer(controller.Watch{Call: call, Request: request}) {
		h.watches.drop(call)
		h.counters.overloaded.Add(1)
		return feed.WatchAnswer{}, false
	}
	backstop := time.NewTimer(h.backstop)
	defer backstop.Stop()
	select {
	case answer := <-answers:
		return h.relayToPrimary(ctx, request, answer), true
	case <-h.inbox.ended:
	case <-ctx.Done():
		h.counters.abandoned.Add(1)
	case <-backstop.C:
		h.counters.unanswered.Add(1)
	}
	if h.watches.drop(call) {
		h.inbox.post(controller.Abandon{Call: call})
	}
	return feed.WatchAnswer{}, false
}

// relayToPrimary forwards the request to the primary if the gateway asked for that and this controller is not the primary. The gateway counts
// the lease in the answer from its own request, which was sent before this one, so the detour can't extend the lease.
func (h *internalHandler) relayToPrimary(ctx context.Context, request feed.WatchRequest, answer feed.WatchAnswer) feed.WatchAnswer {
	if !request.Relay || !answer.NotPrimary || answer.Primary.Address == "" || h.relay == nil {
		return answer
	}
	request.Relay = false
	relayed, err := h.relay(ctx, answer.Primary.Address, request)
	if err != nil {
		return answer
	}
	h.counters.relayed.Add(1)
	return relayed
}
