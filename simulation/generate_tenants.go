package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// tenantGenerator adds tenants to a day, with changes of their keys and limits. It draws from chance of its own, so that days without tenants
// stay as they are.
type tenantGenerator struct {
	random *rand.Rand
	count  int  // of tenants; zero: the day has none
	strict bool // keys that were taken away bind all machines, in touch or not
	made   int  // keys
	keys   []string
}

// Shape of tenants on a generated day.
const (
	generatedTenants = 3
	generatedRate    = 60
	generatedBurst   = 60
	// lastKeys is when each tenant gets a key that stays.
	lastKeys = 57 * time.Second
)

func newTenantGenerator(seed uint64) *tenantGenerator {
	made := &tenantGenerator{random: rand.New(rand.NewPCG(seed, 0x71b1d0c95e3a62f7)), strict: seed%4 != 3}
	if made.random.IntN(2) == 0 {
		return made
	}
	made.count = generatedTenants
	for index := range made.count {
		made.keys = append(made.keys, firstKey(tenantName(index)))
	}
	return made
}

func (t *tenantGenerator) between(least, most time.Duration) time.Duration {
	return (least + time.Duration(t.random.Int64N(int64(most-least)))).Round(time.Millisecond)
}

func (t *tenantGenerator) anyTenant() string { return tenantName(t.random.IntN(t.count)) }

func (t *tenantGenerator) anyKey() string { return t.keys[t.random.IntN(len(t.keys))] }

func (t *tenantGenerator) newKey(tenant string) string {
	t.made++
	key := fmt.Sprintf("%s-new%d", tenant, t.made)
	t.keys = append(t.keys, key)
	return key
}

func (g *generator) tenantsHeader() {
	if g.tenants.count > 0 {
		g.add("tenants %d rate %d burst %d", g.tenants.count, generatedRate, generatedBurst)
		if !g.tenants.strict {
			g.add("revoke 0s")
		}
	}
}

// tenantTrouble adds a change of the tenants, or a hot one, with one trouble in two.
func (g *generator) tenantTrouble() {
	t := g.tenants
	if t.count == 0 || t.random.IntN(2) == 0 {
		return
	}
	kinds := []func(){g.revoke, g.revoke, g.newTenantKey, g.moveKey, g.changeLimit, g.hot, g.hot}
	kinds[t.random.IntN(len(kinds))]()
}

func (g *generator) nextOrder() int64 {
	g.number++
	return g.number
}

// revoke takes a key away, as often as not with the controller that acknowledged it lost, or a gateway in trouble.
func (g *generator) revoke() {
	t := g.tenants
	number := g.nextOrder()
	g.at(0, "revoke %s order %d", t.anyKey(), number)
	lasting := t.between(time.Second, 9*time.Second)
	switch t.random.IntN(6) {
	case 0:
		if g.mayLose(lasting) {
			g.add("on ack %d %s acknowledging for %s", number, []string{"kill", "freeze", "power"}[t.random.IntN(3)], lasting)
		}
	case 1:
		g.withGateway(number, "freeze g1 for %s")
	case 2:
		g.withGateway(number, "cut g1 from core for %s")
	}
}

// withGateway puts a gateway into trouble around the acknowledgement of an order, for longer than a key that was taken away may be of use.
func (g *generator) withGateway(number int64, trouble string) {
	lasting := g.tenants.between(6*time.Second, 10*time.Second)
	if g.now < g.busyGateway {
		return
	}
	g.busyGateway = g.now + lasting
	if g.tenants.random.IntN(2) == 0 {
		g.at(0, trouble, lasting)
		return
	}
	g.add("on ack %d %s", number, fmt.Sprintf(trouble, lasting))
}

func (g *generator) newTenantKey() {
	tenant := g.tenants.anyTenant()
	g.at(0, "key %s for %s order %d", g.tenants.newKey(tenant), tenant, g.nextOrder())
}

func (g *generator) moveKey() {
	g.at(0, "key %s for %s order %d", g.tenants.anyKey(), g.tenants.anyTenant(), g.nextOrder())
}

func (g *generator) changeLimit() {
	rate := []int{5, 20, 60, 150}[g.tenants.random.IntN(4)]
	burst := []int{0, 40, 200}[g.tenants.random.IntN(3)]
	g.at(0, "limit %s %d %d order %d", g.tenants.anyTenant(), rate, burst, g.nextOrder())
}

func (g *generator) hot() {
	t := g.tenants
	g.at(0, "hot %s at %d for %s", t.anyTenant(), 80+t.random.IntN(300), t.between(2*time.Second, 12*time.Second))
}

// tenantsFooter gives each tenant a key that stays and its first limit, so that its clients are served at the end.
func (g *generator) tenantsFooter() {
	for index := range g.tenants.count {
		tenant := tenantName(index)
		g.add("at %s key %s for %s order %d", lastKeys+time.Duration(index)*time.Second, g.tenants.newKey(tenant), tenant, g.nextOrder())
		g.add("at %s limit %s %d %d order %d", lastKeys+time.Duration(index)*time.Second+500*time.Millisecond, tenant, generatedRate, generatedBurst, g.nextOrder())
		g.add("expect operations %s %s %s 3", tenant, generatedLength-8*time.Second, generatedLength)
	}
}
