package rpc

import (
	"context"
	"testing"
	"time"

	"eiderway/control/feed"
	"eiderway/control/quota"
)

// BenchmarkOperationsQuestion is a gateway's question for an operation and its answer over loopback, with the work of both ends.
func BenchmarkOperationsQuestion(b *testing.B) { benchmarkQuestion(b, false) }

// BenchmarkOperationsQuestionAlone is the same over a connection of its own.
func BenchmarkOperationsQuestionAlone(b *testing.B) { benchmarkQuestion(b, true) }

func benchmarkQuestion(b *testing.B, alone bool) {
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
		if alone {
			client.Close()
			client = &Client{}
		}
	}
}
