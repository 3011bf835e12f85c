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
func (env *testEnv) checkTenantsSeparate() {
	env.Helper()
	for _, one := range env.first.clientStatements() {
		key := strings.TrimRight(one.id, "0123456789")
		if one.user != tenantOfKey[key] {
			env.Fatalf("%s of %s ran for %s", one.text, key, one.user)
		}
		if owner, set := one.values["owner"]; set && owner != key {
			env.Fatalf("%s of %s ran with the values of %s", one.text, key, owner)
		}
	}
}

// ranOf is the last statement of the client with this text.
func (env *testEnv) lastStatement(key, text string) ranStatement {
	env.Helper()
	asked := env.first.clientStatements()
	for index := len(asked) - 1; index >= 0; index-- {
		if strings.HasPrefix(asked[index].id, key) && asked[index].text == text {
			return asked[index]
		}
	}
	env.Fatalf("%s of %s did not run", text, key)
	return ranStatement{}
}

// startTenants starts a world with two tenants, whose statements may take as long as given.
func startEnvWithTenants(t *testing.T, timeout string) (env *testEnv, flour, yeast, anvil *testClient) {
	t.Helper()
	env = startEnv(t)
	table := env.table(2, "i-1", false)
	table.ConfigurationNumber = 102
	table.Configuration = []byte(strings.Replace(string(newTenantConfiguration(102, bakers+","+smiths)), `"timeoutMs":3000`, `"timeoutMs":`+timeout, 1))
	env.controller.publish(table)
	env.eventually("the tenants are known", func() bool { return env.controller.hasApplied(2) })
	return env, env.connect("flour"), env.connect("yeast"), env.connect("anvil")
}

// UNASKED, PINNED: a value or a prepared name of one tenant's session reached another's.
func TestValuesAndNamesStayWithTheirTenant(t *testing.T) {
	is := is.New(t)
	env, flour, yeast, anvil := startEnvWithTenants(t, "3000")
	for range 3 {
		flour.expect("SETOPT owner flour", "COMPLETE - / I")
		flour.expect("PREPARE p PUT cake", "COMPLETE - / I")
		flour.expect("EXECUTE p a 1", "COMPLETE stamp / I")
		anvil.expect("EXECUTE p a 2", "ERROR NOSTMT / I")
		anvil.expect("FETCH a", `COMPLETE stamp ["1"] / I`)
		anvil.expect("PREPARE p FETCH nail", "COMPLETE - / I")
		anvil.expect("EXECUTE p a", `COMPLETE stamp ["1"] / I`)
		yeast.expect("FETCH a", `COMPLETE stamp ["1"] / I`)
		yeast.expect("EXECUTE p a", "ERROR NOSTMT / I")
		anvil.expect("RELEASE p", "COMPLETE - / I")
	}
	env.checkTenantsSeparate()
	is.Equal(env.lastStatement("anvil", "EXECUTE fnail a").shape, "nail")
	is.Equal(env.lastStatement("yeast", "FETCH a").values, map[string]string{})
	is.Equal(env.first.dials(), 2) // each tenant's sessions share one
}

// UNASKED, PINNED: a statement ran inside another tenant's transaction, one that was open, left or rolled back.
func TestTransactionsStayWithTheirTenant(t *testing.T) {
	is := is.New(t)
	env, flour, yeast, anvil := startEnvWithTenants(t, "3000")
	flour.expect("BEGIN", "COMPLETE stamp / T")
	flour.expect("SETOPT owner flour", "COMPLETE - / T")
	flour.expect("PUT a 1", "COMPLETE stamp / T")
	anvil.expect("PUT b 2", "COMPLETE stamp / I")
	yeast.expect("PUT c 3", "COMPLETE stamp / I")
	is.True(!env.lastStatement("anvil", "PUT b 2").isInTransaction)
	is.True(!env.lastStatement("yeast", "PUT c 3").isInTransaction)

	flour.expect("ABORT", "COMPLETE stamp / I")
	anvil.expect("FETCH a", `COMPLETE stamp [""] / I`)
	yeast.expect("FETCH a", `COMPLETE stamp [""] / I`)
	flour.expect("BEGIN", "COMPLETE stamp / T")
	flour.expect("PUT a 4", "COMPLETE stamp / T")
	flour.conn.Close()
	env.eventually("the transaction that was left is rolled back", func() bool {
		texts := env.first.texts()
		return texts[len(texts)-1] == "- ABORT"
	})
	anvil.expect("PUT d 5", "COMPLETE stamp / I")
	yeast.expect("PUT e 6", "COMPLETE stamp / I")
	is.True(!env.lastStatement("anvil", "PUT d 5").isInTransaction)
	is.True(!env.lastStatement("yeast", "PUT e 6").isInTransaction)
	is.Equal(env.first.read("a"), "")
	env.checkTenantsSeparate()
}

// UNASKED, MIXED: the late answer to a statement that had timed out reached another session.
func TestLateAnswerReachesNobodyElse(t *testing.T) {
	is := is.New(t)
	env, flour, yeast, anvil := startEnvWithTenants(t, "150")
	gate := holdStatements(t, wire.Put)
	env.first.setIntercept(gate.intercept)
	flour.expect("PUT a 1", "ERROR TIMEOUT / I")
	yeast.expect("FETCH b", `COMPLETE stamp [""] / I`) // while the instance is still at work on it
	anvil.expect("FETCH b", `COMPLETE stamp [""] / I`)
	gate.release()
	env.first.setIntercept(nil)
	env.eventually("the statement has run late", func() bool { return env.first.read("a") == "1" })
	yeast.expect("FETCH b", `COMPLETE stamp [""] / I`)
	anvil.expect("FETCH b", `COMPLETE stamp [""] / I`)
	flour.expect("FETCH a", `COMPLETE stamp ["1"] / I`)
	is.True(env.lastStatement("yeast", "FETCH b").connection != env.lastStatement("flour", "PUT a 1").connection)
	env.checkTenantsSeparate()
}

// UNASKED: statements ran under the name of the tenant that had held the key before.
func TestKeyThatMovedRunsUnderItsNewTenant(t *testing.T) {
	is := is.New(t)
	env, flour, _, anvil := startEnvWithTenants(t, "3000")
	flour.expect("PUT a 1", "COMPLETE stamp / I")
	open := env.connect("flour")
	open.expect("BEGIN", "COMPLETE stamp / T")
	env.publishTenants(3, noBakers+`,{"name":"smiths","apiKeys":["anvil","flour"],"ratePerS":100,"burstSize":100}`)
	open.expect("PUT b 2", "ERROR ROLLEDBACK / E")
	flour.expect("PUT c 3", "COMPLETE stamp / I")
	anvil.expect("PUT d 4", "COMPLETE stamp / I")
	is.Equal(env.lastStatement("flour", "PUT c 3").user, "smiths")
	is.Equal(env.lastStatement("anvil", "PUT d 4").connection, env.lastStatement("flour", "PUT c 3").connection)
	is.Equal(env.first.read("b"), "")
}
