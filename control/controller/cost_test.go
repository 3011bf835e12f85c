package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"eiderway/control/feed"
	"eiderway/control/quota"
)

// bigBody is a configuration of many routes.
func bigBody(number int64, routes int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"configRevision":%d,"routeTable":[`, number)
	for index := range routes {
		if index > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name":"r%d","host":"db%d","pathPrefix":"/","routeClass":"primary","timeoutMs":1000,`+
			`"targetLatencyMs":200,"priority":1,"targetService":"s","maxAttempts":2}`, index, index)
	}
	text.WriteString(`],"serviceTable":[{"name":"s","maxConnections":84,"protocol":"h1","syncReplicas":1}],"limits":{}}`)
	return []byte(text.String())
}

// busyWorld has a primary with a large configuration, services of three instances each, and gateways that wait for news.
func busyWorld(routes, services, gateways int) (*world, *machine) {
	w := newWorld(1, 1, 0, disabledGuards{})
	w.until(patience, func() bool { return w.primary() != nil })
	leads := w.primary()
	w.lastCall++
	w.calls[w.lastCall] = &call{to: leads}
	w.give(leads, ReplaceConfiguration{Call: w.lastCall, Body: bigBody(1, routes)})
	for index := range 3 * services {
		one := w.addInstance(fmt.Sprintf("i%d", index), index < services)
		one.service = fmt.Sprintf("s%d", index%services)
	}
	for index := range gateways {
		w.addGateway(fmt.Sprintf("g%d", index))
	}
	w.run(5 * time.Second)
	return w, leads
}

func BenchmarkPlainBeat(b *testing.B) {
	w, leads := busyWorld(1000, 30, 300)
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		one := w.instances[index%len(w.instances)]
		one.seq++
		leads.controller.Step(w.now, Heartbeat{Call: 1 << 40, Heartbeat: one.beat()})
	}
}

func BenchmarkTick(b *testing.B) {
	w, leads := busyWorld(1000, 30, 300)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		leads.controller.Step(w.now, Tick{})
	}
}

// BenchmarkOperations is a gateway's question for an operation of a tenant.
func BenchmarkOperations(b *testing.B) {
	w, leads := busyWorld(1000, 30, 300)
	leads.controller.term.allocator.SetLimits(w.now, []quota.Limit{{Tenant: "bakers", RatePerS: 1e6, Burst: 1e6}})
	wants := []quota.Want{{Tenant: "bakers", Operations: 1}}
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		request := feed.WatchRequest{Gateway: "g1#1", Operations: &quota.Request{Number: uint64(index), Wants: wants}}
		leads.controller.term.confirmedAt = w.now
		leads.controller.Step(w.now, Watch{Call: 1 << 40, Request: request})
	}
}

// BenchmarkChange is a change of an instance and the tables that it makes for all gateways.
func BenchmarkChange(b *testing.B) { benchmarkChange(b, 30, 300) }

// BenchmarkChangeOfManyServices is the same with as many services as a large fleet has.
func BenchmarkChangeOfManyServices(b *testing.B) { benchmarkChange(b, 900, 20) }

func benchmarkChange(b *testing.B, services, gateways int) {
	w, leads := busyWorld(1000, services, gateways)
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		one := w.instances[index%len(w.instances)]
		one.draining = !one.draining
		one.seq++
		effects := leads.controller.Step(w.now, Heartbeat{Call: 1 << 40, Heartbeat: one.beat()})
		if count := len(effects.Writes); count > 0 {
			leads.controller.Step(w.now, Persisted{Write: effects.Writes[count-1].Number})
		}
	}
}
