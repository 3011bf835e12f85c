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

// tenantsOf is a configuration like configurationOf, with tenants as given.
func tenantsOf(number int64, tenants string) []byte {
	plain := string(configurationOf(number, "shop"))
	return []byte(strings.Replace(plain, `"serviceTable"`, `"tenantTable":[`+tenants+`],"serviceTable"`, 1))
}

const (
	bakers   = `{"name":"bakers","apiKeys":["flour","yeast"],"ratePerS":100,"burstSize":100}`
	smiths   = `{"name":"smiths","apiKeys":["anvil"],"ratePerS":100,"burstSize":100}`
	noBakers = `{"name":"bakers","apiKeys":["yeast"],"ratePerS":100,"burstSize":100}`
)

// publishTenants puts a configuration with tenants in force, and waits until the gateway works by it.
func (w *world) publishTenants(sequence uint64, tenants string) {
	w.Helper()
	table := w.table(sequence, "i-1", false)
	table.ConfigurationNumber = int64(sequence) + 100
	table.Configuration = tenantsOf(table.ConfigurationNumber, tenants)
	w.controller.publish(table)
	w.eventually("the tenants are known", func() bool { return w.controller.applied(sequence) })
}

// UNASKED: an instance ran statements for a word that is no tenant of theirs.
func TestInstancesAreToldTheTenantAndNoKey(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.publishTenants(2, bakers+","+smiths)
	w.connect("flour").must("PUT a 1", "COMPLETE stamp / I")
	w.connect("anvil").must("PUT b 2", "COMPLETE stamp / I")
	w.connect("yeast").must("PUT c 3", "COMPLETE stamp / I")
	var told []string
	for _, one := range w.first.asked() {
		told = append(told, one.who)
	}
	is.Equal(told, []string{"bakers", "smiths", "bakers"})
	is.Equal(w.first.dials(), 2) // the bakers' connection is used again
}

// ROUTE: statements of a client ran whose key no configuration had ever held.
func TestUnknownKeysAreTurnedAway(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.publishTenants(2, bakers)
	stranger := w.dial("stranger")
	stranger.send("CONNECT shop flour2")
	line, err := stranger.reader.ReadLine()
	is.NoErr(err)
	is.Equal(line, "ERROR AUTHFAIL")
	is.Equal(stranger.answer(), "end")
	is.Equal(len(w.first.asked()), 0)
}

// CONFIG: statements ran with a key that had been taken away, in sessions that were open.
func TestKeyThatWasTakenAwayIsOfNoUseInOpenSessions(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.publishTenants(2, bakers)
	idle, inside, committing, kept := w.connect("flour"), w.connect("flour"), w.connect("flour"), w.connect("yeast")
	inside.must("BEGIN", "COMPLETE stamp / T")
	committing.must("BEGIN", "COMPLETE stamp / T")
	committing.must("PUT a 1", "COMPLETE stamp / T")

	w.publishTenants(3, noBakers)
	idle.must("FETCH a", "ERROR AUTHFAIL / I")
	inside.must("PUT a 2", "ERROR ROLLEDBACK / E")
	committing.must("COMMIT", "ERROR ROLLEDBACK / I")
	kept.must("PUT b 3", "COMPLETE stamp / I")
	is.Equal(w.first.read("a"), "")
	is.Equal(w.first.read("b"), "3")
}

// CONFIG: a key that a new configuration brought was refused.
func TestKeyThatWasAddedIsServed(t *testing.T) {
	w := startWorld(t)
	w.publishTenants(2, noBakers)
	w.publishTenants(3, bakers)
	w.connect("flour").must("PUT a 1", "COMPLETE stamp / I")
}

// QUOTA: a tenant got more than its limit.
func TestOperationsBeyondTheLimitAreRefusedUnsent(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.publishTenants(2, bakers+","+smiths)
	w.controller.set(func(s *standinController) { s.grants = 2 })
	c := w.connect("flour")
	c.must("PUT a 1", "COMPLETE stamp / I")
	c.must("BEGIN", "COMPLETE stamp / T")
	c.must("PUT a 2", "COMPLETE stamp / T") // a transaction is one operation
	c.must("COMMIT", "COMPLETE stamp / I")
	c.must("PUT a 3", "ERROR BUSY / I")
	c.must("FETCH a", "ERROR BUSY / I")
	w.connect("yeast").must("BEGIN", "ERROR BUSY / I") // another key of the same tenant
	is.Equal(w.figure("operations_over_limit_total"), 3.0)
	is.Equal(len(w.first.asked()), 4)
}

