package controller

import (
	"fmt"
	"time"

	"eiderway/control/configuration"
	"eiderway/control/failover"
	"eiderway/control/feed"
)

// gateway requests tables from the controllers and works by them. It is the simplest gateway that keeps the rules.
type gateway struct {
	name                string
	process             int
	isUp                bool
	isFrozen            bool
	applyDelay          time.Duration // between the arrival of a table and the next request
	requestNumber       int           // number of the last request; answers to earlier ones are ignored
	sentAt              time.Duration
	request             feed.WatchRequest
	target              int // index of the machine to ask
	table               feed.Table
	configurationNumber int64 // of the configuration held
	leaseUntil          time.Duration
	answers             int
}

func (g *gateway) id() string { return fmt.Sprintf("%s#%d", g.name, g.process) }

func (d *deployment) addGateway(name string) {
	gateway := &gateway{name: name}
	d.gateways = append(d.gateways, gateway)
	d.startGateway(gateway)
}

func (d *deployment) startGateway(g *gateway) {
	*g = gateway{name: g.name, process: g.process + 1, isUp: true, applyDelay: g.applyDelay, requestNumber: g.requestNumber}
	d.scheduleRequest(g, 0)
}

func (d *deployment) gateway(name string) *gateway {
	for _, gateway := range d.gateways {
		if gateway.name == name {
			return gateway
		}
	}
	return nil
}

func (d *deployment) scheduleRequest(gateway *gateway, pause time.Duration) {
	gateway.requestNumber++
	requestNumber := gateway.requestNumber
	d.after(pause, func() { d.sendRequest(gateway, requestNumber) })
}

func (d *deployment) sendRequest(gateway *gateway, requestNumber int) {
	if !gateway.isUp || gateway.requestNumber != requestNumber {
		return
	}
	if gateway.isFrozen {
		d.after(tickInterval, func() { d.sendRequest(gateway, requestNumber) })
		return
	}
	gateway.sentAt = d.now
	gateway.request = feed.WatchRequest{
		Gateway:       gateway.id(),
		Name:          gateway.name,
		Applied:       gateway.table.Version,
		Configuration: gateway.configurationNumber,
		Wait:          600 * time.Millisecond,
	}
	d.sendToController(gateway, requestNumber, gateway.request)
	d.after(1600*time.Millisecond, func() {
		if gateway.isUp && gateway.requestNumber == requestNumber {
			gateway.target++
			d.scheduleRequest(gateway, 0)
		}
	})
}

// watchRecord is a gateway's request to a controller, with its answer.
type watchRecord struct {
	gateway       *gateway
	requestNumber int
	process       int
	request       feed.WatchRequest
	replies       int
	answer        feed.WatchAnswer // the last one
	at            time.Duration    // when the last answer was given
}

func (d *deployment) sendToController(gateway *gateway, requestNumber int, request feed.WatchRequest) {
	to := d.machines[gateway.target%len(d.machines)]
	if d.cutLinks[link{gateway.name, to.name}] || to.controller == nil {
		return
	}
	d.lastCall++
	id := d.lastCall
	d.watchRecords()[id] = &watchRecord{gateway: gateway, requestNumber: requestNumber, process: gateway.process, request: request}
	d.after(d.delay(), func() {
		if to.controller != nil {
			d.deliver(to, Watch{Call: id, Request: request})
		}
	})
}

func (d *deployment) watchRecords() map[CallID]*watchRecord {
	if d.watches == nil {
		d.watches = map[CallID]*watchRecord{}
	}
	return d.watches
}

func (d *deployment) handleWatchReply(by *machine, reply WatchReply) {
	record := d.watchRecords()[reply.Call]
	if record == nil {
		d.fail("%s answers a watch request that was never sent", by.name)
		return
	}
	record.replies++
	record.answer, record.at = reply.Answer, d.now
	if record.replies > 1 {
		d.fail("%s answers a watch request twice", by.name)
	}
	if d.cutLinks[link{by.name, record.gateway.name}] {
		return
	}
	d.after(d.delay(), func() { d.handleAnswer(record, reply.Answer) })
}

