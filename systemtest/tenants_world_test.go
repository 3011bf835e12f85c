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

// Keys, names and limits of the world's tenants, and bounds. The keys occur nowhere else, so that any output that contains one
// can be found.
const (
	lastingKey  = "k-lasting-5f27c0"            // of the usual clients
	otherKey    = "k-other-91be3d"              // of the usual clients
	doomedKey   = "k-doomed-c4417a"             // of the farmers at first; taken away by tests
	hotKey      = "k-hot-08d9f2"                // of a tenant with a limit
	unheldKey   = "k-unheld-6ab31e"             // of no tenant
	firstDriven = 1 << 20                       // first number of clients whose sessions tests drive
	farmers     = "farmers"                     // a tenant without a limit
	traders     = "traders"                     // another
	crowd       = "crowd"                       // one with a limit
	crowdRate   = 20                            // operations a second
	crowdBurst  = 10                            // operations
	revoke      = 2 * time.Second               // bound in worlds with short bounds
	quotaWindow = 2 * time.Second               // likewise
	quotaSlack  = 5                             // likewise
	configApply = 1500 * time.Millisecond       // likewise
	runsAfter   = revoke + 300*time.Millisecond // past the bound, and before an idle transaction is ended
)

func allKeys() []string { return []string{lastingKey, otherKey, doomedKey, hotKey, unheldKey} }

// usualKey returns the key of a usual client; the clients share the keys of two tenants.
func usualKey(client int) string {
	if client%2 == 0 {
		return lastingKey
	}
	return otherKey
}

func keyed(key string) func(int) string { return func(int) string { return key } }

// tenants holds the tenants of the next configuration.
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

// tenantsWith returns the world's tenants; the farmers hold the given keys in addition.
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

// startWithShortBounds starts a world with tenants and short bounds.
func startWithShortBounds(t *testing.T, over func(*world) *links) *world {
	t.Helper()
	return startTenants(t, noSettings, over, shortBounds)
}

func noSettings(*testinstance.Settings) {}

func noLinks(*world) *links { return nil }

// change sends configurations with these tenants until one is acknowledged, and returns that order. Configurations that
// operators send later have these tenants too.
func (w *world) change(list []workload.Tenant) workload.Order {
	w.Helper()
	w.tenants.set(list)
	for {
		if order := w.placeNext(1); order.Status == http.StatusOK {
			return order
		}
	}
}

// effectiveBounds returns the system's bounds as the processes of this world have them.
func (w *world) effectiveBounds() system.Bounds {
	bounds := w.layout.Gateway(0).Bounds
	if w.bounds != nil {
		w.bounds(&bounds)
	}
	return bounds
}

// judgeTenants checks the rules on tenants, and searches the logs of all processes for keys.
func (w *world) judgeTenants() []string {
	if !w.tenants.are() {
		return nil
	}
	bounds := w.effectiveBounds()
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

// keysInLogs returns the log lines of all processes that contain a key.
func (w *world) keysInLogs() []string {
	var found []string
	for _, key := range allKeys() {
		for _, line := range w.linesWith(key) {
			found = append(found, "KEY: "+line)
		}
	}
	return found
}

// executedTexts returns the texts of the statements of a client that instances ran.
func (w *world) executedTexts(client int) []string {
	var texts []string
	for _, ran := range w.service.Journal().Executions {
		if strings.HasPrefix(ran.ID, fmt.Sprintf("s%d.", client)) {
			texts = append(texts, ran.Text)
		}
	}
	return texts
}
