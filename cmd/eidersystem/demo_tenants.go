package main

import (
	"context"
	"errors"
	"time"

	"eiderway/systemtest/workload"
	"eiderway/wire"
)

const (
	demoTenant     = "bakers" // whose clients work during the demo
	demoKey        = "key-of-the-bakers"
	demoLimited    = "smiths"
	demoLimitedKey = "key-of-the-smiths"
	demoRate       = 5.0 // operations a second of the smiths
	demoBurst      = 5.0
	demoAsksFor    = 2 * time.Second       // that the smiths ask for operations
	demoAsksEvery  = 20 * time.Millisecond // likewise
	demoFirst      = 1000                  // the number of the client that does
)

func demoTenants() []workload.Tenant {
	return []workload.Tenant{
		{Name: demoTenant, Keys: []string{demoKey}},
		{Name: demoLimited, Keys: []string{demoLimitedKey}, RatePerS: demoRate, BurstSize: demoBurst},
	}
}

// clientSettings are those of clients with a key.
func (d *demo) clientSettings(key string) workload.ClientSettings {
	return workload.ClientSettings{
		Database: demoDatabase,
		Gateways: d.fronts,
		History:  d.history,
		Key:      func(int) string { return key },
	}
}

var errDemoTenants = errors.New("demo: a client was served, or refused, against the table of tenants")

// showTenants has a client come with a key that nobody holds, and a tenant ask for more than its limit.
func (d *demo) showTenants(ctx context.Context) error {
	front := d.fronts()[0]
	_, err := wire.Dial(ctx, front, demoDatabase, "nobodys-key", "")
	var refused *wire.RefusedError
	if !errors.As(err, &refused) || refused.Code != wire.AuthFail {
		return errors.Join(errDemoTenants, err)
	}
	d.story.tell("a client whose key nobody holds is refused: %s", refused.Code)
	session := workload.OpenSession(demoFirst, front, d.clientSettings(demoLimitedKey))
	if session == nil {
		return errDemoTenants
	}
	defer session.Close()
	served, busy := 0, 0
	for until := time.Now().Add(demoAsksFor); time.Now().Before(until) && demoRest(ctx, demoAsksEvery); {
		switch written := session.Put("limited", "x"); {
		case written.Outcome == workload.Done:
			served++
		case written.Code == wire.Busy:
			busy++
		}
	}
	d.story.tell("tenant %s, which may have %g operations a second, asks for %d in %v: %d run, %d are refused", demoLimited,
		demoRate, served+busy, demoAsksFor, served, busy)
	if served == 0 || busy == 0 {
		return errDemoTenants
	}
	return nil
}
