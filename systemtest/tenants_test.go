package systemtest

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/system"
	"eiderway/systemtest/workload"
	"eiderway/wire"
)

// openSession opens a session that the test drives, at one gateway.
func (w *world) openSession(number, gateway int, key string) *workload.Session {
	w.Helper()
	settings := w.clientSettings()
	settings.Key = keyed(key)
	var opened *workload.Session
	w.await("a session is opened", func() bool {
		opened = workload.OpenSession(firstDriven+number, w.layout.Front(gateway), settings)
		return opened != nil
	})
	w.Cleanup(opened.Close)
	return opened
}

// awaitRefused waits until new sessions with the key are refused at a gateway.
func (w *world) awaitRefused(number, gateway int, key string) {
	w.Helper()
	settings := w.clientSettings()
	settings.Key = keyed(key)
	before := w.history.AuthFailures(key)
	w.await("the key is refused", func() bool {
		if opened := workload.OpenSession(firstDriven+number, w.layout.Front(gateway), settings); opened != nil {
			opened.Close()
		}
		return w.history.AuthFailures(key) > before
	})
}

// mustBegin opens a transaction with a write.
func mustBegin(is *is.I, session *workload.Session, thing string) {
	is.Helper()
	is.True(session.Begin())
	is.Equal(session.Put(thing, "before").Outcome, workload.Done)
}

// waitUntil sleeps until a moment.
func waitUntil(moment time.Time) { time.Sleep(time.Until(moment)) }

// Guards against a gateway that is frozen inside a client's transaction and goes on with it after the client's key was taken
// away (rule CONFIG).
func TestTenantsRevokedKeyIsUselessAtFrozenGateway(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	w := startWithShortBounds(t, noLinks)
	inside, committing, idle := w.openSession(1, 0, doomedKey), w.openSession(2, 0, doomedKey), w.openSession(3, 0, doomedKey)
	mustBegin(is, inside, "x1")
	mustBegin(is, committing, "x2")
	is.Equal(idle.Put("x3", "before").Outcome, workload.Done)

	w.gateways[0].signal(syscall.SIGSTOP)
	taken := w.change(tenantsWith())
	waitUntil(taken.Answered.Add(runsAfter))
	answers := make(chan workload.Statement, 3)
	go func() { answers <- inside.Put("x1", "after") }()
	go func() { answers <- committing.Commit() }()
	go func() { answers <- idle.Put("x3", "after") }()
	time.Sleep(poll) // the statements are sent before the gateway resumes
	w.gateways[0].signal(syscall.SIGCONT)
	for range cap(answers) {
		is.True((<-answers).Outcome != workload.Done)
	}
	is.Equal(w.executedTexts(firstDriven+1), []string{"PUT x1 before"})
	is.Equal(w.executedTexts(firstDriven+2), []string{"PUT x2 before"})
	is.Equal(w.executedTexts(firstDriven+3), []string{"PUT x3 before"})
	w.awaitRefused(4, 0, doomedKey)
	w.awaitWrites("with the keys that are left")
	w.conclude()
}

// Guards against a gateway that is cut off from the controllers and goes on with transactions, and with its old table, after
// a key was taken away (rule CONFIG).
func TestTenantsRevokedKeyIsUselessAtIsolatedGateway(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	w := startWithShortBounds(t, startLinks)
	inside, committing, idle := w.openSession(1, 0, doomedKey), w.openSession(2, 0, doomedKey), w.openSession(3, 0, doomedKey)
	mustBegin(is, inside, "x1")
	mustBegin(is, committing, "x2")
	is.Equal(idle.Put("x3", "before").Outcome, workload.Done)

	w.cutOff(0, true)
	taken := w.change(tenantsWith())
	waitUntil(taken.Answered.Add(runsAfter))
	is.True(inside.Put("x1", "after").Outcome != workload.Done)
	is.True(committing.Commit().Outcome != workload.Done)
	is.True(idle.Put("x3", "after").Outcome != workload.Done)
	is.Equal(w.executedTexts(firstDriven+1), []string{"PUT x1 before"})
	is.Equal(w.executedTexts(firstDriven+2), []string{"PUT x2 before"})
	is.Equal(w.executedTexts(firstDriven+3), []string{"PUT x3 before"})
	w.awaitRefused(4, 1, doomedKey) // by the gateway that is in contact
	w.cutOff(0, false)
	w.awaitRefused(5, 0, doomedKey)
	w.awaitWrites("with the keys that are left")
	w.conclude()
}

// cutOff cuts a gateway from all controllers, or restores the links.
func (w *world) cutOff(gateway int, isCut bool) {
	for number := range workload.ControllerCount {
		w.links.cut(gatewayName(gateway), controllerName(number), bothWays, isCut)
	}
}

