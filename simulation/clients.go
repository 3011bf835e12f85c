package simulation

import (
	"fmt"
	"sort"
	"time"

	"eiderway/control/failover"
	"eiderway/role"
)

// Times of clients.
const (
	clientPause   = 40 * time.Millisecond // between operations
	clientTimeout = 2 * time.Second
)

// client sends one statement after the other through a gateway: reads and writes in turn.
type client struct {
	world   *World
	name    string
	service string
	gateway int
	tenant  string // "": the system has none
	count   int
	own     entry             // the last commit of the session that was acknowledged
	written failover.Position // the position that was told with it
}

// readBounds are what the reads of a client must see, in turn; nil: all that was acknowledged before.
var readBounds = []*role.Bound{
	nil,
	{Staleness: 1500 * time.Millisecond},
	{Staleness: 2500 * time.Millisecond, OwnWrites: true},
}

// another goes to the next gateway, with a new session.
func (c *client) another() {
	c.gateway++
	c.own, c.written = entry{}, failover.Position{}
}

func (w *World) addClient(name, service, tenant string, gateway int) {
	added := &client{world: w, name: name, service: service, tenant: tenant, gateway: gateway}
	w.schedule.after(w.jitter(clientPause), added.next)
}

func (c *client) next() {
	w := c.world
	c.count++
	one := &statement{service: c.service, write: c.count%2 == 0, sent: w.now(), own: c.own, written: c.written}
	one.operation = w.operationOf(c.tenant, fmt.Sprintf("%s %d", c.name, c.gateway))
	if !one.write {
		one.bound = readBounds[c.count/2%len(readBounds)]
	}
	ended := false
	finish := func(kind answerKind) {
		if ended {
			return
		}
		ended = true
		if one.write && kind == answerDone {
			c.own, c.written = one.made, one.told
		}
		w.judge.clientAnswered(one, kind)
		w.schedule.after(clientPause/2+w.jitter(clientPause), c.next)
	}
	w.schedule.after(clientTimeout, func() {
		if !ended {
			c.another()
		}
		finish(answerInDoubt)
	})
	via := w.gateways[c.gateway%len(w.gateways)]
	w.askGateway(c.name, via, one, finish, func() {
		c.another()
		finish(answerBusy)
	})
}

// askGateway sends a statement to a gateway. It ends with an answer, or with none, or is refused by a machine whose process doesn't run.
func (w *World) askGateway(from string, via *gateway, one *statement, answered func(answerKind), refused func()) {
	taken := false
	w.network.send(from, via.name, func() {
		if taken {
			return // a connection gives the same bytes once
		}
		taken = true
		if !via.running {
			w.network.send(via.name, from, refused)
			return
		}
		via.whenAwake(via.life, func() {
			via.take(one, func(kind answerKind) {
				w.network.send(via.name, from, func() { answered(kind) })
			})
		})
	})
}

// sortFlights orders flights by the moment in which they were sent, for one seed to give one history.
func sortFlights(flights []*flight) {
	sort.Slice(flights, func(a, b int) bool { return flights[a].statement.sent < flights[b].statement.sent })
}
