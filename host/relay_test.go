package host

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
	"eiderway/control/quota"
	"eiderway/control/rpc"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	taken atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.taken.Add(1)
	}
	return connection, err
}

// Guards against exhausted capacity when a zone is partitioned from the primary: each relayed request for operations used to open a
// connection to the primary.
func TestOperationRequestsAreRelayedOverSharedConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	counted := &countingListener{Listener: listener}
	server := rpc.Serve(counted, rpc.Handlers{Watch: func(_ context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool) {
		if request.Operations == nil {
			return feed.WatchAnswer{}, true
		}
		return feed.WatchAnswer{Operations: &quota.Answer{Number: request.Operations.Number}}, true
	}})
	defer server.Close()
	relay := newRelay(nil)
	defer relay.close()
	var wait sync.WaitGroup
	var failed, swapped atomic.Int64
	for number := range uint64(40) {
		wait.Go(func() {
			ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
			defer stop()
			answer, err := relay.forward(ctx, counted.Addr().String(), feed.WatchRequest{Operations: &quota.Request{Number: number}})
			switch {
			case err != nil:
				failed.Add(1)
			case answer.Operations.Number != number:
				swapped.Add(1)
			}
		})
	}
	wait.Wait()
	is.Equal(failed.Load(), int64(0))
	is.Equal(swapped.Load(), int64(0))
	made := counted.taken.Load()
	is.True(made <= maxConcurrentRelays) // of connections that are opened at the same time, the client keeps one

	// A request that may be held back uses another connection.
	_, err = relay.forward(t.Context(), counted.Addr().String(), feed.WatchRequest{})
	is.NoErr(err)
	is.Equal(counted.taken.Load(), made+1)
}
