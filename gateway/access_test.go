package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/access"
	"eiderway/control/feed"
	"eiderway/session"
	"eiderway/wire"
)

// newTenantConfiguration returns the configuration of newConfiguration with the given tenants.
func newTenantConfiguration(number int64, tenants string) []byte {
	plain := string(newConfiguration(number, "shop"))
	return []byte(strings.Replace(plain, `"serviceTable"`, `"tenantTable":[`+tenants+`],"serviceTable"`, 1))
}

const (
	bakers   = `{"name":"bakers","apiKeys":["flour","yeast"],"ratePerS":100,"burstSize":100}`
	smiths   = `{"name":"smiths","apiKeys":["anvil"],"ratePerS":100,"burstSize":100}`
	noBakers = `{"name":"bakers","apiKeys":["yeast"],"ratePerS":100,"burstSize":100}`
)

// publishTenants publishes a configuration with tenants and waits until the gateway has applied it.
func (e *testEnv) publishTenants(sequence uint64, tenants string) {
	e.Helper()
	table := e.table(sequence, "i-1", false)
	table.ConfigurationNumber = int64(sequence) + 100
	table.Configuration = newTenantConfiguration(table.ConfigurationNumber, tenants)
	e.controller.publish(table)
	e.eventually("the tenants are known", func() bool { return e.controller.hasApplied(sequence) })
}

// UNASKED: an instance must run statements under the name of their tenant, never under a client's key.
func TestInstancesReceiveTheTenantAndNoKey(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.publishTenants(2, bakers+","+smiths)
	env.connect("flour").expect("PUT a 1", "COMPLETE stamp / I")
	env.connect("anvil").expect("PUT b 2", "COMPLETE stamp / I")
	env.connect("yeast").expect("PUT c 3", "COMPLETE stamp / I")
	var told []string
	for _, statement := range env.first.clientStatements() {
		told = append(told, statement.user)
	}
	is.Equal(told, []string{"bakers", "smiths", "bakers"})
	is.Equal(env.first.dials(), 2) // the bakers' connection is reused
}

// ROUTE: a client whose key is in no configuration must not get a statement run.
func TestUnknownKeyIsRefused(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.publishTenants(2, bakers)
	stranger := env.dial("stranger")
	stranger.send("CONNECT shop flour2")
	line, err := stranger.reader.ReadLine()
	is.NoErr(err)
	is.Equal(line, "ERROR AUTHFAIL")
	is.Equal(stranger.answer(), "end")
	is.Equal(len(env.first.clientStatements()), 0)
}

// CONFIG: statements ran with a removed key in sessions that were open.
func TestRemovedKeyIsRefusedInOpenSessions(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.publishTenants(2, bakers)
	idle, inside, committing, kept := env.connect("flour"), env.connect("flour"), env.connect("flour"), env.connect("yeast")
	inside.expect("BEGIN", "COMPLETE stamp / T")
	committing.expect("BEGIN", "COMPLETE stamp / T")
	committing.expect("PUT a 1", "COMPLETE stamp / T")

	env.publishTenants(3, noBakers)
	idle.expect("FETCH a", "ERROR AUTHFAIL / I")
	inside.expect("PUT a 2", "ERROR ROLLEDBACK / E")
	committing.expect("COMMIT", "ERROR ROLLEDBACK / I")
	kept.expect("PUT b 3", "COMPLETE stamp / I")
	is.Equal(env.first.read("a"), "")
	is.Equal(env.first.read("b"), "3")
}

// CONFIG: a key that a new configuration added was refused.
func TestAddedKeyIsAccepted(t *testing.T) {
	env := startEnv(t)
	env.publishTenants(2, noBakers)
	env.publishTenants(3, bakers)
	env.connect("flour").expect("PUT a 1", "COMPLETE stamp / I")
}

// QUOTA: a tenant got more operations than its limit.
func TestOperationsBeyondTheLimitAreRefusedUnsent(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.publishTenants(2, bakers+","+smiths)
	env.controller.change(func(s *fakeController) { s.operationsLeft = 2 })
	c := env.connect("flour")
	c.expect("PUT a 1", "COMPLETE stamp / I")
	c.expect("BEGIN", "COMPLETE stamp / T")
	c.expect("PUT a 2", "COMPLETE stamp / T") // a transaction is one operation
	c.expect("COMMIT", "COMPLETE stamp / I")
	c.expect("PUT a 3", "ERROR BUSY / I")
	c.expect("FETCH a", "ERROR BUSY / I")
	env.connect("yeast").expect("BEGIN", "ERROR BUSY / I") // another key of the same tenant
	is.Equal(env.figure("operations_over_limit_total"), 3.0)
	is.Equal(len(env.first.clientStatements()), 4)
}