func (d *deployment) handleAnswer(record *watchRecord, answer feed.WatchAnswer) {
	gateway := record.gateway
	if !gateway.isUp || gateway.process != record.process || gateway.requestNumber != record.requestNumber {
		return
	}
	if gateway.isFrozen {
		d.after(tickInterval, func() { d.handleAnswer(record, answer) })
		return
	}
	if answer.NotPrimary {
		d.followRedirect(gateway, answer)
		return
	}
	gateway.answers++
	d.checkTable(gateway, answer)
	pause := time.Duration(0)
	if answer.Table != nil {
		pause = gateway.applyDelay
		d.applyTable(gateway, *answer.Table)
	}
	gateway.leaseUntil = max(gateway.leaseUntil, gateway.sentAt+answer.Lease)
	d.checkLeaders(gateway)
	d.checkDrains(gateway)
	d.scheduleRequest(gateway, pause)
}

func (d *deployment) followRedirect(gateway *gateway, answer feed.WatchAnswer) {
	gateway.target++
	for index, machine := range d.machines {
		if machine.name+":1" == answer.Primary.Address {
			gateway.target = index
		}
	}
	d.scheduleRequest(gateway, 100*time.Millisecond)
}

func (d *deployment) applyTable(gateway *gateway, table feed.Table) {
	if table.ConfigurationNumber > gateway.configurationNumber {
		gateway.configurationNumber = table.ConfigurationNumber
		if order, err := configuration.Parse(table.Configuration); err == nil {
			d.noteInForce(order)
		}
	}
	gateway.table = table
}

func (d *deployment) checkTable(gateway *gateway, answer feed.WatchAnswer) {
	table := answer.Table
	if table == nil {
		return
	}
	if !gateway.table.Version.Less(table.Version) {
		d.fail("%s has table %v and gets %v", gateway.name, gateway.table.Version, table.Version)
	}
	if table.ConfigurationNumber < gateway.configurationNumber {
		d.fail("%s holds configuration %d and gets %d", gateway.name, gateway.configurationNumber, table.ConfigurationNumber)
	}
	if isNew := table.ConfigurationNumber != gateway.configurationNumber; isNew != (table.Configuration != nil) {
		d.fail("%s holds configuration %d and gets %d with %d bytes", gateway.name, gateway.configurationNumber,
			table.ConfigurationNumber, len(table.Configuration))
	}
}

func (g *gateway) service(name string) feed.Service {
	for _, service := range g.table.Services {
		if service.Name == name {
			return service
		}
	}
	return feed.Service{}
}

// mayUseLeader tells whether the gateway may start a statement at the leader of the service, or report a statement's success to a client.
func (d *deployment) mayUseLeader(gateway *gateway, service string) bool {
	known := gateway.service(service)
	return gateway.isUp && d.now < gateway.leaseUntil && !known.Frozen && known.Leader.InstanceID != ""
}

// checkPause checks that a replica is paused only when no gateway may use the leader any more.
func (d *deployment) checkPause(by *machine, probe failover.Probe) {
	for _, gateway := range d.gateways {
		if d.mayUseLeader(gateway, probe.Service) {
			d.fail("%s pauses %s while %s uses leader %s by table %v", by.name, probe.InstanceID, gateway.name,
				gateway.service(probe.Service).Leader.InstanceID, gateway.table.Version)
		}
	}
}

// checkLeaders checks that no two gateways use different leaders at the same time.
func (d *deployment) checkLeaders(gateway *gateway) {
	for _, other := range d.gateways {
		a, b := gateway.service("s").Leader, other.service("s").Leader
		if d.mayUseLeader(gateway, "s") && d.mayUseLeader(other, "s") && a.InstanceID != b.InstanceID {
			d.fail("%s uses leader %s by table %v, and %s uses %s by table %v", gateway.name, a.InstanceID, gateway.table.Version,
				other.name, b.InstanceID, other.table.Version)
		}
	}
}

// checkDrains checks that a gateway that sends its request after a drain or a leave was acknowledged learns of it.
func (d *deployment) checkDrains(gateway *gateway) {
	for _, service := range gateway.table.Services {
		for _, known := range service.Instances {
			if at, found := d.drainAcknowledgedAt[known.ID]; found && at < gateway.sentAt && !known.Draining {
				d.fail("%s asked at %s and takes %s, whose drain was acknowledged at %s, for ready", gateway.name, gateway.sentAt,
					known.ID, at)
			}
		}
	}
}
