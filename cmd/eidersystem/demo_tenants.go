package main

import (
	"context"
	"errors"
	"time"

	"eiderway/systemtest/workload"
	"eiderway/wire"
)

const (
	demoTenant            = "bakers" // its clients work during the whole demo
	demoKey               = "key-of-the-bakers"
	limitedTenant         = "smiths"
	limitedTenantKey      = "key-of-the-smiths"
	limitedTenantRate     = 5.0 // operations a second
	limitedTenantBurst    = 5.0
	limitedTenantTime     = 2 * time.Second       // how long the limited tenant asks for operations
	limitedTenantInterval = 20 * time.Millisecond // between its operations
	limitedTenantClient   = 1000                  // the number of its client; the others count from 1
)

func demoTenants() []workload.Tenant {
	return []workload.Tenant{
		{Name: demoTenant, Keys: []string{demoKey}},
		{Name: limitedTenant, Keys: []string{limitedTenantKey}, RatePerS: limitedTenantRate, BurstSize: limitedTenantBurst},
	}
}

// clientSettings returns the settings of clients that connect with the key.
func (d *demo) clientSettings(key string) workload.ClientSettings {
	return workload.ClientSettings{
		Database: demoDatabase,
		Gateways: d.gatewayAddresses,
		History:  d.history,
		Key:      func(int) string { return key },
	}
}

var errTenantsNotEnforced = errors.New("demo: a client was served, or refused, against the table of tenants")

// demonstrateTenants connects with a key of no tenant, which must be refused, and has a tenant exceed its limit of operations.
func (d *demo) demonstrateTenants(ctx context.Context) error {
	gatewayAddress := d.gatewayAddresses()[0]
	_, err := wire.Dial(ctx, gatewayAddress, demoDatabase, "nobodys-key", "")
	var refused *wire.RefusedError
	if !errors.As(err, &refused) || refused.Code != wire.AuthFail {
		return errors.Join(errTenantsNotEnforced, err)
	}
	d.progress.printf("a client whose key nobody holds is refused: %s", refused.Code)
	session := workload.OpenSession(limitedTenantClient, gatewayAddress, d.clientSettings(limitedTenantKey))
	if session == nil {
		return errTenantsNotEnforced
	}
	defer session.Close()
	served, busy := 0, 0
	for until := time.Now().Add(limitedTenantTime); time.Now().Before(until) && sleep(ctx, limitedTenantInterval); {
		switch written := session.Put("limited", "x"); {
		case written.Outcome == workload.Done:
			served++
		case written.Code == wire.Busy:
			busy++
		}
	}
	d.progress.printf("tenant %s, which may have %g operations a second, asks for %d in %v: %d run, %d are refused", limitedTenant,
		limitedTenantRate, served+busy, limitedTenantTime, served, busy)
	if served == 0 || busy == 0 {
		return errTenantsNotEnforced
	}
	return nil
}
