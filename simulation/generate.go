package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Shape of a generated day.
const (
	generatedLength = 75 * time.Second
	firstTrouble    = 7 * time.Second
	lastTrouble     = 48 * time.Second // after it the day is calm, so that all must be well at the end
	lastOrder       = 62 * time.Second
)

// generator writes the text of a day with a mix of troubles within the tolerance.
type generator struct {
	random      *rand.Rand
	lines       []string
	now         time.Duration
	controllers int
	tolerance   int
	joined      int             // machines so far
	lost        []time.Duration // until when each lost machine counts as lost
	busyService time.Duration   // until when an instance is in trouble
	busyGateway time.Duration
	number      int64
	successors  int
	catchUp     time.Duration
	tenants     *tenantGenerator
	returns     *rand.Rand // chance of its own for how a crashed instance comes back
	returned    int        // instances that came back under a new id
	second      bool       // there is a second service, which may be used up
	three       bool       // it has three instances, not two
	wild        bool       // any number of machines in trouble at once, but no disk is lost: safety must hold all the same
}

// Generate writes a day for a seed of chance. The same seed gives the same text.
func Generate(seed uint64) string {
	g := &generator{random: rand.New(rand.NewPCG(seed, 0xda942042e4dd58b5)), now: firstTrouble, number: 10, catchUp: 4 * time.Second}
	g.tenants = newTenantGenerator(seed)
	g.returns = rand.New(rand.NewPCG(seed, 0x72657475726e))
	g.header(seed)
	if g.second {
		g.decline()
	}
	for g.now < lastTrouble {
		g.trouble()
		g.tenantTrouble()
		g.now += g.between(50*time.Millisecond, 4*time.Second)
	}
	g.footer()
	return strings.Join(g.lines, "\n") + "\n"
}

func (g *generator) add(format string, values ...any) {
	g.lines = append(g.lines, fmt.Sprintf(format, values...))
}

// at adds an action for a moment shortly after now.
func (g *generator) at(later time.Duration, format string, values ...any) {
	g.add("at %s %s", g.now+later, fmt.Sprintf(format, values...))
}

func (g *generator) between(least, most time.Duration) time.Duration {
	return (least + time.Duration(g.random.Int64N(int64(most-least)))).Round(time.Millisecond)
}

func (g *generator) one(of ...string) string { return of[g.random.IntN(len(of))] }

func (g *generator) header(seed uint64) {
	g.controllers, g.tolerance = 3, 1
	switch g.random.IntN(4) {
	case 0:
		g.controllers = 5
	case 1:
		g.controllers, g.tolerance = 5, 2
	}
	g.wild = g.random.IntN(4) == 0
	g.joined = g.controllers
	g.add("# Generated from seed %d.", seed)
	g.add("controllers %d", g.controllers)
	g.add("tolerance %d", g.tolerance)
	g.add("length %s", generatedLength)
	g.add("disk %s", g.one("500us", "2ms", "5ms"))
	g.add("promote %s", g.one("300ms", "600ms", "1s"))
	g.add("fencechecked %s", g.one("yes", "no"))
	g.add("runs %d", seed)
	g.add("service db 3 sync 1")
	if g.random.IntN(3) > 0 {
		g.second = true
		g.three = g.random.IntN(2) == 0
		instances := 2
		if g.three {
			instances = 3
		}
		g.add("service kv %d sync %d", instances, min(1, g.random.IntN(3)))
		g.add("clients 6")
	}
	if g.random.IntN(5) == 0 {
		g.add("conditions loss 0.5%% duplicate 1%% reorder 4ms")
	}
	g.startsHeader(seed)
	g.tenantsHeader()
	g.add("at 4s order 10")
}

// startsHeader says what instances are like at their start and when they are probed. It has a source of chance of its own.
func (g *generator) startsHeader(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0x7761726d7570))
	if random.IntN(2) == 0 {
		g.add("warmup %s", 5*time.Second+time.Duration(random.IntN(14))*time.Second)
	}
	if random.IntN(3) == 0 {
		g.add("renumber yes")
	}
	if random.IntN(3) == 0 {
		g.add("busyprobes %d", 4+random.IntN(12))
	}
}

func (g *generator) footer() {
	g.tenantsFooter()
	g.number += 5
	g.add("at %s order %d", lastOrder, g.number)
	g.add("expect order %d acknowledged before %s", g.number, lastOrder+5*time.Second)
	g.add("expect configuration %d", g.number)
	g.add("expect writes %s %s 30", generatedLength-8*time.Second, generatedLength)
}