// patientTenants is a configuration with tenants whose statements wait for up to 0.8 s to be offered.
func patientTenants(number int64, tenants string) []byte {
	return []byte(strings.Replace(string(tenantsOf(number, tenants)), `"targetLatencyMs":400`, `"targetLatencyMs":4000`, 1))
}

// QUOTA: a statement that came while the gateway had no lease ran uncounted once the lease was back.
func TestOperationThatWaitedForTheLeaseIsCounted(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	table := w.table(2, "i-1", false)
	table.ConfigurationNumber, table.Configuration = 102, patientTenants(102, bakers)
	w.controller.publish(table)
	w.eventually("the tenants are known", func() bool { return w.controller.applied(2) })
	c := w.connect("flour")
	w.controller.set(func(s *standinController) { s.grants, s.silent = 0, true })
	w.eventually("the lease is over", func() bool { return w.readiness() != http.StatusOK })
	c.start("PUT a 1")
	time.Sleep(50 * time.Millisecond) // the statement is read meanwhile: nothing else shows it
	w.controller.set(func(s *standinController) { s.silent = false })
	is.Equal(c.answer(), "ERROR BUSY / I")
	is.Equal(len(w.first.asked()), 0)
}

// QUOTA: an operation that was counted for one tenant ran for another, to whom its key had been passed on meanwhile.
func TestOperationIsCountedForTheTenantItRunsFor(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	published := func(sequence uint64, frozen bool, tenants string) {
		table := w.table(sequence, "i-1", frozen)
		table.ConfigurationNumber, table.Configuration = int64(100+sequence), patientTenants(int64(100+sequence), tenants)
		w.controller.publish(table)
		w.eventually("the table is known", func() bool { return w.controller.applied(sequence) })
	}
	published(2, true, bakers)
	c := w.connect("flour")
	w.controller.set(func(s *standinController) { s.grants = 1 })
	c.start("PUT a 1")
	w.eventually("the operation is granted", func() bool { return w.controller.left() == 0 })
	published(3, false, `{"name":"smiths","apiKeys":["flour"],"ratePerS":100,"burstSize":100}`)
	is.Equal(c.answer(), "ERROR BUSY / I")
	is.Equal(len(w.first.asked()), 0)
}

// QUOTA: a read that may have run at a replica ran again at another instance, and was counted once.
func TestReadThatIsOfferedElsewhereIsCountedAgain(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	table := w.table(2, "i-1", false)
	table.ConfigurationNumber = 8
	table.Configuration = []byte(strings.Replace(readRoutes, `"serviceTable"`, `"tenantTable":[`+bakers+`],"serviceTable"`, 1))
	w.controller.publish(table)
	w.eventually("the tenants are known", func() bool { return w.controller.applied(2) })
	w.controller.set(func(s *standinController) { s.grants = 2 })
	w.connectTo("shop", "flour").must("FETCH a", `COMPLETE stamp [""] / I`) // the leader names a position
	w.second.on(func(wire.Statement) mishap { return cutAfter })
	w.connectTo("browse", "flour").must("FETCH x", "ERROR BUSY / I")
	is.Equal(len(w.second.asked()), 1)
	is.Equal(len(w.first.asked()), 1)
}

// QUOTA: a statement whose instance had begun it, and said that nothing of it is kept, was taken for one that never ran.
func TestOnlyWhatAnInstanceDidNotRunIsSentAgainUncounted(t *testing.T) {
	is := is.New(t)
	for _, code := range []wire.Code{wire.Busy, wire.Lagging, wire.ReadOnly, wire.WrongNode, wire.ConnLimit, wire.NoStmt} {
		is.True(wasNotRun(session.Outcome{Kind: session.Answered, Answer: wire.Refusal(code, "", wire.Idle)})) // each of them
	}
	for _, code := range []wire.Code{wire.RolledBack, wire.ExecFail, wire.Timeout, wire.InDoubt, ""} {
		is.True(!wasNotRun(session.Outcome{Kind: session.Answered, Answer: wire.Refusal(code, "", wire.Idle)})) // none of them
	}
	is.True(wasNotRun(notRun("a reason")))
	is.True(!wasNotRun(session.Outcome{Kind: session.Lost}))
}

