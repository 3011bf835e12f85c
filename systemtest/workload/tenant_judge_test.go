package workload

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/testinstance"
	"eiderway/wire"
)

// tenantHistory returns a history that breaks no rule: one key is taken away at 10 s, one moves to another tenant at 20 s, and
// one stays.
func tenantHistory() TenantEvidence {
	bakers := func(keys ...string) Tenant { return Tenant{Name: "bakers", Keys: keys, RatePerS: 2, BurstSize: 2} }
	smiths := func(keys ...string) Tenant { return Tenant{Name: "smiths", Keys: keys} }
	placed := func(number int64, second int, tenants ...Tenant) Order {
		return Order{Number: number, Status: http.StatusOK, Sent: at(second - 1), Answered: at(second), Tenants: tenants}
	}
	evidence := TenantEvidence{
		Orders: []Order{
			placed(1, 0, bakers("flour", "yeast", "rye"), smiths("anvil")),
			placed(3, 10, bakers("yeast", "rye"), smiths("anvil")),
			placed(4, 20, bakers("yeast"), smiths("anvil", "rye")),
			{Number: 5, Status: http.StatusConflict, Sent: at(21), Answered: at(22), Tenants: []Tenant{smiths("flour")}},
		},
		Rules:      TenantRules{Revoke: 4 * time.Second, Window: 5 * time.Second, Overrun: 0.1, Slack: 1},
		LimitBinds: func(acknowledged time.Time) time.Time { return acknowledged.Add(8 * time.Second) },
		Journal:    testinstance.Journal{Connected: []testinstance.Connected{{User: "bakers"}, {User: "smiths"}}},
	}
	evidence.run("flour", "bakers", 13)
	evidence.run("rye", "bakers", 19)
	evidence.run("rye", "bakers", 24) // the move doesn't bind yet
	evidence.run("rye", "smiths", 22)
	evidence.run("anvil", "smiths", 40)
	for range 14 { // (2 x 5 + 2) x 1.1 + 1 = 14.2
		evidence.run("yeast", "bakers", 50)
	}
	return evidence
}

// run adds a single statement that is sent and run at the same moment.
func (e *TenantEvidence) run(key, who string, second int) {
	id := fmt.Sprintf("s%d", len(e.Statements))
	e.Statements = append(e.Statements, Statement{ID: id, Try: id, Key: key, Began: at(second), Sent: at(second), Outcome: Done})
	e.Journal.Executions = append(e.Journal.Executions, testinstance.Execution{ID: id, User: who, At: at(second)})
}

func TestTenantJudgeSeesEachFault(t *testing.T) {
	is := is.New(t)
	is.Equal(JudgeTenants(tenantHistory()), nil)
	for name, one := range map[string]struct {
		rule  string
		spoil func(*TenantEvidence)
	}{
		"a stranger's key":              {"ROUTE", func(e *TenantEvidence) { e.run("sand", "bakers", 2) }},
		"a key of a refused order":      {"ROUTE", func(e *TenantEvidence) { e.Orders = e.Orders[1:]; e.run("flour", "smiths", 30) }},
		"a key before it was sent":      {"ROUTE", func(e *TenantEvidence) { e.run("anvil", "smiths", -2) }},
		"another tenant's name":         {"UNASKED", func(e *TenantEvidence) { e.run("flour", "smiths", 2) }},
		"a gateway's name":              {"UNASKED", func(e *TenantEvidence) { e.run("anvil", "gateway-0", 2) }},
		"a tenant without a name":       {"UNASKED", func(e *TenantEvidence) { e.run("anvil", "", 2) }},
		"a key at CONNECT":              {"UNASKED", func(e *TenantEvidence) { e.Journal.Connected[0].User = "yeast" }},
		"a stranger's word at CONNECT":  {"UNASKED", func(e *TenantEvidence) { e.Statements[0].Key, e.Journal.Connected[0].User = "sand", "sand" }},
		"a key that was taken away":     {"CONFIG", func(e *TenantEvidence) { e.run("flour", "bakers", 15) }},
		"a key that has moved":          {"CONFIG", func(e *TenantEvidence) { e.run("rye", "bakers", 25) }},
		"a lasting key that is refused": {"CONFIG", func(e *TenantEvidence) { e.Statements[6].Code = wire.AuthFail }},
		"one operation more":            {"QUOTA", func(e *TenantEvidence) { e.run("yeast", "bakers", 55) }},
		"one more in a later window":    {"QUOTA", func(e *TenantEvidence) { e.run("yeast", "bakers", 52) }},
		"an old higher limit": {"QUOTA", func(e *TenantEvidence) {
			e.Orders[0].Tenants[0].RatePerS = 100
			e.run("yeast", "bakers", 51)
		}},
	} {
		evidence := tenantHistory()
		one.spoil(&evidence)
		broken := JudgeTenants(evidence)
		if len(broken) == 0 || !strings.Contains("\n"+strings.Join(broken, "\n"), "\n"+one.rule+":") {
			t.Errorf("%s: %q", name, broken)
		}
	}
}

func TestTenantJudgeAllowsWhatTheRulesAllow(t *testing.T) {
	for name, allow := range map[string]func(*TenantEvidence){
		"a statement sent in time that ran late": func(e *TenantEvidence) {
			e.run("flour", "bakers", 13)
			e.Journal.Executions[len(e.Journal.Executions)-1].At = at(30)
		},
		"a key that came back": func(e *TenantEvidence) {
			e.Orders = append(e.Orders, Order{Number: 6, Sent: at(30), Tenants: []Tenant{{Name: "bakers", Keys: []string{"flour"}, RatePerS: 2}}})
			e.run("flour", "bakers", 31)
		},
		"an operation that arrived after the window": func(e *TenantEvidence) {
			e.run("yeast", "bakers", 54)
			e.Journal.Executions[len(e.Journal.Executions)-1].At = at(56)
		},
		"many statements of a transaction": func(e *TenantEvidence) {
			for range 20 {
				e.run("yeast", "bakers", 50)
				e.Statements[len(e.Statements)-1].Try = e.Statements[len(e.Statements)-2].Try
			}
		},
		"a higher limit": func(e *TenantEvidence) {
			e.Orders = append(e.Orders, Order{Number: 6, Sent: at(54), Tenants: []Tenant{{Name: "bakers", Keys: []string{"yeast"}, RatePerS: 9}}})
			e.run("yeast", "bakers", 55)
		},
		"a lower limit that doesn't bind yet": func(e *TenantEvidence) {
			e.Orders = append(e.Orders, Order{Number: 6, Status: http.StatusOK, Sent: at(44), Answered: at(45),
				Tenants: []Tenant{{Name: "bakers", Keys: []string{"yeast"}, RatePerS: 1}}})
		},
		"a key that one configuration lacked is refused": func(e *TenantEvidence) { e.Statements[0].Code = wire.AuthFail },
	} {
		evidence := tenantHistory()
		allow(&evidence)
		if broken := JudgeTenants(evidence); len(broken) > 0 {
			t.Errorf("%s: %q", name, broken)
		}
	}
}