// newPatientConfiguration is a configuration with tenants whose statements wait for up to 0.8 s to be offered to an
// instance.
func newPatientConfiguration(number int64, tenants string) []byte {
	return []byte(strings.Replace(string(newTenantConfiguration(number, tenants)), `"targetLatencyMs":400`, `"targetLatencyMs":4000`, 1))
}

// QUOTA: a statement that arrived while the gateway had no lease ran uncounted once the lease was back.
func TestOperationThatWaitedForTheLeaseIsCounted(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	table := env.table(2, "i-1", false)
	table.ConfigurationNumber, table.Configuration = 102, newPatientConfiguration(102, bakers)
	env.controller.publish(table)
	env.eventually("the tenants are known", func() bool { return env.controller.hasApplied(2) })
	c := env.connect("flour")
	env.controller.change(func(s *fakeController) { s.operationsLeft, s.isSilent = 0, true })
	env.eventually("the lease is over", func() bool { return env.readiness() != http.StatusOK })
	c.start("PUT a 1")
	time.Sleep(50 * time.Millisecond) // the statement is read meanwhile; nothing observable shows that
	env.controller.change(func(s *fakeController) { s.isSilent = false })
	is.Equal(c.answer(), "ERROR BUSY / I")
	is.Equal(len(env.first.clientStatements()), 0)
}

// QUOTA: an operation that was counted for one tenant ran for another, since its key had moved to that one meanwhile.
func TestOperationIsCountedForTheTenantItRunsFor(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	publish := func(sequence uint64, frozen bool, tenants string) {
		table := env.table(sequence, "i-1", frozen)
		table.ConfigurationNumber, table.Configuration = int64(100+sequence), newPatientConfiguration(int64(100+sequence), tenants)
		env.controller.publish(table)
		env.eventually("the table is known", func() bool { return env.controller.hasApplied(sequence) })
	}
	publish(2, true, bakers)
	c := env.connect("flour")
	env.controller.change(func(s *fakeController) { s.operationsLeft = 1 })
	c.start("PUT a 1")
	env.eventually("the operation is granted", func() bool { return env.controller.remainingOperations() == 0 })
	publish(3, false, `{"name":"smiths","apiKeys":["flour"],"ratePerS":100,"burstSize":100}`)
	is.Equal(c.answer(), "ERROR BUSY / I")
	is.Equal(len(env.first.clientStatements()), 0)
}

// QUOTA: a read that may have run at a replica ran again at another instance, and was counted only once.
func TestReadRetriedElsewhereIsCountedAgain(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	table := env.table(2, "i-1", false)
	table.ConfigurationNumber = 8
	table.Configuration = []byte(strings.Replace(readRoutes, `"serviceTable"`, `"tenantTable":[`+bakers+`],"serviceTable"`, 1))
	env.controller.publish(table)
	env.eventually("the tenants are known", func() bool { return env.controller.hasApplied(2) })
	env.controller.change(func(s *fakeController) { s.operationsLeft = 2 })
	env.connectTo("shop", "flour").expect("FETCH a", `COMPLETE stamp [""] / I`) // the leader names a position
	env.second.setIntercept(func(wire.Statement) fault { return cutAfter })
	env.connectTo("browse", "flour").expect("FETCH x", "ERROR BUSY / I")
	is.Equal(len(env.second.clientStatements()), 1)
	is.Equal(len(env.first.clientStatements()), 1)
}

// QUOTA: a statement that an instance had begun, but of which it kept nothing, was treated as one that was never run.
func TestOnlyStatementsThatWereNotRunAreRetriedUncounted(t *testing.T) {
	is := is.New(t)
	for _, code := range []wire.Code{wire.Busy, wire.Lagging, wire.ReadOnly, wire.WrongNode, wire.ConnLimit, wire.NoStmt} {
		is.True(wasNotRun(session.Outcome{Kind: session.Answered, Answer: wire.Refusal(code, "", wire.Idle)})) // not run
	}
	for _, code := range []wire.Code{wire.RolledBack, wire.ExecFail, wire.Timeout, wire.InDoubt, ""} {
		is.True(!wasNotRun(session.Outcome{Kind: session.Answered, Answer: wire.Refusal(code, "", wire.Idle)})) // possibly run
	}
	is.True(wasNotRun(notRun("a reason")))
	is.True(!wasNotRun(session.Outcome{Kind: session.Lost}))
}

