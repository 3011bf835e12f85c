package gateway

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/wire"
)

// tenantOfKey is whose the keys of the tests are, which name the clients too.
var tenantOfKey = map[string]string{"flour": "bakers", "yeast": "bakers", "anvil": "smiths"}

// eachUnderItsTenant checks that each client's statements ran under the name of its tenant, with its own values only: it sets "owner" to
// its key, or nothing.
func (w *world) eachUnderItsTenant() {
	w.Helper()
	for _, one := range w.first.asked() {
		key := strings.TrimRight(one.id, "0123456789")
		if one.who != tenantOfKey[key] {
			w.Fatalf("%s of %s ran for %s", one.text, key, one.who)
		}
		if owner, set := one.values["owner"]; set && owner != key {
			w.Fatalf("%s of %s ran with the values of %s", one.text, key, owner)
		}
	}
}

// ranOf is the last statement of the client with this text.
func (w *world) ranOf(key, text string) ran {
	w.Helper()
	asked := w.first.asked()
	for place := len(asked) - 1; place >= 0; place-- {
		if strings.HasPrefix(asked[place].id, key) && asked[place].text == text {
			return asked[place]
		}
	}
	w.Fatalf("%s of %s did not run", text, key)
	return ran{}
}

// startTenants starts a world with two tenants, whose statements may take as long as given.
func startTenants(t *testing.T, timeout string) (w *world, flour, yeast, anvil *tenant) {
	t.Helper()
	w = startWorld(t)
	table := w.table(2, "i-1", false)
	table.ConfigurationNumber = 102
	table.Configuration = []byte(strings.Replace(string(tenantsOf(102, bakers+","+smiths)), `"timeoutMs":3000`, `"timeoutMs":`+timeout, 1))
	w.controller.publish(table)
	w.eventually("the tenants are known", func() bool { return w.controller.applied(2) })
	return w, w.connect("flour"), w.connect("yeast"), w.connect("anvil")
}

// UNASKED, PINNED: a value or a prepared name of one tenant's session reached another's.
func TestValuesAndNamesStayWithTheirTenant(t *testing.T) {
	is := is.New(t)
	w, flour, yeast, anvil := startTenants(t, "3000")
	for range 3 {
		flour.must("SETOPT owner flour", "COMPLETE - / I")
		flour.must("PREPARE p PUT cake", "COMPLETE - / I")
		flour.must("EXECUTE p a 1", "COMPLETE stamp / I")
		anvil.must("EXECUTE p a 2", "ERROR NOSTMT / I")
		anvil.must("FETCH a", `COMPLETE stamp ["1"] / I`)
		anvil.must("PREPARE p FETCH nail", "COMPLETE - / I")
		anvil.must("EXECUTE p a", `COMPLETE stamp ["1"] / I`)
		yeast.must("FETCH a", `COMPLETE stamp ["1"] / I`)
		yeast.must("EXECUTE p a", "ERROR NOSTMT / I")
		anvil.must("RELEASE p", "COMPLETE - / I")
	}
	w.eachUnderItsTenant()
	is.Equal(w.ranOf("anvil", "EXECUTE fnail a").shape, "nail")
	is.Equal(w.ranOf("yeast", "FETCH a").values, map[string]string{})
	is.Equal(w.first.dials(), 2) // each tenant's sessions share one
}

// UNASKED, PINNED: a statement ran inside another tenant's transaction, one that was open, left or rolled back.
func TestTransactionsStayWithTheirTenant(t *testing.T) {
	is := is.New(t)
	w, flour, yeast, anvil := startTenants(t, "3000")
	flour.must("BEGIN", "COMPLETE stamp / T")
	flour.must("SETOPT owner flour", "COMPLETE - / T")
	flour.must("PUT a 1", "COMPLETE stamp / T")
	anvil.must("PUT b 2", "COMPLETE stamp / I")
	yeast.must("PUT c 3", "COMPLETE stamp / I")
	is.True(!w.ranOf("anvil", "PUT b 2").inside)
	is.True(!w.ranOf("yeast", "PUT c 3").inside)

	flour.must("ABORT", "COMPLETE stamp / I")
	anvil.must("FETCH a", `COMPLETE stamp [""] / I`)
	yeast.must("FETCH a", `COMPLETE stamp [""] / I`)
	flour.must("BEGIN", "COMPLETE stamp / T")
	flour.must("PUT a 4", "COMPLETE stamp / T")
	flour.network.Close()
	w.eventually("the transaction that was left is rolled back", func() bool {
		texts := w.first.texts()
		return texts[len(texts)-1] == "- ABORT"
	})
	anvil.must("PUT d 5", "COMPLETE stamp / I")
	yeast.must("PUT e 6", "COMPLETE stamp / I")
	is.True(!w.ranOf("anvil", "PUT d 5").inside)
	is.True(!w.ranOf("yeast", "PUT e 6").inside)
	is.Equal(w.first.read("a"), "")
	w.eachUnderItsTenant()
}

// UNASKED, MIXED: the late answer to a statement that had timed out reached another session.
func TestLateAnswerReachesNobodyElse(t *testing.T) {
	is := is.New(t)
	w, flour, yeast, anvil := startTenants(t, "150")
	keeping := hold(t, wire.Put)
	w.first.on(keeping.meet)
	flour.must("PUT a 1", "ERROR TIMEOUT / I")
	keeping.release()
	w.first.on(nil)
	w.eventually("the statement has run late", func() bool { return w.first.read("a") == "1" })
	yeast.must("FETCH b", `COMPLETE stamp [""] / I`)
	anvil.must("FETCH b", `COMPLETE stamp [""] / I`)
	flour.must("FETCH a", `COMPLETE stamp ["1"] / I`)
	is.True(w.ranOf("yeast", "FETCH b").connection != w.ranOf("flour", "PUT a 1").connection)
	w.eachUnderItsTenant()
}

// UNASKED: statements ran under the name of the tenant that had held the key before.
func TestKeyThatMovedRunsUnderItsNewTenant(t *testing.T) {
	is := is.New(t)
	w, flour, _, anvil := startTenants(t, "3000")
	flour.must("PUT a 1", "COMPLETE stamp / I")
	open := w.connect("flour")
	open.must("BEGIN", "COMPLETE stamp / T")
	w.publishTenants(3, noBakers+`,{"name":"smiths","apiKeys":["anvil","flour"],"ratePerS":100,"burstSize":100}`)
	open.must("PUT b 2", "ERROR ROLLEDBACK / E")
	flour.must("PUT c 3", "COMPLETE stamp / I")
	anvil.must("PUT d 4", "COMPLETE stamp / I")
	is.Equal(w.ranOf("flour", "PUT c 3").who, "smiths")
	is.Equal(w.ranOf("anvil", "PUT d 4").connection, w.ranOf("flour", "PUT c 3").connection)
	is.Equal(w.first.read("b"), "")
}