// Guards against a takeover that loses an acknowledged change of keys when the primary that acknowledged it is killed
// (rule CONFIG).
func TestTenantsKeyChangesSurviveLossOfPrimary(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	w := startWithShortBounds(t, noLinks)
	inside := w.openSession(1, 1, doomedKey)
	mustBegin(is, inside, "x1")
	w.awaitMembers()
	killed := w.leader()
	moved := tenantsWith()
	moved[1].Keys = append(moved[1].Keys, doomedKey) // from the farmers to the traders
	taken := w.change(moved)
	w.controllers[killed].kill()
	waitUntil(taken.Answered.Add(runsAfter))
	is.True(inside.Put("x1", "after").Outcome != workload.Done)
	w.awaitServed(2, 0, doomedKey)
	w.awaitServed(3, 1, doomedKey)
	w.startController(killed, false)
	w.awaitOrders("after the primary was killed")
	w.conclude()
}

// awaitServed waits until a write with the key is served at a gateway.
func (w *world) awaitServed(number, gateway int, key string) {
	w.Helper()
	settings := w.clientSettings()
	settings.Key = keyed(key)
	w.await("the key is served", func() bool {
		opened := workload.OpenSession(firstDriven+number, w.layout.Front(gateway), settings)
		if opened == nil {
			return false
		}
		defer opened.Close()
		return opened.Put("y", "mine").Outcome == workload.Done
	})
}

const (
	hotClients = 8
	firstHot   = 100             // the number of the first of them
	hotFor     = 3 * time.Second // before and after the takeover
)

// Guards against a tenant that gets more than its limit over two gateways and across a takeover (rule QUOTA), and against
// clients with a key of no tenant that are served meanwhile (rule ROUTE).
func TestTenantsLimitHoldsAcrossTakeover(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	w := startWithShortBounds(t, noLinks)
	hot := w.clientSettings()
	hot.Key, hot.Eager = keyed(hotKey), true
	strangers := w.clientSettings()
	strangers.Key = keyed(unheldKey)
	crowding := workload.StartClients(firstHot, hotClients, hot)
	strange := workload.StartClients(firstHot+hotClients, 2, strangers)
	time.Sleep(hotFor)
	w.awaitMembers()
	killed := w.leader()
	w.controllers[killed].kill()
	w.await("another controller leads", func() bool { leads := w.leadingNow(); return leads >= 0 && leads != killed })
	w.awaitWrites("after the takeover")
	time.Sleep(hotFor)
	crowding.Stop()
	strange.Stop()
	w.startController(killed, false)
	w.conclude()
	served, refused := w.countOf(hotKey)
	is.True(refused > served)                                     // it asked for far more than its limit
	is.True(float64(served) > crowdRate*(2*hotFor).Seconds()*0.5) // statements; a transaction has several
	is.True(w.history.AuthFailures(unheldKey) > 0)
	t.Logf("the hot tenant: %d statements served, %d refused; strangers refused %d times", served, refused, w.history.AuthFailures(unheldKey))
}

// Guards against a lower limit that does not bind in time (rule QUOTA), and against a higher one that is not granted.
func TestTenantsLimitChangesBindInTime(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	const window = time.Second
	w := startTenants(t, noSettings, noLinks, func(bounds *system.Bounds) {
		shortBounds(bounds)
		bounds.QuotaWindowS = window.Seconds()
	})
	binds := func(acknowledged time.Time) time.Time { return acknowledged.Add(configApply + window) }
	w.limitBinds = binds
	hot := w.clientSettings()
	hot.Key, hot.Eager = keyed(hotKey), true
	crowding := workload.StartClients(firstHot, hotClients, hot)
	time.Sleep(window)
	lower := tenantsWith()
	lower[2].RatePerS, lower[2].BurstSize = crowdRate/4, 0
	lowered := w.change(lower)
	waitUntil(binds(lowered.Answered).Add(2 * window)) // one window more than the check needs
	served, _ := w.countOf(hotKey)
	higher := tenantsWith()
	higher[2].RatePerS = 4 * crowdRate
	raised := w.change(higher)
	waitUntil(binds(raised.Answered))
	crowding.Stop()
	w.conclude()
	afterwards, _ := w.countOf(hotKey)
	is.True(float64(afterwards-served) > 2*crowdRate*window.Seconds()) // statements; far more than the first limit gave
}

// countOf counts the statements with a key that succeeded, and those that were answered BUSY.
func (w *world) countOf(key string) (served, refused int) {
	for _, statement := range w.history.Statements() {
		switch {
		case statement.Key != key:
		case statement.Outcome == workload.Done:
			served++
		case statement.Code == wire.Busy:
			refused++
		}
	}
	return served, refused
}