func TestRouteWithoutAuthenticationAcceptsAnyKey(t *testing.T) {
	env := startEnv(t)
	table := env.table(2, "i-1", false)
	table.ConfigurationNumber = 102
	table.Configuration = []byte(strings.Replace(string(newTenantConfiguration(102, bakers)), `"pathPrefix"`, `"noAuth":true,"pathPrefix"`, 1))
	env.controller.publish(table)
	env.eventually("the tenants are known", func() bool { return env.controller.hasApplied(2) })
	env.connect("anybody").expect("PUT a 1", "COMPLETE stamp / I")
}

// CONFIG: a gateway without contact to the controllers kept running the statements of transactions whose key had been
// removed meanwhile.
func TestKeysExpireWithoutContactToControllers(t *testing.T) {
	is := is.New(t)
	directory := newDirectory()
	directory.keys.Duration = 4 * time.Second
	table := newTable(1, "i-1", false)
	table.Configuration = newTenantConfiguration(7, bakers)
	_, err := directory.apply(0, 0, feed.WatchAnswer{Table: table, Lease: 3 * time.Second})
	is.NoErr(err)
	placement, reason := directory.placeForKey(time.Second, "shop", access.NewKey("flour"))
	is.Equal(reason, notRefused)
	is.Equal(placement.tenant, "bakers")
	is.True(directory.stillAdmits(4*time.Second-1, placement))
	is.True(!directory.stillAdmits(4*time.Second, placement))
	directory.keys.Duration = 0 // removed keys are refused only where the controllers are in contact
	is.True(directory.stillAdmits(time.Hour, placement))
	_, reason = directory.placeForKey(time.Second, "shop", access.NewKey("stranger"))
	is.Equal(reason, keyRejected)
	is.Equal(wire.AuthFail.PromisesNoEffect(), false)
}

// ROUTE: sessions stayed open after a statement of theirs had been refused because of its unknown key.
func TestRefusedKeyEndsItsSessionsAndFlights(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.publishTenants(2, bakers)
	idle, inside, kept := env.connect("flour"), env.connect("flour"), env.connect("yeast")
	inside.expect("BEGIN", "COMPLETE stamp / T")
	inside.expect("PUT a 1", "COMPLETE stamp / T")
	env.publishTenants(3, noBakers)
	idle.expect("FETCH a", "ERROR AUTHFAIL / I")
	idle.expectAnswer("end")
	inside.expect("PUT a 2", "ERROR ROLLEDBACK / E")
	is.Equal(env.figure("flights"), 0.0)
	inside.expect("ABORT", "COMPLETE - / I")
	inside.expect("BEGIN", "ERROR AUTHFAIL / I")
	inside.expectAnswer("end")
	env.eventually("their sessions are gone", func() bool { return env.figure("sessions") == 1 })
	kept.expect("PUT b 3", "COMPLETE stamp / I")
	is.Equal(env.first.dials(), 1) // the connection of the refused sessions is reused
	is.Equal(env.first.read("a"), "")
}

// ROUTE: a client without a key that connected while no configuration was known, or no lease held, got a statement
// through to an instance.
func TestUnknownKeyThatConnectedEarlyIsRefusedAtTheFirstStatement(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	early := env.connect("stranger") // under a configuration without tenants
	env.publishTenants(2, bakers)
	env.controller.change(func(s *fakeController) { s.isSilent = true })
	env.eventually("the lease is lost", func() bool { return env.figure("lease_left_seconds") < 0 })
	late := env.connect("stranger")
	late.expect("FETCH a", "ERROR BUSY / I")
	late.start("PUT a 1")
	env.controller.change(func(s *fakeController) { s.isSilent = false })
	env.eventually("the lease is back", func() bool { return env.figure("lease_left_seconds") > 0 })
	_ = late.answer() // BUSY, or AUTHFAIL if the lease came back in time
	early.expect("PUT a 2", "ERROR AUTHFAIL / I")
	is.Equal(len(env.first.clientStatements()), 0)
}

