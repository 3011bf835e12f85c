package controller

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
	"eiderway/control/quota"
)

// newDeploymentWithTenants returns a deployment and its first primary, which has a configuration with a limited tenant and an open
// allocator.
func newDeploymentWithTenants(t *testing.T, seed int64, guards disabledGuards) (*deployment, *machine) {
	t.Helper()
	d := newDeployment(seed, 3, 1, guards)
	if !d.runUntil(maxWait, func() bool { return d.primary() != nil }) {
		t.Fatal("no controller became primary")
	}
	primary := d.primary()
	text := bytes.Replace(configurationBody(1, "d"), []byte(`"serviceTable"`),
		[]byte(`"tenantTable":[{"name":"bakers","apiKeys":["flour"],"ratePerS":1000,"burstSize":1000}],"serviceTable"`), 1)
	call := d.sendCall(&testCall{to: primary, number: 1, content: "d"},
		func(c CallID) Input { return ReplaceConfiguration{Call: c, Body: text} })
	d.run(2 * time.Second)
	if call.outcome() != "200" {
		t.Fatalf("the configuration is answered %s", call.outcome())
	}
	return d, primary
}

// requestOperations requests one operation from a controller.
func (d *deployment) requestOperations(to *machine) *watchRecord {
	d.lastCall++
	request := feed.WatchRequest{Gateway: "g#1", Operations: &quota.Request{Wants: []quota.Want{{Tenant: "bakers", Operations: 1}}}}
	record := &watchRecord{gateway: &gateway{name: "g"}, request: request}
	d.watchRecords()[d.lastCall] = record
	d.deliver(to, Watch{Call: d.lastCall, Request: request})
	return record
}

// granted returns how many operations the last answer granted.
func (r *watchRecord) granted() int {
	if r.answer.Operations == nil {
		return 0
	}
	return r.answer.Operations.Grants[0].Operations
}

// overlap isolates the primary and keeps requesting operations from all controllers. It returns when the old primary granted last, when its
// term was confirmed last, and when another controller granted first.
func overlap(t *testing.T, seed int64, guards disabledGuards) (lastOld, confirmedAt, firstNew time.Duration) {
	t.Helper()
	d, old := newDeploymentWithTenants(t, seed, guards)
	before := d.requestOperations(old)
	d.run(100 * time.Millisecond)
	if before.granted() != 1 {
		t.Fatal("the primary grants nothing")
	}
	d.isolate(old.name)
	var oldRecords, otherRecords []*watchRecord
	for firstNew == 0 && d.now < time.Minute {
		if term := old.controller.term; term != nil {
			confirmedAt = term.confirmedAt
		}
		for _, machine := range d.machines {
			record := d.requestOperations(machine)
			if machine == old {
				oldRecords = append(oldRecords, record)
			} else {
				otherRecords = append(otherRecords, record)
			}
		}
		d.run(10 * time.Millisecond)
		for _, record := range otherRecords {
			if record.granted() > 0 {
				firstNew = record.at
				break
			}
		}
	}
	d.run(3 * time.Second)
	for _, record := range oldRecords {
		if record.granted() > 0 {
			lastOld = max(lastOld, record.at)
		}
	}
	return lastOld, confirmedAt, firstNew
}

// QUOTA: a deposed primary and its successor granted operations at the same time.
func TestOneTermGrantsAtATime(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		is := is.New(t)
		lastOld, confirmedAt, firstNew := overlap(t, seed, disabledGuards{})
		is.True(lastOld > 0)
		is.True(lastOld < confirmedAt+maxGrantConfirmationAge) // by seed
		is.True(firstNew > lastOld)                            // by seed
	}
}

// With a guard of grants disabled, the old primary grants for too long or the new one too early, and the checks above show it.
func TestDisabledGrantGuardsAreDetected(t *testing.T) {
	is := is.New(t)
	lastOld, confirmedAt, _ := overlap(t, 1, disabledGuards{operationsUnconfirmed: true})
	is.True(lastOld >= confirmedAt+maxGrantConfirmationAge)
	early := 0
	for seed := int64(1); seed <= 20; seed++ {
		d, old := newDeploymentWithTenants(t, seed, disabledGuards{allocatorOpensAtOnce: true})
		d.kill(old)
		is.True(d.runUntil(maxWait, func() bool { return d.primary() != nil }))
		if opensAt := d.now + maxGrantConfirmationAge; d.runUntil(maxGrantConfirmationAge,
			func() bool { return d.grantsNow(d.primary()) }) && d.now < opensAt {
			early++
		}
	}
	is.Equal(early, 20)
}

func (d *deployment) grantsNow(primary *machine) bool {
	record := d.requestOperations(primary)
	d.run(20 * time.Millisecond)
	return record.granted() > 0
}

// QUOTA: the allocator of a later term opened while grants of an earlier primary were still valid.
func TestAllocatorOfALaterTermOpensLate(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		is := is.New(t)
		d, old := newDeploymentWithTenants(t, seed, disabledGuards{})
		d.kill(old)
		is.True(d.runUntil(maxWait, func() bool { return d.primary() != nil }))
		began := d.now
		is.True(d.runUntil(maxWait, func() bool { return d.grantsNow(d.primary()) }))
		opens := began + maxGrantConfirmationAge + quota.GrantLife // all earlier grants have expired then
		is.True(d.now > opens)
		is.True(d.now < opens+maxGrantConfirmationAge) // no later than needed
	}
}

// QUOTA: a primary granted operations after a confirmation that it had requested long before.
func TestLateConfirmationGrantsNothing(t *testing.T) {
	is := is.New(t)
	d, primary := newDeploymentWithTenants(t, 1, disabledGuards{})
	d.run(time.Second) // so that the last confirmation is too old
	d.isolate(primary.name)
	record := d.requestOperations(primary)
	d.run(maxGrantConfirmationAge + 10*time.Millisecond)
	d.cutLinks = map[link]bool{}
	is.True(d.runUntil(maxWait, func() bool { return record.replies == 1 }))
	is.True(primary.controller.term != nil) // still primary
	is.True(record.answer.NotPrimary)
	is.Equal(record.granted(), 0)
	is.True(d.runUntil(time.Second, func() bool { return d.grantsNow(primary) }))
}

// QUOTA: a primary whose process had been suspended granted what was requested meanwhile, though another had taken over.
func TestThawedPrimaryGrantsNothing(t *testing.T) {
	is := is.New(t)
	d, old := newDeploymentWithTenants(t, 1, disabledGuards{})
	old.isFrozen = true
	record := d.requestOperations(old)
	is.True(d.runUntil(maxWait, func() bool { return d.primary() != old && d.primary() != nil }))
	d.run(time.Second)
	d.thaw(old)
	d.run(3 * time.Second)
	is.Equal(record.replies, 1)
	is.Equal(record.granted(), 0)
}
