package proxy

// This file owns the counters in the form that `eiderexport` asks for on the admin socket, to hand them to Prometheus. That
// is another program, so that the library costs a router nothing. It must never count anything itself.

import (
	"sync/atomic"

	"eiderway/splitter"
)

// Counter is a counter with its labels, as names and values in turns.
type Counter struct {
	Name   string   `json:"name"`
	Help   string   `json:"help"`
	Labels []string `json:"labels,omitempty"`
	Value  int64    `json:"value"`
}

// metrics tells all counters.
func (c *core) metrics() (out []Counter) {
	k := c.counters
	counter := func(name, help string, value int64, labels ...string) {
		out = append(out, Counter{"eiderway_" + name, help, labels, value})
	}
	for _, x := range []struct {
		state string
		n     *atomic.Int64
	}{{"taken", &k.taken}, {"committed", &k.committed}, {"declined", &k.declined}, {"rolled_back", &k.rolledBack}, {"left", &k.left}} {
		counter("txns_total", "Txns by what became of them.", x.n.Load(), "state", x.state)
	}
	for i, name := range outcomeNames {
		counter("submissions_total", "Submissions that ended, by outcome.", k.outcomes[i].Load(), "outcome", name)
	}
	for i := range splitter.CauseCount {
		counter("probes_total", "Probes by cause.", k.probed[i].Load(), "cause", i.String())
		for what := range splitter.CounterCount {
			counter("causes_total", "Probes that freed a txn, txns held, txns turned away, by cause.", k.causes[what][i].Load(), "what", what.String(),
				"cause", i.String())
		}
	}
	counter("node_connections_opened_total", "Connections to nodes that were opened.", k.linksOpened.Load())
	counter("list_calls_total", "Calls for the member list.", k.listCalls.Load())
	if t := c.peerState; t != nil {
		n := t.counted()
		for _, x := range []struct {
			kind string
			n    int64
		}{{"want", n.Requests}, {"news", n.Reports}, {"tell", n.Updates}, {"reply", n.Replies}} {
			counter("words_sent_total", "Datagrams to the routers of the tier, by kind.", x.n, "kind", x.kind)
		}
		counter("words_bytes_total", "Bytes of them as they left.", n.Bytes)
		counter("words_taken_total", "Datagrams taken from them.", n.Received)
		counter("words_refused_total", "Datagrams that were none of theirs, or came where there was no room.", n.Malformed+c.tier.dropped.Load())
		counter("keepers_silent_total", "Keepers that did not answer.", n.Unanswered)
	}
	if z := c.zones; z != nil {
		n := z.counted()
		counter("zone_left_total", "Times that a zone was left.", n.Leaves)
		counter("zone_back_total", "Times that all routers used a zone again.", n.Returns)
		counter("zone_words_total", "Words on the steps of zones that this router told as their holder.", n.Words)
		counter("zone_bytes_total", "Bytes of counts told to peers, as they left.", n.Bytes)
	}
	if l := c.leases; l != nil {
		n := l.counted()
		for _, x := range []struct {
			kind string
			n    int64
		}{{"ask", n.Asks}, {"grant", n.Grants}, {"refusal", n.Refusals}, {"word", n.Acts}, {"check", n.Checks}} {
			counter("lease_sent_total", "Datagrams on leases, by kind.", x.n, "kind", x.kind)
		}
		counter("lease_bytes_total", "Bytes of them as they left.", n.Bytes)
		counter("lease_stale_total", "Words of holders that another had followed.", n.Stales)
		counter("lease_strange_total", "Datagrams of a task or a set of routers that is not ours.", n.Strange)
		counter("lease_spoilt_total", "Datagrams on leases that were none of ours.", n.Spoilt)
	}
	if g := c.gossip; g != nil {
		n := g.transport.Counts()
		counter("gossip_bytes_total", "Bytes of the gossip.", n.BytesIn.Load(), "way", "in")
		counter("gossip_bytes_total", "Bytes of the gossip.", n.BytesOut.Load(), "way", "out")
		for _, x := range []struct {
			why string
			n   *atomic.Int64
		}{{"malformed", &n.Malformed}, {"version", &n.Versions}, {"untrusted", &n.Untrusted}, {"forged", &n.Forged}, {"replayed", &n.Replayed},
			{"network", &n.Network}, {"flood", &n.Flood}} {
			counter("gossip_refused_total", "Datagrams of the gossip that were turned away.", x.n.Load(), "why", x.why)
		}
		counter("gossip_doubts_total", "Words of doubt that reached the module.", k.doubts.Load())
		counter("gossip_behind_total", "Times a peer had a newer member list.", k.behind.Load())
	}
	return out
}