// ROUTE: a statement that waited while its route began to require keys, or got another target, was sent by the old
// route.
func TestWaitingStatementFollowsTheNewestRoute(t *testing.T) {
	for name, change := range map[string][2]string{
		"keys are needed now":     {`"noAuth":true,`, ``},
		"another service":         {`"targetService":"orders"`, `"targetService":"other"`},
		"the database is dropped": {`"host":"shop"`, `"host":"shed"`},
		"nothing":                 {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			directory := newDirectory()
			table := newTable(1, "i-1", false)
			plain := strings.Replace(string(newTenantConfiguration(7, bakers)), `"pathPrefix"`, `"noAuth":true,"pathPrefix"`, 1)
			table.Configuration = []byte(strings.Replace(plain, `"serviceTable":[`, `"serviceTable":[{"name":"other"},`, 1))
			_, err := directory.apply(0, 0, feed.WatchAnswer{Table: table, Lease: 3 * time.Second})
			is.NoErr(err)
			placement, reason := directory.placeForKey(time.Second, "shop", access.NewKey("stranger"))
			is.Equal(reason, notRefused)
			next := newTable(2, "i-1", false)
			next.ConfigurationNumber = 8
			body := strings.Replace(string(table.Configuration), `"configRevision":7`, `"configRevision":8`, 1)
			next.Configuration = []byte(strings.Replace(body, change[0], change[1], 1))
			_, err = directory.apply(time.Second, time.Second, feed.WatchAnswer{Table: next, Lease: 3 * time.Second})
			is.NoErr(err)
			is.Equal(directory.mayBegin(time.Second, placement), name == "nothing")
			is.True(directory.mayOpen(time.Second, placement)) // a transaction that has begun continues
		})
	}
}

// ROUTE: a word that is almost a key must not be accepted.
func TestOnlyTheExactKeyIsAccepted(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.publishTenants(2, bakers)
	for _, line := range []string{
		"CONNECT shop Flour", "CONNECT shop flour\t", "CONNECT shop flou", "CONNECT shop flourflour", "CONNECT shop bakers", "CONNECT shop edge-1",
		"CONNECT shop flour\x00", "CONNECT shop -", "CONNECT shop " + strings.Repeat("flour", 100_000),
		"CONNECT shop flour i-1", "CONNECT shop flour ", "CONNECT shop  flour", "CONNECT shop", "CONNECT shop flour flour",
		"CONNECT shop " + strings.Repeat("f", 1<<20),
	} {
		client := env.dial("stranger")
		client.send(line)
		answer, _ := client.reader.ReadLine()
		// "": the connection was reset while the long line was being sent
		is.True(answer == "ERROR AUTHFAIL" || answer == "ERROR MALFORMED" || answer == "")
		client.expectAnswer("end")
	}
	env.connect("flour").expect("PUT a 1", "COMPLETE stamp / I")
	is.Equal(len(env.first.clientStatements()), 1)
}

// ROUTE: an address that another instance or service reuses must not run statements meant for its former owner.
func TestReusedAddressRunsNothing(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.publishTenants(2, bakers)
	c := env.connect("flour")
	c.expect("PUT a 1", "COMPLETE stamp / I")
	gone := env.table(3, "i-9", false)
	gone.ConfigurationNumber, gone.Configuration = 103, newTenantConfiguration(103, bakers)
	gone.Services[0].Instances = []feed.Instance{newInstance("i-9", env.first.address())} // at the address of i-1
	env.controller.publish(gone)
	env.eventually("the table is known", func() bool { return env.controller.hasApplied(3) })
	c.expect("PUT a 2", "ERROR BUSY / I")
	other := env.table(4, "i-1", false)
	other.ConfigurationNumber = 104
	other.Configuration = []byte(strings.ReplaceAll(string(newTenantConfiguration(104, bakers)), "orders", "others"))
	other.Services[0].Name = "others" // i-1 belongs to the service orders
	env.controller.publish(other)
	env.eventually("the table is known", func() bool { return env.controller.hasApplied(4) })
	c.expect("PUT a 3", "ERROR BUSY / I")
	is.Equal(len(env.first.clientStatements()), 1)
}

// CONFIG, UNASKED: after its key had been removed, a client's ABORT reached an instance with the client's ID and under
// its former tenant.
func TestAbortWithRemovedKeyReachesNoInstance(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	env.publishTenants(2, bakers)
	leaving := env.connect("flour")
	leaving.expect("BEGIN", "COMPLETE stamp / T")
	leaving.expect("PUT a 1", "COMPLETE stamp / T")
	env.publishTenants(3, noBakers)
	leaving.ask("ABORT")
	for _, text := range env.first.texts() {
		is.True(!strings.HasSuffix(text, " ABORT") || strings.HasPrefix(text, "- "))
	}
}
