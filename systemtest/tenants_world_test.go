package systemtest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderway/system"
	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

// Keys of the world's tenants. They stand nowhere else, so that any line that holds one can be found.
const (
	lastingKey  = "k-lasting-5f27c0"            // of the usual clients
	otherKey    = "k-other-91be3d"              // of the usual clients
	doomedKey   = "k-doomed-c4417a"             // is taken away
	hotKey      = "k-hot-08d9f2"                // of a tenant with a limit
	unheldKey   = "k-unheld-6ab31e"             // is nobody's
	lastNumbers = 1 << 20                       // of clients that tests make by hand
	farmers     = "farmers"                     // a tenant without a limit
	traders     = "traders"                     // another
	crowd       = "crowd"                       // one with a limit
	crowdRate   = 20                            // operations a second
	crowdBurst  = 10                            // operations
	revoke      = 2 * time.Second               // bound of the tenants' worlds
	quotaWindow = 2 * time.Second               // likewise
	quotaSlack  = 5                             // likewise
	configApply = 1500 * time.Millisecond       // likewise
	runsAfter   = revoke + 300*time.Millisecond // past the bound, and before a transaction that rests is ended
)

func allKeys() []string { return []string{lastingKey, otherKey, doomedKey, hotKey, unheldKey} }

// usualKey gives the usual clients keys of two tenants.
func usualKey(client int) string {
	if client%2 == 0 {
		return lastingKey
	}
	return otherKey
}

func keyed(key string) func(int) string { return func(int) string { return key } }

// tenants are those that the next configuration names.
type tenants struct {
	mutex sync.Mutex
	list  []workload.Tenant
}

func (l *tenants) are() bool { return l.now() != nil }

func (l *tenants) now() []workload.Tenant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.list)
}

func (l *tenants) set(list []workload.Tenant) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.list = list
}

// tenantsWith gives the world's tenants, of whom the farmers hold further keys.
func tenantsWith(keys ...string) []workload.Tenant {
	return []workload.Tenant{
		{Name: farmers, Keys: append([]string{lastingKey}, keys...)},
		{Name: traders, Keys: []string{otherKey}},
		{Name: crowd, Keys: []string{hotKey}, RatePerS: crowdRate, BurstSize: crowdBurst},
	}
}

func shortBounds(bounds *system.Bounds) {
	bounds.RevokeStrict = true
	bounds.RevokeMs = float64(revoke.Milliseconds())
	bounds.QuotaWindowS = quotaWindow.Seconds()
	bounds.QuotaSlack = quotaSlack
	bounds.ConfigApplyMs = float64(configApply.Milliseconds())
}

// startTenants starts a world with tenants.
func startTenants(t *testing.T, set func(*testinstance.Settings), over func(*world) *links, bounds func(*system.Bounds), flags ...string) *world {
	t.Helper()
	layout, err := workload.NewLayout()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{T: t, layout: layout, directory: t.TempDir(), history: &workload.History{}, orders: &workload.Orders{}, bounds: bounds, flags: flags}
	w.tenants.set(tenantsWith(doomedKey))
	w.begin(set, over)
	return w
}

// startQuick starts a world with tenants and short bounds.
func startQuick(t *testing.T, over func(*world) *links) *world {
	t.Helper()
	return startTenants(t, noSettings, over, shortBounds)
}

func noSettings(*testinstance.Settings) {}

func noLinks(*world) *links { return nil }

// change has a configuration with these tenants acknowledged, and no other one in force that was sent later.
func (w *world) change(list []workload.Tenant) workload.Order {
	w.Helper()
	w.tenants.set(list)
	for {
		if order := w.placeNext(1); order.Status == http.StatusOK {
			return order
		}
	}
}

// bound is the system's bounds as the processes of this world have them.
func (w *world) bound() system.Bounds {
	bounds := w.layout.Gateway(0).Bounds
	if w.bounds != nil {
		w.bounds(&bounds)
	}
	return bounds
}

// judgeTenants judges what ran as whom, and looks for keys in what processes wrote.
func (w *world) judgeTenants() []string {
	if !w.tenants.are() {
		return nil
	}
	bounds := w.bound()
	broken := workload.JudgeTenants(workload.TenantEvidence{
		Statements: w.history.Statements(),
		Orders:     w.orders.Sent(),
		Journal:    w.service.Journal(),
		Rules: workload.TenantRules{
			Revoke:  bounds.Revoke(),
			Window:  bounds.QuotaRules().Window,
			Overrun: bounds.QuotaRules().Overrun,
			Slack:   bounds.QuotaRules().Slack,
		},
		LimitBinds: w.limitBinds,
	})
	return append(broken, w.keysInLogs()...)
}

// keysInLogs are the lines of all processes that hold a key.
func (w *world) keysInLogs() []string {
	var found []string
	for _, key := range allKeys() {
		for _, line := range w.linesWith(key) {
			found = append(found, "KEY: "+line)
		}
	}
	return found
}

// ranOf are the statements of a client that instances ran, as they were sent.
func (w *world) ranOf(client int) []string {
	var texts []string
	for _, ran := range w.service.Journal().Executions {
		if strings.HasPrefix(ran.ID, fmt.Sprintf("s%d.", client)) {
			texts = append(texts, ran.Text)
		}
	}
	return texts
}