// trouble adds one trouble of a random kind, if its budget allows it.
func (g *generator) trouble() {
	kinds := []func(){
		g.orders, g.orders, g.race, g.again, g.coreLoss, g.coreLoss, g.coreLoss, g.coreLoss, g.allPower,
		g.instanceTrouble, g.instanceTrouble, g.secondInstance, g.gatewayTrouble, g.platformTrouble, g.resets,
		g.answersLost, g.invalidOrder, g.bigOrder, g.newSeeds, g.lateBeats,
	}
	if g.second {
		kinds = append(kinds, g.useUp, g.useUp, g.useUp)
	}
	kinds[g.random.IntN(len(kinds))]()
}

func (g *generator) anyController() string {
	return fmt.Sprintf("c%d", 1+g.random.IntN(g.joined))
}

func (g *generator) orders() {
	count := 1 + g.random.Int64N(12)
	first := g.number + 1 + g.random.Int64N(3)
	g.number = first + count
	g.at(0, "orders %d..%d every %s to any", first, g.number, g.between(20*time.Millisecond, 300*time.Millisecond))
}

func (g *generator) race() {
	g.number += 1 + g.random.Int64N(3)
	g.at(0, "race %d content one and two to %s,%s", g.number, g.anyController(), g.anyController())
}

func (g *generator) again() {
	g.at(0, "again %d to %s", 10+g.random.Int64N(g.number-9), g.anyController())
}

func (g *generator) invalidOrder() {
	g.at(0, "order %d content %s", g.number+1, g.one(contentZeroTimeout, contentUnknownService, contentTwoRoutes, contentCutOff))
}

func (g *generator) bigOrder() {
	g.number++
	g.at(0, "order %d routes %d", g.number, 50+g.random.IntN(400))
}

// newSeeds changes the settings of one machine to others of the operator's list, which may be down.
func (g *generator) newSeeds() { g.at(0, "seeds %s listed", g.anyController()) }

// secondInstance strikes a service that may be in trouble already.
func (g *generator) secondInstance() {
	lasting := g.between(300*time.Millisecond, 5*time.Second)
	how, who := g.one("crash", "freeze"), g.one("replica:db", "leader:db")
	if how == "crash" && who == "leader:db" {
		g.crashOften(who, lasting)
		return
	}
	g.at(0, "%s %s for %s", how, who, lasting)
}

// crashOften crashes an instance that is often back at once.
func (g *generator) crashOften(who string, lasting time.Duration) {
	if g.returns.IntN(2) == 0 {
		lasting = time.Duration(50+g.returns.IntN(1000)) * time.Millisecond
	}
	g.crashAndReturn(who, lasting)
}

// crashAndReturn crashes an instance that comes back with its log, under its id or a new one.
func (g *generator) crashAndReturn(who string, lasting time.Duration) {
	if g.returns.IntN(2) == 0 {
		g.at(0, "crash %s for %s", who, lasting)
		return
	}
	g.returned++
	g.at(0, "crash %s for %s as back%d", who, lasting, g.returned)
}

// mayLose tells whether one machine more may be lost now, and takes it.
func (g *generator) mayLose(lasting time.Duration) bool {
	var still []time.Duration
	for _, until := range g.lost {
		if until > g.now {
			still = append(still, until)
		}
	}
	g.lost = still
	if len(still) >= g.tolerance {
		return false
	}
	g.lost = append(g.lost, g.now+lasting+g.catchUp)
	return true
}

func (g *generator) coreLoss() {
	lasting := g.between(300*time.Millisecond, 9*time.Second)
	who := g.one("acting", "acting", "backup", "backup2", "acknowledging")
	if g.wild {
		g.lossOfTime(g.one(who, g.anyController()), lasting)
		return
	}
	if !g.mayLose(lasting) {
		return
	}
	switch g.random.IntN(14) {
	case 0:
		g.at(0, "wipe %s for %s", who, lasting)
	case 1:
		g.replacement(who, lasting)
	case 2:
		g.wipedAfterAcknowledgement(lasting)
	case 3:
		g.lost[len(g.lost)-1] = g.now + max(lasting, 7*time.Second) + g.catchUp
		g.at(0, "terminate %s for %s", who, max(lasting, 7*time.Second))
	default:
		g.lossOfTime(who, lasting)
	}
}

