package simulation

import (
	"fmt"
	"time"

	"eiderway/control/controller"
	"eiderway/control/feed"
	"eiderway/control/guard"
)

// Times of gateways.
const (
	statementTimeout = time.Second            // of a statement at an instance
	freezePatience   = 200 * time.Millisecond // for statements in flight when their service is frozen
	watchPatience    = 700 * time.Millisecond // for an answer, beyond the wait that was asked for
	watchPause       = 100 * time.Millisecond // before another controller is asked
)

// gateway is a model of an edge process: it holds a table under a lease and passes statements on by it.
type gateway struct {
	world   *World
	name    string
	running bool
	frozen  bool
	life    int

	table      *feed.Table
	leaseUntil time.Duration
	drains     *feed.DrainDeadlines
	target     string // address of the controller that is asked
	known      []string
	watching   uint64 // number of the question under way
	flights    map[*flight]bool
	reads      map[string]*serviceReads
	freezes    map[string]int // times that each service has been frozen in the table
	reports    map[string]*feed.InstanceReport
	backlog    []func()

	tenantry

	lastTrouble time.Duration
	highest     int64 // configuration seen in this life
}

// flight is a statement that has been passed on and is not answered.
type flight struct {
	statement *statement
	service   string
	freeze    int
	answer    func(answerKind)
	over      bool
	unleased  bool // passed on outside the lease, inside a transaction
	replica   bool // a read at a replica, which no freeze concerns
}

// answerKind is what a client gets.
type answerKind int

const (
	// answerDone: success.
	answerDone answerKind = iota
	// answerBusy is a promise that nothing is kept.
	answerBusy
	// answerInDoubt: it may have run.
	answerInDoubt
	// answerUnknownKey: the client's key is not known.
	answerUnknownKey
)

func (w *World) addGateway(name string) *gateway {
	added := &gateway{world: w, name: name, lastTrouble: -time.Hour}
	w.gateways = append(w.gateways, added)
	return added
}

func (g *gateway) start() {
	if g.running {
		return
	}
	g.life++
	g.running = true
	g.frozen = false
	g.table = nil
	g.leaseUntil = 0
	g.drains = feed.NewDrainDeadlines()
	g.highest = 0
	g.backlog = nil
	g.flights = map[*flight]bool{}
	g.freezes = map[string]int{}
	g.reads = map[string]*serviceReads{}
	g.reports = map[string]*feed.InstanceReport{}
	g.tenantry = newTenantry(g.world.plan)
	g.known = nil
	for _, seed := range g.world.seedNames() {
		g.known = append(g.known, seed+":7440")
	}
	g.target = g.known[g.world.random.IntN(len(g.known))]
	g.ask()
}

func (g *gateway) kill() {
	g.running = false
	g.life++
}

// whenAwake runs an action now, or when the process wakes, or never if its life is over.
func (g *gateway) whenAwake(life int, action func()) {
	switch {
	case g.life != life || !g.running:
		return
	case g.frozen:
		g.backlog = append(g.backlog, func() { g.whenAwake(life, action) })
	default:
		action()
	}
}

func (g *gateway) freeze() { g.frozen = true }

func (g *gateway) thaw() {
	g.frozen = false
	backlog := g.backlog
	g.backlog = nil
	for _, action := range backlog {
		action()
	}
}

// ask sends the next question.
func (g *gateway) ask() {
	w := g.world
	g.watching++
	number := g.watching
	life := g.life
	sent := w.now()
	request := feed.WatchRequest{Gateway: fmt.Sprintf("%s/%d", g.name, life), Name: g.name, Wait: w.controllerSettings.MaxWatchWait}
	if g.table != nil {
		request.Applied = g.table.Version
		request.Digest = feed.DigestOf(g.table.Services)
		request.Configuration = g.table.ConfigurationNumber
	}
	request.Reports = g.takeReports()
	take := func(reply controller.WatchReply) {
		g.whenAwake(life, func() { g.answered(number, sent, reply.Answer) })
	}
	target := w.machineByAddress(g.target)
	if target != nil {
		w.network.send(g.name, target.name, func() {
			target.watch(request, func(reply controller.WatchReply) {
				w.network.send(target.name, g.name, func() { take(reply) })
			})
		})
	}
	w.schedule.after(request.Wait+watchPatience, func() {
		g.whenAwake(life, func() {
			if g.watching == number {
				g.askAnother("")
			}
		})
	})
}