func TestRouteWithoutAuthenticationTakesAnyWord(t *testing.T) {
	w := startWorld(t)
	table := w.table(2, "i-1", false)
	table.ConfigurationNumber = 102
	table.Configuration = []byte(strings.Replace(string(tenantsOf(102, bakers)), `"pathPrefix"`, `"noAuth":true,"pathPrefix"`, 1))
	w.controller.publish(table)
	w.eventually("the tenants are known", func() bool { return w.controller.applied(2) })
	w.connect("anybody").must("PUT a 1", "COMPLETE stamp / I")
}

// CONFIG: a gateway that was cut off went on running the statements of transactions whose key had been taken away meanwhile.
func TestKeysAreNotTrustedForLongWithoutNews(t *testing.T) {
	is := is.New(t)
	held := newDirectory()
	held.keys.Lasting = 4 * time.Second
	table := tableOf(1, "i-1", false)
	table.Configuration = tenantsOf(7, bakers)
	_, err := held.take(0, 0, feed.WatchAnswer{Table: table, Lease: 3 * time.Second})
	is.NoErr(err)
	found, why := held.placeFor(time.Second, "shop", access.NewKey("flour"))
	is.Equal(why, placed)
	is.Equal(found.tenant, "bakers")
	is.True(held.stillAdmits(4*time.Second-1, found))
	is.True(!held.stillAdmits(4*time.Second, found))
	held.keys.Lasting = 0 // where keys bind only machines that are in touch
	is.True(held.stillAdmits(time.Hour, found))
	_, why = held.placeFor(time.Second, "shop", access.NewKey("stranger"))
	is.Equal(why, unknownKey)
	is.Equal(wire.AuthFail.Promise(), false)
}

// ROUTE: sessions with keys that nobody holds stayed open once a statement of theirs had been refused.
func TestRefusedKeyLeavesNothingBehind(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.publishTenants(2, bakers)
	idle, inside, kept := w.connect("flour"), w.connect("flour"), w.connect("yeast")
	inside.must("BEGIN", "COMPLETE stamp / T")
	inside.must("PUT a 1", "COMPLETE stamp / T")
	w.publishTenants(3, noBakers)
	idle.must("FETCH a", "ERROR AUTHFAIL / I")
	idle.gets("end")
	inside.must("PUT a 2", "ERROR ROLLEDBACK / E")
	is.Equal(w.figure("flights"), 0.0)
	inside.must("ABORT", "COMPLETE - / I")
	inside.must("BEGIN", "ERROR AUTHFAIL / I")
	inside.gets("end")
	w.eventually("their sessions are gone", func() bool { return w.figure("sessions") == 1 })
	kept.must("PUT b 3", "COMPLETE stamp / I")
	is.Equal(w.first.dials(), 1) // the connection of the refused ones is lent again
	is.Equal(w.first.read("a"), "")
}

// ROUTE: a client without a key that came while no configuration was known, or no lease held, was let through to an instance.
func TestStrangerWhoCameEarlyIsRefusedAtTheFirstStatement(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	early := w.connect("stranger") // under a configuration without tenants
	w.publishTenants(2, bakers)
	w.controller.set(func(s *standinController) { s.silent = true })
	w.eventually("the lease is lost", func() bool { return w.figure("lease_left_seconds") < 0 })
	late := w.connect("stranger")
	late.must("FETCH a", "ERROR BUSY / I")
	late.start("PUT a 1")
	w.controller.set(func(s *standinController) { s.silent = false })
	w.eventually("the lease is back", func() bool { return w.figure("lease_left_seconds") > 0 })
	_ = late.answer() // BUSY, or AUTHFAIL if the lease came back in time
	early.must("PUT a 2", "ERROR AUTHFAIL / I")
	is.Equal(len(w.first.asked()), 0)
}

