package gateway

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/wire"
)

// tenantOfKey is the tenant of each key in these tests. A client's name is its key.
var tenantOfKey = map[string]string{"flour": "bakers", "yeast": "bakers", "anvil": "smiths"}

// checkTenantsSeparate checks that each client's statements ran under the name of its tenant and with its own values
// only. A client sets "owner" to its key, or not at all.
func (e *testEnv) checkTenantsSeparate() {
	e.Helper()
	for _, statement := range e.first.clientStatements() {
		key := strings.TrimRight(statement.id, "0123456789")
		if statement.user != tenantOfKey[key] {
			e.Fatalf("%s of %s ran under the name %s", statement.text, key, statement.user)
		}
		if owner, set := statement.values["owner"]; set && owner != key {
			e.Fatalf("%s of %s ran with the values of %s", statement.text, key, owner)
		}
	}
}

// lastStatement returns the client's last statement with this text.
func (e *testEnv) lastStatement(key, text string) ranStatement {
	e.Helper()
	statements := e.first.clientStatements()
	for index := len(statements) - 1; index >= 0; index-- {
		if strings.HasPrefix(statements[index].id, key) && statements[index].text == text {
			return statements[index]
		}
	}
	e.Fatalf("%s of %s did not run", text, key)
	return ranStatement{}
}

// startEnvWithTenants starts a testEnv with two tenants and the given statement timeout in milliseconds.
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

// UNASKED, PINNED: a value or a prepared name of one tenant's session reached another tenant's session.
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
	is.Equal(env.first.dials(), 2) // the sessions of each tenant share one
}

// UNASKED, PINNED: a statement ran inside another tenant's transaction that was open, abandoned or rolled back.
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
	yeast.expect("FETCH b", `COMPLETE stamp [""] / I`) // while the instance is still running the other statement
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
func TestMovedKeyRunsUnderItsNewTenant(t *testing.T) {
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
