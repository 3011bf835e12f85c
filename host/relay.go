package host

import (
	"context"

	"eiderway/control/feed"
	"eiderway/control/rpc"
)

// relayedAtOnce bounds the questions on the shared connection. A server takes four at a time on each.
const relayedAtOnce = 3

// relay passes questions of gateways that can't reach the primary on to it.
type relay struct {
	routes rpc.Routes
	shared rpc.Client    // for questions that are answered at once
	places chan struct{} // holds a word for each of them that is under way
}

func newRelay(routes rpc.Routes) *relay {
	return &relay{routes: routes, shared: rpc.Client{Routes: routes}, places: make(chan struct{}, relayedAtOnce)}
}

// ask passes a question on. Questions for operations are many and are answered at once, so they share a connection. One for news may be held
// back, and has a connection of its own: gateways that need it are few, and for seconds.
func (r *relay) ask(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error) {
	if request.Operations == nil {
		client := &rpc.Client{Routes: r.routes}
		defer client.Close()
		return client.Watch(ctx, address, request)
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
		return r.shared.Watch(ctx, address, request)
	case <-ctx.Done():
		return feed.WatchAnswer{}, ctx.Err()
	}
}

func (r *relay) close() { r.shared.Close() }