func (g *gateway) takeReports() []feed.InstanceReport {
	var reports []feed.InstanceReport
	for _, one := range g.world.instances {
		if report := g.reports[one.id]; report != nil {
			reports = append(reports, *report)
		}
	}
	g.reports = map[string]*feed.InstanceReport{}
	return reports
}

// askAnother turns to the given controller, or to the next one known.
func (g *gateway) askAnother(address string) {
	g.watching++ // what comes for the last question is late
	if address == "" || address == g.target {
		address = g.nextKnown()
	}
	g.target = address
	life := g.life
	g.world.schedule.after(watchPause/2+g.world.jitter(watchPause), func() { g.whenAwake(life, g.ask) })
}

func (g *gateway) nextKnown() string {
	for index, address := range g.known {
		if address == g.target {
			return g.known[(index+1)%len(g.known)]
		}
	}
	return g.known[g.world.random.IntN(len(g.known))]
}

func (g *gateway) answered(number uint64, sent time.Duration, answer feed.WatchAnswer) {
	if g.watching != number {
		return
	}
	g.watching++ // the answer may come twice
	if len(answer.Members) > 0 {
		g.known = nil
		for _, member := range answer.Members {
			g.known = append(g.known, member.Address)
		}
	}
	if answer.NotPrimary {
		g.askAnother(answer.Primary.Address)
		return
	}
	if answer.Table != nil {
		if g.table != nil && answer.Table.Version.Less(g.table.Version) {
			g.askAnother("")
			return
		}
		var held feed.Table
		if g.table != nil {
			held = *g.table
		}
		whole, err := answer.Table.ApplyTo(held)
		if err != nil {
			g.world.judge.toldBroken(g.name, err.Error())
			return
		}
		g.apply(whole)
	}
	g.keys.HeardAt = max(g.keys.HeardAt, sent)
	g.primary = g.target
	g.drains.Update(sent, answer.Drains)
	if answer.Lease > 0 && g.table != nil {
		g.leaseUntil = max(g.leaseUntil, sent+answer.Lease)
	}
	g.world.judge.gatewayHeard(g)
	g.askWhenClear()
}

// apply takes a newer table over. The configuration comes without its body if the gateway has it.
func (g *gateway) apply(table feed.Table) {
	if table.Configuration == nil && g.table != nil {
		table.Configuration = g.table.Configuration
	}
	for _, service := range table.Services {
		if service.Frozen && !g.isFrozen(service.Name) {
			g.freezes[service.Name]++
		}
	}
	if g.table == nil || g.table.ConfigurationNumber != table.ConfigurationNumber {
		g.readTenants(table.Configuration)
	}
	g.table = &table
	g.world.judge.gatewayTook(g, table.ConfigurationNumber)
}

func (g *gateway) isFrozen(service string) bool {
	found := g.service(service)
	return found != nil && found.Frozen
}

func (g *gateway) service(name string) *feed.Service {
	if g.table == nil {
		return nil
	}
	for index := range g.table.Services {
		if g.table.Services[index].Name == name {
			return &g.table.Services[index]
		}
	}
	return nil
}

// askWhenClear asks again at once, or, when statements are in flight to a frozen service, once they are over: the
// question says that the freeze is applied.
func (g *gateway) askWhenClear() {
	if !g.flyingToFrozen() {
		g.ask()
		return
	}
	life := g.life
	g.world.schedule.after(freezePatience, func() {
		g.whenAwake(life, func() {
			g.breakFrozen()
			g.ask()
		})
	})
}

func (g *gateway) flyingToFrozen() bool {
	for one := range g.flights {
		if g.isFrozen(one.service) && !one.replica {
			return true
		}
	}
	return false
}

func (g *gateway) breakFrozen() {
	var broken []*flight
	for one := range g.flights {
		if g.isFrozen(one.service) && !one.replica {
			broken = append(broken, one)
		}
	}
	sortFlights(broken)
	for _, one := range broken {
		one.end(g, answerInDoubt)
	}
}

