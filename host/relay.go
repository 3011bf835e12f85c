package host

import (
	"context"

	"eiderway/control/feed"
	"eiderway/control/rpc"
)

// maxConcurrentRelays bounds the requests in flight on the shared connection. A server takes four at a time on each connection.
const maxConcurrentRelays = 3

// relay forwards requests of gateways that can't reach the primary to it.
type relay struct {
	routes rpc.Routes
	shared rpc.Client    // for requests that are answered at once
	slots  chan struct{} // holds one token for each of them that is in flight
}

func newRelay(routes rpc.Routes) *relay {
	return &relay{routes: routes, shared: rpc.Client{Routes: routes}, slots: make(chan struct{}, maxConcurrentRelays)}
}

// forward sends a request to the controller at the address. Requests for operations are many and are answered at once, so they share a
// connection. A request for table changes may be held back and gets its own connection: few gateways need that, and only for seconds.
func (r *relay) forward(ctx context.Context, address string, request feed.WatchRequest) (feed.WatchAnswer, error) {
	if request.Operations == nil {
		client := &rpc.Client{Routes: r.routes}
		defer client.Close()
		return client.Watch(ctx, address, request)
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
		return r.shared.Watch(ctx, address, request)
	case <-ctx.Done():
		return feed.WatchAnswer{}, ctx.Err()
	}
}

func (r *relay) close() { r.shared.Close() }