// lossOfTime is a trouble after which a machine is back with its disk.
func (g *generator) lossOfTime(who string, lasting time.Duration) {
	switch g.random.IntN(10) {
	case 0:
		g.at(0, "kill %s for %s", who, lasting)
	case 1:
		g.at(0, "power %s for %s loses %s", who, lasting, g.one("all", "some", "none"))
	case 2:
		g.at(0, "cut %s from %s for %s", who, g.anyController(), lasting)
	case 3:
		g.at(0, "freeze %s for %s", who, lasting)
	case 4:
		g.at(0, "cut %s from core for %s", who, lasting)
	case 5:
		g.at(0, "cut %s from all for %s", who, lasting)
	case 6:
		g.at(0, "oneway %s to core for %s", who, lasting)
	case 7:
		g.at(0, "oneway core to %s for %s", who, lasting)
	case 8:
		g.at(0, "disk-slow %s by 25 for %s", who, lasting)
	case 9:
		g.at(0, "%s %s for %s", g.one("disk-stall", "disk-full"), who, lasting)
	}
}

func (g *generator) replacement(who string, lasting time.Duration) {
	g.joined++
	name := fmt.Sprintf("c%d", g.joined)
	if g.random.IntN(2) == 0 {
		g.at(0, "replace %s by %s", who, name)
		return
	}
	// A machine that is told to leave goes for good when its time of grace is over.
	g.lost[len(g.lost)-1] = max(g.now+lasting, g.now+6*time.Second) + g.catchUp
	g.at(0, "retire %s by %s", who, name)
}

func (g *generator) wipedAfterAcknowledgement(lasting time.Duration) {
	g.number++
	g.lost[len(g.lost)-1] += 3 * time.Second
	g.at(0, "order %d", g.number)
	g.add("on ack %d wipe acknowledging for %s", g.number, min(lasting, 2*time.Second))
	if g.random.IntN(2) == 0 {
		down := g.between(200*time.Millisecond, 2*time.Second)
		g.add("on ack %d power core for %s loses all", g.number, down)
		if g.number%2 == 0 { // the machines that don't count lose power too
			g.add("on ack %d kill gateways for %s", g.number, down)
		}
		g.quiet(8 * time.Second)
	}
}

// quiet keeps machines of the core from being lost for a while.
func (g *generator) quiet(lasting time.Duration) {
	for len(g.lost) < g.tolerance {
		g.lost = append(g.lost, 0)
	}
	for index := range g.lost {
		g.lost[index] = max(g.lost[index], g.now+lasting)
	}
}

func (g *generator) allPower() {
	if g.random.IntN(2) == 0 {
		return
	}
	lasting := g.between(200*time.Millisecond, 2*time.Second)
	if g.random.IntN(2) == 0 {
		g.at(0, "kill core for %s", lasting)
	} else {
		g.at(0, "power core for %s loses %s", lasting, g.one("all", "some", "none"))
	}
	g.quiet(lasting + g.catchUp)
}

func (g *generator) instanceTrouble() {
	lasting := g.between(300*time.Millisecond, 9*time.Second)
	if g.now < g.busyService {
		return
	}
	g.busyService = g.now + lasting + 8*time.Second
	who := g.one("leader:db", "leader:db", "leader:db", "replica:db")
	switch g.random.IntN(7) {
	case 6:
		g.busyService += 14 * time.Second
		g.successors++
		g.at(0, "leave %s %s by dbx%d", who, g.one("beating", "quietly"), g.successors)
	case 0:
		g.crashOften(who, lasting)
	case 1:
		g.at(0, "freeze %s for %s", who, lasting)
	case 2:
		how := ""
		if g.returns.IntN(2) == 0 {
			how = " resetting"
		}
		g.at(0, "cut %s from %s for %s%s", who, g.one("all", "core", "replicas:db", "gateways", "g1", "core,g1"), lasting, how)
	case 3:
		g.at(0, "oneway %s to %s for %s", who, g.one("all", "core", "gateways"), lasting)
	case 4:
		g.at(0, "oneway %s to %s for %s", g.one("core", "gateways", "replicas:db"), who, lasting)
	case 5:
		g.busyService += 14 * time.Second
		g.successors++
		g.at(0, "drain %s by dbx%d", who, g.successors)
	}
}

// useUp takes instances of the second service away, with nobody in their place or with an empty one, until none may be left.
func (g *generator) useUp() {
	who := g.one("leader:kv", "leader:kv", "replica:kv")
	switch g.random.IntN(5) {
	case 0:
		g.at(0, "crash replica:kv")
	case 1:
		g.at(0, "drain %s", who)
	case 2:
		g.at(0, "leave %s %s", who, g.one("beating", "quietly"))
	case 3:
		g.crashAndReturn("leader:kv", g.between(time.Second, 15*time.Second))
	case 4:
		g.successors++
		g.at(0, "join kvx%d to kv", g.successors)
	}
}

// Shape of the decline of the second service.
const (
	declineFirst = 7 * time.Second
	declineLast  = 16 * time.Second
	lostFor      = 11 * time.Second // after which an instance that crashed for good is taken for lost
)

