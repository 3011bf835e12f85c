package rpc

import (
	"context"
	"testing"
	"time"

	"eiderway/control/feed"
	"eiderway/control/quota"
)

// BenchmarkOperationsRequest measures a gateway's request for an operation and its answer over loopback, including the work of
// both sides.
func BenchmarkOperationsRequest(b *testing.B) { benchmarkRequest(b, false) }

// BenchmarkOperationsRequestOnNewConnection measures the same with a new connection for each request.
func BenchmarkOperationsRequestOnNewConnection(b *testing.B) { benchmarkRequest(b, true) }

func benchmarkRequest(b *testing.B, reconnects bool) {
	answer := feed.WatchAnswer{Operations: &quota.Answer{Grants: []quota.Grant{{Tenant: "bakers", Operations: 1, Life: time.Second}}}}
	server := Serve(listen(b), Handlers{Watch: func(context.Context, feed.WatchRequest) (feed.WatchAnswer, bool) { return answer, true }})
	defer server.Close()
	client := &Client{}
	defer func() { client.Close() }()
	address := server.listener.Addr().String()
	request := feed.WatchRequest{Gateway: "edge-1#17", Name: "edge-1", Operations: &quota.Request{Wants: []quota.Want{{Tenant: "bakers", Operations: 1}}}}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		ctx, stop := context.WithTimeout(b.Context(), patience)
		if _, err := client.Watch(ctx, address, request); err != nil {
			b.Fatal(err)
		}
		stop()
		if reconnects {
			client.Close()
			client = &Client{}
		}
	}
}
