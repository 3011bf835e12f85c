package simulation

import (
	"fmt"
	"slices"
	"time"
)

// wireTenant is a row of the operators' table of tenants, written here a second time as wireRoute is.
type wireTenant struct {
	Name      string   `json:"name"`
	Keys      []string `json:"apiKeys"`
	RatePerS  float64  `json:"ratePerS,omitempty"` // zero: left out, so the tenant has no limit
	BurstSize float64  `json:"burstSize,omitempty"`
}

func (t wireTenant) limited() bool { return t.RatePerS > 0 }

// TenantsPlan says how many tenants share the system, and what limit each has at the start.
type TenantsPlan struct {
	Count int // zero: the system has no tenants
	Rate  float64
	Burst float64
}

// tenantName names the tenants t1, t2, ...
func tenantName(index int) string { return fmt.Sprintf("t%d", index+1) }

// firstKey is the key that a tenant has from the start.
func firstKey(tenant string) string { return tenant + "-key1" }

// strangerKey is one that no configuration ever holds.
const strangerKey = "stranger-key"

// tenantDesk is what the operators want of tenants now. Each order that is made takes it over as it is.
type tenantDesk struct {
	table []wireTenant
	given map[string][]string // by tenant: all keys that it has ever been given; its clients go on using them
}

func newTenantDesk(plan TenantsPlan) *tenantDesk {
	desk := &tenantDesk{given: map[string][]string{}}
	for index := range plan.Count {
		name := tenantName(index)
		key := firstKey(name)
		desk.table = append(desk.table, wireTenant{Name: name, Keys: []string{key}, RatePerS: plan.Rate, BurstSize: plan.Burst})
		desk.given[name] = []string{key}
	}
	return desk
}

// snapshot shares nothing with the desk.
func (d *tenantDesk) snapshot() []wireTenant {
	table := slices.Clone(d.table)
	for index := range table {
		table[index].Keys = slices.Clone(table[index].Keys)
	}
	return table
}

// take takes a key away from whoever has it.
func (d *tenantDesk) take(key string) {
	for index := range d.table {
		kept := d.table[index].Keys
		d.table[index].Keys = slices.DeleteFunc(slices.Clone(kept), func(other string) bool { return other == key })
	}
}

// give passes a key to a tenant.
func (d *tenantDesk) give(key, tenant string) {
	d.take(key)
	for index := range d.table {
		if d.table[index].Name == tenant {
			d.table[index].Keys = append(d.table[index].Keys, key)
		}
	}
	if !slices.Contains(d.given[tenant], key) {
		d.given[tenant] = append(d.given[tenant], key)
	}
}

func (d *tenantDesk) limit(tenant string, rate, burst float64) {
	for index := range d.table {
		if d.table[index].Name == tenant {
			d.table[index].RatePerS, d.table[index].BurstSize = rate, burst
		}
	}
}

// operation is what counts for a tenant's limit: a statement, or a whole transaction.
type operation struct {
	key     string        // of the client; "": the system has no tenants
	sent    time.Duration // first byte, at the client
	session string        // on which it was sent
	counted bool          // an instance has run something of it
}

// operationOf begins an operation of a tenant's client, with one of the keys that the tenant was ever given.
func (w *World) operationOf(tenant, session string) *operation {
	begun := &operation{sent: w.now(), session: session}
	if keys := w.desk.given[tenant]; len(keys) > 0 {
		begun.key = keys[w.random.IntN(len(keys))]
	}
	return begun
}

// addTenantClients adds, for each tenant, a client that is in a transaction nearly all the time, and one with a key that nobody gave it.
func (w *World) addTenantClients() {
	for index := range w.plan.Tenants.Count {
		one := &transactor{
			world: w, name: fmt.Sprintf("desk%d", index+1), tenant: tenantName(index),
			service: w.services[index%len(w.services)].name, gateway: index,
		}
		w.schedule.after(w.jitter(clientPause), one.next)
	}
	if w.plan.Tenants.Count > 0 {
		w.strangerLoop(0)
	}
}

// tenantOf is the tenant of a client; "": the system has none.
func (w *World) tenantOf(client int) string {
	if w.plan.Tenants.Count == 0 {
		return ""
	}
	return tenantName(client % w.plan.Tenants.Count)
}

// strangerEvery is the pause between statements of the stranger.
const strangerEvery = 150 * time.Millisecond

func (w *World) strangerLoop(turn int) {
	via := w.gateways[turn%len(w.gateways)]
	begun := &operation{key: strangerKey, sent: w.now(), session: fmt.Sprintf("stranger %d", turn)}
	w.askGateway("stranger", via, w.readOf(begun), func(answerKind) {}, func() {})
	w.schedule.after(strangerEvery, func() { w.strangerLoop(turn + 1) })
}

// readOf is a single read of an operation, at the first service.
func (w *World) readOf(begun *operation) *statement {
	return &statement{service: w.services[0].name, sent: w.now(), operation: begun}
}

// pressOn sends reads of a tenant through all gateways, so many a second, until the time given.
func (w *World) pressOn(tenant string, every, until time.Duration) {
	if w.now() >= until {
		return
	}
	w.presses++
	name := fmt.Sprintf("press%d", w.presses%len(w.gateways))
	via := w.gateways[w.presses%len(w.gateways)]
	begun := w.operationOf(tenant, fmt.Sprintf("press %d", w.presses))
	w.askGateway(name, via, w.readOf(begun), func(answerKind) {}, func() {})
	w.schedule.after(every, func() { w.pressOn(tenant, every, until) })
}