// ROUTE: a statement that waited while its route began to ask for keys, or to lead elsewhere, was sent as the old route had it.
func TestWaitingStatementIsSentByTheNewestRoute(t *testing.T) {
	for name, change := range map[string][2]string{
		"keys are needed now":     {`"noAuth":true,`, ``},
		"another service":         {`"targetService":"orders"`, `"targetService":"other"`},
		"the database is dropped": {`"host":"shop"`, `"host":"shed"`},
		"nothing":                 {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			held := newDirectory()
			table := tableOf(1, "i-1", false)
			plain := strings.Replace(string(tenantsOf(7, bakers)), `"pathPrefix"`, `"noAuth":true,"pathPrefix"`, 1)
			table.Configuration = []byte(strings.Replace(plain, `"serviceTable":[`, `"serviceTable":[{"name":"other"},`, 1))
			_, err := held.take(0, 0, feed.WatchAnswer{Table: table, Lease: 3 * time.Second})
			is.NoErr(err)
			found, why := held.placeFor(time.Second, "shop", access.NewKey("stranger"))
			is.Equal(why, placed)
			next := tableOf(2, "i-1", false)
			next.ConfigurationNumber = 8
			body := strings.Replace(string(table.Configuration), `"configRevision":7`, `"configRevision":8`, 1)
			next.Configuration = []byte(strings.Replace(body, change[0], change[1], 1))
			_, err = held.take(time.Second, time.Second, feed.WatchAnswer{Table: next, Lease: 3 * time.Second})
			is.NoErr(err)
			is.Equal(held.mayBegin(time.Second, found), name == "nothing")
			is.True(held.mayOpen(time.Second, found)) // a transaction that has begun goes on
		})
	}
}

// ROUTE: words that are nearly a key must not do.
func TestOnlyTheVeryKeyIsKnown(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.publishTenants(2, bakers)
	for _, line := range []string{
		"CONNECT shop Flour", "CONNECT shop flour\t", "CONNECT shop flou", "CONNECT shop flourflour", "CONNECT shop bakers", "CONNECT shop edge-1",
		"CONNECT shop flour\x00", "CONNECT shop -", "CONNECT shop " + strings.Repeat("flour", 100_000),
		"CONNECT shop flour i-1", "CONNECT shop flour ", "CONNECT shop  flour", "CONNECT shop", "CONNECT shop flour flour",
		"CONNECT shop " + strings.Repeat("f", 1<<20),
	} {
		one := w.dial("stranger")
		one.send(line)
		answer, _ := one.reader.ReadLine()
		is.True(answer == "ERROR AUTHFAIL" || answer == "ERROR MALFORMED" || answer == "") // "": reset while the line was too long
		one.gets("end")
	}
	w.connect("flour").must("PUT a 1", "COMPLETE stamp / I")
	is.Equal(len(w.first.asked()), 1)
}

// ROUTE: an address that another instance, or another service, uses again must run nothing of the one that had it before.
func TestAddressThatIsUsedAgainRunsNothing(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.publishTenants(2, bakers)
	c := w.connect("flour")
	c.must("PUT a 1", "COMPLETE stamp / I")
	gone := w.table(3, "i-9", false)
	gone.ConfigurationNumber, gone.Configuration = 103, tenantsOf(103, bakers)
	gone.Services[0].Instances = []feed.Instance{instance("i-9", w.first.address())} // where i-1 listens
	w.controller.publish(gone)
	w.eventually("the table is known", func() bool { return w.controller.applied(3) })
	c.must("PUT a 2", "ERROR BUSY / I")
	other := w.table(4, "i-1", false)
	other.ConfigurationNumber = 104
	other.Configuration = []byte(strings.ReplaceAll(string(tenantsOf(104, bakers)), "orders", "others"))
	other.Services[0].Name = "others" // i-1 is of the service orders
	w.controller.publish(other)
	w.eventually("the table is known", func() bool { return w.controller.applied(4) })
	c.must("PUT a 3", "ERROR BUSY / I")
	is.Equal(len(w.first.asked()), 1)
}

// CONFIG, UNASKED: the ABORT of a client reached an instance, with the client's id and under its former tenant, after its key had been taken away.
func TestAbortWithKeyThatWasTakenAwayReachesNoInstance(t *testing.T) {
	is := is.New(t)
	w := startWorld(t)
	w.publishTenants(2, bakers)
	leaving := w.connect("flour")
	leaving.must("BEGIN", "COMPLETE stamp / T")
	leaving.must("PUT a 1", "COMPLETE stamp / T")
	w.publishTenants(3, noBakers)
	leaving.ask("ABORT")
	for _, text := range w.first.texts() {
		is.True(!strings.HasSuffix(text, " ABORT") || strings.HasPrefix(text, "- "))
	}
}
