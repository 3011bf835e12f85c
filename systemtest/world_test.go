package systemtest

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderway/system"
	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

const (
	// patience bounds the waits for conditions. It is long because a busy machine may be slow; only a fault uses it up.
	patience       = 30 * time.Second
	poll           = 20 * time.Millisecond
	service        = "orders"
	database       = "shop"
	gatewayCount   = 2
	instanceCount  = 3
	clientCount    = 6
	promoteTime    = 300 * time.Millisecond
	drainTime      = 7 * time.Second       // of an instance; longer than a lease
	orderEvery     = 60 * time.Millisecond // of each operator
	fetchEvery     = 5                     // orders
	orderPatience  = 20 * time.Second      // of an operator for a clear answer
	operatorsCount = 2
)

// world is a system of processes under load, with its database instances and its platform.
type world struct {
	*testing.T
	layout      workload.Layout
	directory   string
	service     *testinstance.Service
	instances   []*testinstance.Instance
	platform    *testinstance.Platform
	controllers []*process
	gateways    []*process
	history     *workload.History
	orders      *workload.Orders
	mayRunLate  func(testinstance.Execution) bool // nil: no execution may run late
	clients     *workload.Clients
	number      atomic.Int64 // of the newest configuration
	links       *links       // nil: processes connect directly
	tenants     tenants      // empty: clients need no keys
	bounds      func(*system.Bounds)
	flags       []string                               // of all processes
	limitBinds  func(acknowledged time.Time) time.Time // nil: a lower limit is not judged
	stopOrders  context.CancelFunc
	operators   sync.WaitGroup
}

// startWorld starts a new system, gives it a configuration, and starts clients and operators.
func startWorld(t *testing.T) *world {
	t.Helper()
	return startWorldWith(t, func(*testinstance.Settings) {})
}

// startWorldWith starts a world after set has changed the settings of its instances.
func startWorldWith(t *testing.T, set func(*testinstance.Settings)) *world {
	t.Helper()
	return startWorldOver(t, set, func(*world) *links { return nil })
}

// startWorldOver starts a world whose processes connect through the relays that over starts.
func startWorldOver(t *testing.T, set func(*testinstance.Settings), over func(*world) *links) *world {
	t.Helper()
	layout, err := workload.NewLayout()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{T: t, layout: layout, directory: t.TempDir(), history: &workload.History{}, orders: &workload.Orders{}}
	w.begin(set, over)
	return w
}

// begin starts the instances, the platform, the processes and the load.
func (w *world) begin(set func(*testinstance.Settings), over func(*world) *links) {
	w.Helper()
	w.startSurroundings(set)
	w.links = over(w)
	for number := range workload.ControllerCount {
		w.controllers = append(w.controllers, newProcess(w.T, w.directory, "controller-"+workload.Zone(number)))
		w.controllers[number].flags = w.flags
		w.startController(number, true)
	}
	for number := range gatewayCount {
		w.gateways = append(w.gateways, newProcess(w.T, w.directory, "gateway-"+workload.Zone(number)))
		w.gateways[number].flags = w.flags
		w.startGateway(number)
	}
	w.startLoad()
}

// startSurroundings starts the instances and the platform.
func (w *world) startSurroundings(set func(*testinstance.Settings)) {
	w.Helper()
	instances := testinstance.DefaultSettings(service, w.controls)
	instances.DrainTime = drainTime
	instances.Linger = time.Second
	instances.CallerOf = w.gatewayOf
	set(&instances)
	w.service = testinstance.NewService(instances)
	w.Cleanup(w.service.Stop)
	for number := range instanceCount {
		started, err := w.service.Start("db-"+workload.Zone(number), w.layout.Instance(number), workload.Zone(number))
		if err != nil {
			w.Fatal(err)
		}
		w.instances = append(w.instances, started)
	}
	platformSettings := testinstance.PlatformSettings{FenceChecked: true, PromoteTime: promoteTime}
	platform, err := testinstance.StartPlatform(w.layout.Platform(), platformSettings, w.service)
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(platform.Stop)
	w.platform = platform
}

// startLoad places a first configuration and starts clients and operators.
func (w *world) startLoad() {
	w.Helper()
	w.placeNext(1)
	for number := range gatewayCount {
		w.await("a gateway is ready", func() bool { return w.isReady(number) })
	}
	w.clients = workload.StartClients(1, clientCount, w.clientSettings())
	ctx, stop := context.WithCancel(context.Background())
	w.stopOrders = stop
	for number := range operatorsCount {
		w.operators.Go(func() { w.keepOrdering(ctx, number+2) })
	}
	w.Cleanup(w.stopLoad)
	w.awaitWrites("at the start")
}

func (w *world) stopLoad() {
	w.stopOrders()
	w.operators.Wait()
	w.clients.Stop()
}

func (w *world) operator() *workload.Operator {
	operator := &workload.Operator{Controllers: w.controls, Orders: w.orders, Service: service, Database: database}
	if w.tenants.are() {
		operator.Tenants = w.tenants.now
	}
	return operator
}

func (w *world) clientSettings() workload.ClientSettings {
	settings := workload.ClientSettings{Database: database, Gateways: w.fronts, History: w.history}
	if w.tenants.are() {
		settings.Key = usualKey
	}
	return settings
}

// gatewayOf returns the name of the gateway that a client's statement was sent through.
func (w *world) gatewayOf(statementID string) (name string, known bool) {
	address, known := w.history.GatewayOf(statementID)
	return gatewayName(slices.Index(w.fronts(), address)), known
}

