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

// Rule CONFIG: a key that moved to another tenant was still accepted for its earlier tenant inside open transactions.
func TestGrantIsInvalidOnceItsKeyMoves(t *testing.T) {
	is := is.New(t)
	route := configuration.Route{Name: "r"}
	before := tableOf(configuration.Tenant{Name: "a", Keys: []string{"x"}}, configuration.Tenant{Name: "b"})
	tenant, isAuthorized := before.Authorize(route, NewKey("x"))
	is.True(isAuthorized)
	is.Equal(tenant, "a")
	grant := Grant{Route: route, Key: NewKey("x"), Tenant: tenant}
	unlimited := Trust{}
	is.True(before.IsGrantValid(grant, unlimited, time.Hour))
	moved := tableOf(configuration.Tenant{Name: "a"}, configuration.Tenant{Name: "b", Keys: []string{"x"}})
	is.True(!moved.IsGrantValid(grant, unlimited, 0))
	is.True(!tableOf().IsGrantValid(grant, unlimited, 0))
	is.True(tableOf().IsGrantValid(Grant{Route: configuration.Route{NoAuth: true}, Key: NewKey("x")}, unlimited, 0))
	is.True(!Table{}.IsGrantValid(grant, unlimited, 0)) // a system without tenants: the statement would go on without a tenant
	is.True(Table{}.IsGrantValid(Grant{Route: route, Key: NewKey("x")}, Trust{Duration: time.Second}, time.Hour))
	_, isAuthorized = before.Authorize(route, NewKey("y"))
	is.True(!isAuthorized)
}

func TestTrustEndsBeforeTheRevocationTime(t *testing.T) {
	is := is.New(t)
	trust := Trust{HeardAt: time.Second, Duration: TrustDuration(5 * time.Second)}
	is.True(trust.IsValid(5500*time.Millisecond - 1))
	is.True(!trust.IsValid(5500 * time.Millisecond))
	is.True(Trust{Duration: TrustDuration(0)}.IsValid(time.Hour))
}
