package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/access"
	"eiderway/control/feed"
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
	is.Equal(len(w.first.asked()), 4)
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
