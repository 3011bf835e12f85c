package controller

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
	"eiderway/control/quota"
)

// leadingWithTenants is a world whose first primary has a configuration with a tenant that has a limit, and has opened its bank.
func leadingWithTenants(t *testing.T, seed int64, guards disabledGuards) (*world, *machine) {
	t.Helper()
	w := newWorld(seed, 3, 1, guards)
	if !w.until(patience, func() bool { return w.primary() != nil }) {
		t.Fatal("nobody leads")
	}
	leads := w.primary()
	text := bytes.Replace(body(1, "d"), []byte(`"serviceTable"`),
		[]byte(`"tenantTable":[{"name":"bakers","apiKeys":["flour"],"ratePerS":1000,"burstSize":1000}],"serviceTable"`), 1)
	made := w.send(&call{to: leads, number: 1, content: "d"}, func(c CallID) Input { return ReplaceConfiguration{Call: c, Body: text} })
	w.run(2 * time.Second)
	if made.outcome() != "200" {
		t.Fatalf("the configuration is answered %s", made.outcome())
	}
	return w, leads
}

// askOperations asks a controller for an operation.
func (w *world) askOperations(to *machine) *watching {
	w.lastCall++
	request := feed.WatchRequest{Gateway: "g#1", Operations: &quota.Request{Wants: []quota.Want{{Tenant: "bakers", Operations: 1}}}}
	asked := &watching{gateway: &gateway{name: "g"}, request: request}
	w.watchings()[w.lastCall] = asked
	w.give(to, Watch{Call: w.lastCall, Request: request})
	return asked
}

// granted tells how many operations an answer brought.
func (a *watching) granted() int {
	if a.answer.Operations == nil {
		return 0
	}
	return a.answer.Operations.Grants[0].Operations
}

// overlap cuts the primary off and asks all controllers for operations on and on. It gives when the old primary granted last, when its term
// was confirmed last, and when another granted first.
func overlap(t *testing.T, seed int64, guards disabledGuards) (lastOld, confirmed, firstNew time.Duration) {
	t.Helper()
	w, old := leadingWithTenants(t, seed, guards)
	before := w.askOperations(old)
	w.run(100 * time.Millisecond)
	if before.granted() != 1 {
		t.Fatal("nothing is granted")
	}
	w.isolate(old.name)
	var ofOld, ofOthers []*watching
	for firstNew == 0 && w.now < time.Minute {
		if term := old.controller.term; term != nil {
			confirmed = term.confirmedAt
		}
		for _, one := range w.machines {
			asked := w.askOperations(one)
			if one == old {
				ofOld = append(ofOld, asked)
			} else {
				ofOthers = append(ofOthers, asked)
			}
		}
		w.run(10 * time.Millisecond)
		for _, asked := range ofOthers {
			if asked.granted() > 0 {
				firstNew = asked.at
				break
			}
		}
	}
	w.run(3 * time.Second)
	for _, asked := range ofOld {
		if asked.granted() > 0 {
			lastOld = max(lastOld, asked.at)
		}
	}
	return lastOld, confirmed, firstNew
}

// QUOTA: a deposed primary granted operations, and so did the one that followed it.
func TestOneTermGrantsAtATime(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		is := is.New(t)
		lastOld, confirmed, firstNew := overlap(t, seed, disabledGuards{})
		is.True(lastOld > 0)
		is.True(lastOld < confirmed+maxGrantConfirmationAge) // by seed
		is.True(firstNew > lastOld)                          // by seed
	}
}

// The guards of operations are found when they are taken out: the old primary grants for too long, or the new one too early.
func TestGuardsOfOperations(t *testing.T) {
	is := is.New(t)
	lastOld, confirmed, _ := overlap(t, 1, disabledGuards{operationsUnconfirmed: true})
	is.True(lastOld >= confirmed+maxGrantConfirmationAge)
	early := 0
	for seed := int64(1); seed <= 20; seed++ {
		w, old := leadingWithTenants(t, seed, disabledGuards{allocatorOpensAtOnce: true})
		w.kill(old)
		is.True(w.until(patience, func() bool { return w.primary() != nil }))
		if opensAt := w.now + maxGrantConfirmationAge; w.until(maxGrantConfirmationAge, func() bool { return w.grantsNow(w.primary()) }) && w.now < opensAt {
			early++
		}
	}
	is.Equal(early, 20)
}

func (w *world) grantsNow(primary *machine) bool {
	asked := w.askOperations(primary)
	w.run(20 * time.Millisecond)
	return asked.granted() > 0
}

// QUOTA: the bank of a later term opened while an earlier primary could grant.
func TestBankOfALaterTermOpensLate(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		is := is.New(t)
		w, old := leadingWithTenants(t, seed, disabledGuards{})
		w.kill(old)
		is.True(w.until(patience, func() bool { return w.primary() != nil }))
		began := w.now
		is.True(w.until(patience, func() bool { return w.grantsNow(w.primary()) }))
		opens := began + maxGrantConfirmationAge + quota.GrantLife // what was granted before is over then
		is.True(w.now > opens)
		is.True(w.now < opens+maxGrantConfirmationAge) // no later than needed
	}
}

// QUOTA: a primary granted by a confirmation that had been asked for long before.
func TestConfirmationThatTookTooLongGrantsNothing(t *testing.T) {
	is := is.New(t)
	w, leads := leadingWithTenants(t, 1, disabledGuards{})
	w.run(time.Second) // the last confirmation is not fresh any more
	w.isolate(leads.name)
	asked := w.askOperations(leads)
	w.run(maxGrantConfirmationAge + 10*time.Millisecond)
	w.cut = map[link]bool{}
	is.True(w.until(patience, func() bool { return asked.replies == 1 }))
	is.True(leads.controller.term != nil) // still primary
	is.True(asked.answer.NotPrimary)
	is.Equal(asked.granted(), 0)
	is.True(w.until(time.Second, func() bool { return w.grantsNow(leads) }))
}

// QUOTA: a primary that had stood still granted what had been asked meanwhile, though another had taken over.
func TestWokenPrimaryGrantsNothing(t *testing.T) {
	is := is.New(t)
	w, old := leadingWithTenants(t, 1, disabledGuards{})
	old.frozen = true
	asked := w.askOperations(old)
	is.True(w.until(patience, func() bool { return w.primary() != old && w.primary() != nil }))
	w.run(time.Second)
	w.thaw(old)
	w.run(3 * time.Second)
	is.Equal(asked.replies, 1)
	is.Equal(asked.granted(), 0)
}
