package controller

import (
	"fmt"
	"time"

	"eiderway/control/configuration"
	"eiderway/control/failover"
	"eiderway/control/feed"
)

// gateway asks the controllers for tables and works by them, as simply as the rules allow.
type gateway struct {
	name    string
	life    int
	up      bool
	frozen  bool
	slow    time.Duration // from a table's coming to its being applied
	ask     int           // number of the question that is out
	sentAt  time.Duration
	request feed.WatchRequest
	target  int // among the machines
	table   feed.Table
	number  int64 // of the configuration held
	until   time.Duration
	answers int
}

func (g *gateway) id() string { return fmt.Sprintf("%s#%d", g.name, g.life) }

func (w *world) addGateway(name string) {
	one := &gateway{name: name}
	w.gateways = append(w.gateways, one)
	w.startGateway(one)
}

func (w *world) startGateway(one *gateway) {
	*one = gateway{name: one.name, life: one.life + 1, up: true, slow: one.slow, ask: one.ask}
	w.askNext(one, 0)
}

func (w *world) gateway(name string) *gateway {
	for _, one := range w.gateways {
		if one.name == name {
			return one
		}
	}
	return nil
}

func (w *world) askNext(one *gateway, pause time.Duration) {
	one.ask++
	ask := one.ask
	w.after(pause, func() { w.question(one, ask) })
}

func (w *world) question(one *gateway, ask int) {
	if !one.up || one.ask != ask {
		return
	}
	if one.frozen {
		w.after(tickPause, func() { w.question(one, ask) })
		return
	}
	one.sentAt = w.now
	one.request = feed.WatchRequest{
		Gateway:       one.id(),
		Name:          one.name,
		Applied:       one.table.Version,
		Configuration: one.number,
		Wait:          600 * time.Millisecond,
	}
	w.askController(one, ask, one.request)
	w.after(1600*time.Millisecond, func() {
		if one.up && one.ask == ask {
			one.target++
			w.askNext(one, 0)
		}
	})
}

// watching is a question of a gateway at a controller.
type watching struct {
	gateway *gateway
	ask     int
	life    int
	request feed.WatchRequest
	replies int
	answer  feed.WatchAnswer // the last
	at      time.Duration    // when it was given
}

func (w *world) askController(one *gateway, ask int, request feed.WatchRequest) {
	to := w.machines[one.target%len(w.machines)]
	if w.cut[link{one.name, to.name}] || to.controller == nil {
		return
	}
	w.lastCall++
	number := w.lastCall
	w.watchings()[number] = &watching{gateway: one, ask: ask, life: one.life, request: request}
	w.after(w.delay(), func() {
		if to.controller != nil {
			w.give(to, Watch{Call: number, Request: request})
		}
	})
}

func (w *world) watchings() map[CallID]*watching {
	if w.questions == nil {
		w.questions = map[CallID]*watching{}
	}
	return w.questions
}

func (w *world) watchReplied(by *machine, reply WatchReply) {
	asked := w.watchings()[reply.Call]
	if asked == nil {
		w.fail("%s answers a gateway that has not asked", by.name)
		return
	}
	asked.replies++
	asked.answer, asked.at = reply.Answer, w.now
	if asked.replies > 1 {
		w.fail("%s answers a gateway's question twice", by.name)
	}
	if w.cut[link{by.name, asked.gateway.name}] {
		return
	}
	w.after(w.delay(), func() { w.takeAnswer(asked, reply.Answer) })
}

func (w *world) takeAnswer(asked *watching, answer feed.WatchAnswer) {
	one := asked.gateway
	if !one.up || one.life != asked.life || one.ask != asked.ask {
		return
	}
	if one.frozen {
		w.after(tickPause, func() { w.takeAnswer(asked, answer) })
		return
	}
	if answer.NotPrimary {
		w.follow(one, answer)
		return
	}
	one.answers++
	w.judgeTable(one, answer)
	pause := time.Duration(0)
	if answer.Table != nil {
		pause = one.slow
		w.takeTable(one, *answer.Table)
	}
	one.until = max(one.until, one.sentAt+answer.Lease)
	w.judgeLeaders(one)
	w.judgeDrains(one)
	w.askNext(one, pause)
}

func (w *world) follow(one *gateway, answer feed.WatchAnswer) {
	one.target++
	for index, to := range w.machines {
		if to.name+":1" == answer.Primary.Address {
			one.target = index
		}
	}
	w.askNext(one, 100*time.Millisecond)
}

func (w *world) takeTable(one *gateway, table feed.Table) {
	if table.ConfigurationNumber > one.number {
		one.number = table.ConfigurationNumber
		if order, err := configuration.Parse(table.Configuration); err == nil {
			w.seenInForce(order)
		}
	}
	one.table = table
}

func (w *world) judgeTable(one *gateway, answer feed.WatchAnswer) {
	table := answer.Table
	if table == nil {
		return
	}
	if !one.table.Version.Less(table.Version) {
		w.fail("%s works by %v and gets %v", one.name, one.table.Version, table.Version)
	}
	if table.ConfigurationNumber < one.number {
		w.fail("%s holds configuration %d and gets %d", one.name, one.number, table.ConfigurationNumber)
	}
	if isNew := table.ConfigurationNumber != one.number; isNew != (table.Configuration != nil) {
		w.fail("%s holds configuration %d and gets %d with %d bytes", one.name, one.number,
			table.ConfigurationNumber, len(table.Configuration))
	}
}

func (g *gateway) service(name string) feed.Service {
	for _, one := range g.table.Services {
		if one.Name == name {
			return one
		}
	}
	return feed.Service{}
}

// worksAt tells whether the gateway may start a statement at the leader of the service, or may pass on its success.
func (w *world) worksAt(one *gateway, service string) bool {
	known := one.service(service)
	return one.up && w.now < one.until && !known.Frozen && known.Leader.InstanceID != ""
}

// judgePause: a replica is paused only when every gateway keeps the freeze.
func (w *world) judgePause(by *machine, probe failover.Probe) {
	for _, one := range w.gateways {
		if w.worksAt(one, probe.Service) {
			w.fail("%s pauses %s while %s works at %s by %v", by.name, probe.InstanceID, one.name,
				one.service(probe.Service).Leader.InstanceID, one.table.Version)
		}
	}
}

// judgeLeaders: gateways work at one leader at a time.
func (w *world) judgeLeaders(one *gateway) {
	for _, other := range w.gateways {
		a, b := one.service("s").Leader, other.service("s").Leader
		if w.worksAt(one, "s") && w.worksAt(other, "s") && a.InstanceID != b.InstanceID {
			w.fail("%s works at %s by %v, and %s at %s by %v", one.name, a.InstanceID, one.table.Version,
				other.name, b.InstanceID, other.table.Version)
		}
	}
}

// judgeDrains: who asks after a drain or a leave was acknowledged learns of it.
func (w *world) judgeDrains(one *gateway) {
	for _, service := range one.table.Services {
		for _, known := range service.Instances {
			if at, found := w.drained[known.ID]; found && at < one.sentAt && !known.Draining {
				w.fail("%s asked at %s and takes %s, whose drain was acknowledged at %s, for ready", one.name, one.sentAt,
					known.ID, at)
			}
		}
	}
}
