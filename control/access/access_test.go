package access

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/configuration"
)

func tableOf(tenants ...configuration.Tenant) Table {
	return NewTable(&configuration.Contents{HasTenants: true, Tenants: tenants})
}

// CONFIG: a key that moved to another tenant went on serving the earlier one inside open transactions.
func TestGrantEndsWithItsKey(t *testing.T) {
	is := is.New(t)
	route := configuration.Route{Name: "r"}
	held := tableOf(configuration.Tenant{Name: "a", Keys: []string{"x"}}, configuration.Tenant{Name: "b"})
	tenant, admitted := held.Authorize(route, NewKey("x"))
	is.True(admitted)
	is.Equal(tenant, "a")
	grant := Grant{Route: route, Key: NewKey("x"), Tenant: tenant}
	always := Trust{}
	is.True(held.IsGrantValid(grant, always, time.Hour))
	moved := tableOf(configuration.Tenant{Name: "a"}, configuration.Tenant{Name: "b", Keys: []string{"x"}})
	is.True(!moved.IsGrantValid(grant, always, 0))
	is.True(!tableOf().IsGrantValid(grant, always, 0))
	is.True(tableOf().IsGrantValid(Grant{Route: configuration.Route{NoAuth: true}, Key: NewKey("x")}, always, 0))
	is.True(!Table{}.IsGrantValid(grant, always, 0)) // a system without tenants: it would go on as nobody's
	is.True(Table{}.IsGrantValid(Grant{Route: route, Key: NewKey("x")}, Trust{Duration: time.Second}, time.Hour))
	_, admitted = held.Authorize(route, NewKey("y"))
	is.True(!admitted)
}

func TestTrustEndsBeforeTheBound(t *testing.T) {
	is := is.New(t)
	trust := Trust{HeardAt: time.Second, Duration: TrustDuration(5 * time.Second)}
	is.True(trust.IsValid(5500*time.Millisecond - 1))
	is.True(!trust.IsValid(5500 * time.Millisecond))
	is.True(Trust{Duration: TrustDuration(0)}.IsValid(time.Hour))
}