// keepOrdering places one configuration after another. Two operators may use the same number at times.
func (w *world) keepOrdering(ctx context.Context, name int) {
	operator := w.operator()
	for count := 0; ctx.Err() == nil; count++ {
		number := w.number.Load() + 1
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderPatience)
		operator.Place(limited, number, workload.Content(name, number))
		w.raiseNumber(number)
		if count%fetchEvery == 0 {
			_, _ = operator.Fetch(limited) // the history records the read
		}
		cancel()
		wait(ctx, orderEvery)
	}
}

func (w *world) raiseNumber(number int64) {
	for known := w.number.Load(); known < number && !w.number.CompareAndSwap(known, number); known = w.number.Load() {
	}
}

// placeNext places a configuration of a new number. It fails the test unless the answer is 200, or 409 for a number that an
// operator has taken.
func (w *world) placeNext(name int) workload.Order {
	w.Helper()
	ctx, cancel := context.WithTimeout(w.Context(), patience)
	defer cancel()
	number := w.number.Add(1)
	order := w.operator().Place(ctx, number, workload.Content(name, number))
	if order.Status != http.StatusOK && order.Status != http.StatusConflict {
		w.Fatalf("configuration %d was answered with %d after %d tries", number, order.Status, order.Tries)
	}
	return order
}

func (w *world) dataOf(number int) string {
	return filepath.Join(w.directory, "data-"+workload.Zone(number))
}

func (w *world) startController(number int, firstStart bool) {
	w.Helper()
	if err := os.MkdirAll(w.dataOf(number), 0o700); err != nil {
		w.Fatal(err)
	}
	w.controllers[number].start(w.completeSettings(w.layout.Controller(number, firstStart, w.dataOf(number))))
}

func (w *world) startGateway(number int) {
	w.gateways[number].start(w.completeSettings(w.layout.Gateway(number)))
}

// completeSettings returns the settings of a process with the world's bounds and the routes through the relays.
func (w *world) completeSettings(settings system.Settings) system.Settings {
	if w.bounds != nil {
		w.bounds(&settings.Bounds)
	}
	return w.links.withRoutes(w, settings)
}

func (w *world) controls() []string { return w.layout.Controls(workload.ControllerCount) }

func (w *world) fronts() []string {
	var fronts []string
	for number := range gatewayCount {
		fronts = append(fronts, w.layout.Front(number))
	}
	return fronts
}

func (w *world) isReady(gateway int) bool {
	answer, err := workload.NewHTTPClient(0).Get("http://" + w.layout.Readiness(gateway) + "/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// leader waits until a controller leads, and returns its number.
func (w *world) leader() int {
	w.Helper()
	leader := -1
	w.await("a controller leads", func() bool {
		leader = w.leadingNow()
		return leader >= 0
	})
	return leader
}

// leadingNow returns the number of the controller that leads now, or -1.
func (w *world) leadingNow() int {
	for number := range w.controllers {
		if workload.IsLeading(w.Context(), w.layout.Control(number)) {
			return number
		}
	}
	return -1
}

// await waits until the condition holds; what describes it.
func (w *world) await(what string, holds func() bool) {
	w.Helper()
	for start := time.Now(); !holds(); time.Sleep(poll) {
		if time.Since(start) > patience {
			w.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// awaitWrites waits for two more acknowledged writes per client on average, so that most of them were begun after the call.
func (w *world) awaitWrites(when string) {
	w.Helper()
	before := w.history.Acknowledged()
	w.await("writes are acknowledged "+when, func() bool { return w.history.Acknowledged() >= before+2*clientCount })
}

// awaitOrders waits until a configuration is acknowledged whose number exceeds the newest acknowledged one by two or more.
func (w *world) awaitOrders(when string) {
	w.Helper()
	before := w.orders.NewestAcknowledged()
	w.await("configurations are acknowledged "+when, func() bool { return w.orders.NewestAcknowledged() > before+1 })
}

// awaitNewPrimary waits until an instance other than the old primary leads the service.
func (w *world) awaitNewPrimary(old *testinstance.Instance) {
	w.Helper()
	w.await("another instance leads", func() bool { return w.service.Leader() != old })
}

// conclude ends the load and checks the histories.
func (w *world) conclude() {
	w.Helper()
	for _, one := range append(w.controllers, w.gateways...) {
		if one.hasEnded() {
			w.Errorf("%s ended unexpectedly", one.name)
		}
	}
	w.stopLoad()
	ctx, cancel := context.WithTimeout(w.Context(), patience)
	defer cancel()
	read, err := w.operator().Fetch(ctx)
	if err != nil {
		w.Fatal(err)
	}
	broken := w.orders.Judge(read)
	broken = append(broken, workload.Judge(workload.Evidence{
		Statements: w.history.Statements(),
		Journal:    w.service.Journal(),
		Final:      w.service.Leader().Log(),
		DrainTime:  drainTime,
		MayRunLate: w.mayRunLate,
	})...)
	broken = append(broken, judgeFences(w.platform.Calls())...)
	broken = append(broken, w.brokenInvariants()...)
	broken = append(broken, w.judgeTenants()...)
	if !areLinearizable(w.orders) {
		broken = append(broken, "CONFIG: the orders are not linearizable")
	}
	if len(broken) > 0 {
		w.Errorf("%d rules broken:\n%s", len(broken), strings.Join(broken[:min(len(broken), 20)], "\n"))
	}
	w.Logf("%d statements, %d writes acknowledged (longest wait %v), %d orders, %d reads of the configuration, %d promotes, %d calls to the platform",
		len(w.history.Statements()), w.history.Acknowledged(), slices.Max(w.history.Waits()).Round(time.Millisecond),
		len(w.orders.Completed()), len(w.orders.Fetched()), len(w.service.Journal().Promotions), len(w.platform.Calls()))
}

// wait waits until the duration has passed or the context ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