// decline draws the second service down to its last copy: replicas crash for good or leave, with or without a drain; a controller takes
// over right after; then the leader, which may alone have what was acknowledged, goes too, for a while or for good, and an instance
// with an empty log comes.
func (g *generator) decline() {
	resumed := g.now
	defer func() { g.now = resumed }()
	g.now = g.between(declineFirst, declineLast)
	if g.random.IntN(3) == 0 {
		g.at(0, "late-beats %d%% for 40s", 40+g.random.IntN(40))
	}
	if g.three {
		switch g.random.IntN(3) {
		case 0:
			g.loseLeaverOfLastCopy()
			return
		case 1:
			g.crashBesideReplacement()
			return
		}
	}
	crashed := g.random.IntN(2) == 0
	for range 2 {
		if crashed {
			g.at(0, "crash replica:kv")
		} else {
			g.at(0, "%s", g.one("drain replica:kv", "leave replica:kv beating", "leave replica:kv beating", "leave replica:kv quietly"))
		}
		g.now += g.between(50*time.Millisecond, 2*time.Second)
	}
	g.now += lostFor + g.between(0, 4*time.Second)
	if g.random.IntN(3) > 0 && g.mayLose(2*time.Second) {
		g.at(0, "%s", g.one("kill acting for 1s", "power acting for 2s", "freeze acting for 2s"))
		g.now += g.between(3*time.Second, 8*time.Second)
	}
	if g.random.IntN(2) == 0 {
		g.at(0, "drain leader:kv")
		return
	}
	g.crashAndReturn("leader:kv", g.between(15*time.Second, 25*time.Second))
	g.successors++
	g.at(g.between(500*time.Millisecond, 3*time.Second), "join kvx%d to kv", g.successors)
}

// loseLeaverOfLastCopy has a replica leave that alone receives, since the other one is cut off from the leader, and the leader crash while it
// still does.
func (g *generator) loseLeaverOfLastCopy() {
	g.at(0, "leave kv2 %s", g.one("beating", "quietly"))
	g.now += g.between(500*time.Millisecond, 3*time.Second)
	g.at(0, "cut kv3 from kv1 for %s", g.between(6*time.Second, 10*time.Second))
	g.now += g.between(500*time.Millisecond, 3*time.Second)
	g.at(0, "crash kv1 for %s", g.between(20*time.Second, 30*time.Second))
}

// crashBesideReplacement replaces a replica that alone receives, since the other one is cut off from the leader, and crashes the leader
// about when the replica ends.
func (g *generator) crashBesideReplacement() {
	g.successors++
	g.at(0, "drain kv2 by kvx%d", g.successors)
	g.add("on drained kv2 +%s cut kv3 from kv1 for %s", g.between(4*time.Second, 7*time.Second), g.between(6*time.Second, 9*time.Second))
	g.add("on ended kv2 +%s crash kv1 for %s", g.between(0, 600*time.Millisecond), g.between(4*time.Second, 12*time.Second))
}

func (g *generator) lateBeats() {
	g.at(0, "late-beats %d%% for %s", 20+g.random.IntN(80), g.between(2*time.Second, 15*time.Second))
}

func (g *generator) gatewayTrouble() {
	if g.now < g.busyGateway {
		return
	}
	lasting := g.between(200*time.Millisecond, 8*time.Second)
	g.busyGateway = g.now + lasting
	switch g.random.IntN(4) {
	case 0:
		g.at(0, "kill g1 for %s", lasting)
	case 1:
		g.at(0, "freeze g1 for %s", lasting)
	case 2:
		g.at(0, "cut g1 from %s for %s", g.one("core", "acting", "all", "backups"), lasting)
	case 3:
		g.at(0, "oneway g1 to core for %s", lasting)
	}
}

func (g *generator) platformTrouble() {
	switch g.random.IntN(4) {
	case 0:
		g.at(0, "platform slow %s for %s", g.between(200*time.Millisecond, 4*time.Second), g.between(time.Second, 10*time.Second))
	case 1:
		g.at(0, "platform lose-call")
	case 2:
		g.at(0, "platform lose-answer")
	case 3:
		g.at(0, "platform late %s", g.between(500*time.Millisecond, 6*time.Second))
	}
}

func (g *generator) resets() {
	g.at(0, "reset %s", g.one("core", "acting", "backup", "core with core"))
}

func (g *generator) answersLost() {
	g.at(0, "answers-lost %d%% for %s", 20+g.random.IntN(81), g.between(500*time.Millisecond, 4*time.Second))
}
