package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"eiderway/control/feed"
	"eiderway/control/quota"
)

// largeConfigurationBody returns a configuration with many routes.
func largeConfigurationBody(number int64, routes int) []byte {
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

// newBusyDeployment returns a deployment and its primary, which has a large configuration, services of three instances each, and gateways
// whose requests wait for a newer table.
func newBusyDeployment(routes, services, gateways int) (*deployment, *machine) {
	d := newDeployment(1, 1, 0, disabledGuards{})
	d.runUntil(maxWait, func() bool { return d.primary() != nil })
	primary := d.primary()
	d.lastCall++
	d.calls[d.lastCall] = &testCall{to: primary}
	d.deliver(primary, ReplaceConfiguration{Call: d.lastCall, Body: largeConfigurationBody(1, routes)})
	for index := range 3 * services {
		instance := d.addInstance(fmt.Sprintf("i%d", index), index < services)
		instance.service = fmt.Sprintf("s%d", index%services)
	}
	for index := range gateways {
		d.addGateway(fmt.Sprintf("g%d", index))
	}
	d.run(5 * time.Second)
	return d, primary
}

func BenchmarkPlainHeartbeat(b *testing.B) {
	d, primary := newBusyDeployment(1000, 30, 300)
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		instance := d.instances[index%len(d.instances)]
		instance.seq++
		primary.controller.Step(d.now, Heartbeat{Call: 1 << 40, Heartbeat: instance.heartbeat()})
	}
}

func BenchmarkTick(b *testing.B) {
	d, primary := newBusyDeployment(1000, 30, 300)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		primary.controller.Step(d.now, Tick{})
	}
}

// BenchmarkOperations measures a gateway's request for an operation of a tenant.
func BenchmarkOperations(b *testing.B) {
	d, primary := newBusyDeployment(1000, 30, 300)
	primary.controller.term.allocator.SetLimits(d.now, []quota.Limit{{Tenant: "bakers", RatePerS: 1e6, Burst: 1e6}})
	wants := []quota.Want{{Tenant: "bakers", Operations: 1}}
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		request := feed.WatchRequest{Gateway: "g1#1", Operations: &quota.Request{Number: uint64(index), Wants: wants}}
		primary.controller.term.confirmedAt = d.now
		primary.controller.Step(d.now, Watch{Call: 1 << 40, Request: request})
	}
}

// BenchmarkChange measures a change of an instance, with the tables that it sends to all gateways.
func BenchmarkChange(b *testing.B) { benchmarkChange(b, 30, 300) }

// BenchmarkChangeOfManyServices measures the same with as many services as a large fleet has.
func BenchmarkChangeOfManyServices(b *testing.B) { benchmarkChange(b, 900, 20) }

func benchmarkChange(b *testing.B, services, gateways int) {
	d, primary := newBusyDeployment(1000, services, gateways)
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		instance := d.instances[index%len(d.instances)]
		instance.isDraining = !instance.isDraining
		instance.seq++
		effects := primary.controller.Step(d.now, Heartbeat{Call: 1 << 40, Heartbeat: instance.heartbeat()})
		if count := len(effects.Writes); count > 0 {
			primary.controller.Step(d.now, Persisted{Write: effects.Writes[count-1].Number})
		}
	}
}