func (f *flight) end(g *gateway, kind answerKind) {
	if f.over {
		return
	}
	f.over = true
	f.statement.dropped = true
	delete(g.flights, f)
	f.answer(kind)
}

// take serves one statement of a client.
func (g *gateway) take(one *statement, answer func(answerKind)) {
	if g.world.now() < g.leaseUntil {
		g.world.judge.gatewayServes(g, one)
	}
	switch {
	case one.inside():
		g.takeInside(one, answer)
	case g.world.plan.Tenants.Count == 0:
		g.takeFirst(one, answer)
	case g.admit(one, answer):
		g.spend(one.tenant, func(may bool) {
			if may {
				g.takeFirst(one, answer)
				return
			}
			answer(answerBusy)
		})
	}
}

// takeFirst serves a statement that stands alone or begins a transaction.
func (g *gateway) takeFirst(one *statement, answer func(answerKind)) {
	if service := g.service(one.service); service != nil {
		if target := g.replicaFor(one, service); target != nil {
			g.readAtReplica(one, service, target, answer)
			return
		}
	}
	g.takeAtLeader(one, answer)
}

func (g *gateway) takeAtLeader(one *statement, answer func(answerKind)) {
	service := g.service(one.service)
	if service == nil || service.Frozen || service.Leader.InstanceID == "" || g.world.now() >= g.leaseUntil || !g.stillAdmits(one) {
		answer(answerBusy)
		return
	}
	target := g.leaderOf(service)
	if target == nil {
		answer(answerBusy)
		return
	}
	g.pass(one, service, target, answer)
}

func (g *gateway) leaderOf(service *feed.Service) *instance {
	for _, known := range service.Instances {
		if known.ID == service.Leader.InstanceID {
			if !g.drains.MayBegin(g.world.now(), known) && !g.world.plan.Lacking.Has(guard.DrainDeadline) {
				return nil
			}
			target := g.world.instanceAt(known.Address)
			if target == nil || target.id != known.ID {
				return nil // another instance lives there now: it would answer WRONGNODE
			}
			return target
		}
	}
	return nil
}

func (g *gateway) pass(one *statement, service *feed.Service, target *instance, answer func(answerKind)) {
	w := g.world
	life := g.life
	passed := &flight{statement: one, service: service.Name, freeze: g.freezes[service.Name], answer: answer}
	passed.unleased = w.now() >= g.leaseUntil
	g.flights[passed] = true
	one.gateway = g
	one.passed = w.now()
	w.run(g.name, target, one, func(outcome statementOutcome) {
		g.whenAwake(life, func() { g.landed(passed, target, outcome) })
	})
	w.schedule.after(statementTimeout, func() {
		g.whenAwake(life, func() {
			if !passed.over {
				g.report(target.id).Failures++
				passed.end(g, answerInDoubt)
			}
		})
	})
}

func (g *gateway) report(id string) *feed.InstanceReport {
	if g.reports[id] == nil {
		g.reports[id] = &feed.InstanceReport{InstanceID: id}
	}
	return g.reports[id]
}

func (g *gateway) landed(one *flight, target *instance, outcome statementOutcome) {
	if one.over {
		return
	}
	report := g.report(target.id)
	switch outcome {
	case statementDone:
		report.Answers++
		g.open(one.statement, target)
		if g.rightLasted(one) {
			g.readsOf(one.service).positions.Record(one.statement.passed, one.statement.told)
		}
		one.end(g, g.worthOf(one))
	case statementReadOnly:
		report.ReadOnly++
		one.end(g, answerBusy)
	case statementRefused:
		report.Failures++
		one.end(g, answerBusy)
	case statementLost:
		report.Failures++
		one.end(g, answerInDoubt)
	}
}

// worthOf passes the success of a write on only if nothing can have replaced the leader meanwhile.
func (g *gateway) worthOf(one *flight) answerKind {
	if !one.statement.write || g.rightLasted(one) {
		return answerDone
	}
	return answerInDoubt
}

// rightLasted tells whether the right to use the leader has lasted since the statement was passed on.
func (g *gateway) rightLasted(one *flight) bool {
	leased := g.world.now() < g.leaseUntil
	return leased && !one.unleased && g.freezes[one.service] == one.freeze && !g.isFrozen(one.service)
}
