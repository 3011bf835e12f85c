package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
	"eiderway/control/guard"
	"eiderway/control/quota"
)

// QUOTA: operations were granted by a new primary while the one before could still grant the same ones.
func TestBankOfATermOpensOnceNoEarlierOneGrants(t *testing.T) {
	const begins = 10 * time.Second
	granted := func(lacking guard.Set, after time.Duration) int {
		rules := quota.Rules{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}
		c := &Controller{now: begins, settings: Settings{LeaseMargin: 100 * time.Millisecond, Quota: rules, Lacking: lacking}}
		bank := c.newBank()
		bank.SetLimits(begins, []quota.Limit{{Tenant: "a", RatePerS: 1000, Burst: 1000}})
		request := quota.Request{Wants: []quota.Want{{Tenant: "a", Operations: 1000}}}
		return bank.Answer(begins+after, request).Grants[0].Operations
	}
	is := is.New(t)
	is.Equal(granted(0, operationsFresh), 0)
	is.True(granted(0, operationsFresh+200*time.Millisecond) > 0)
	is.True(granted(guard.Set(guard.BankOpensLate), operationsFresh) > 0) // which the line above finds
}

// QUOTA: a primary that had been cut off or frozen granted operations that the next one granted too.
func TestOperationsAreGrantedByAConfirmedPrimaryOnly(t *testing.T) {
	answers := func(lacking guard.Set, sinceConfirmed time.Duration) (atOnce, afterConfirmation int) {
		c := &Controller{now: 10 * time.Second, settings: Settings{Lacking: lacking}}
		c.term = &term{confirmed: c.now - sinceConfirmed, bank: quota.NewBank(0, quota.Rules{})}
		c.takeOperations(Watch{Call: 1, Request: feed.WatchRequest{Operations: &quota.Request{}}})
		return len(c.effects.WatchReplies), len(c.term.questions)
	}
	is := is.New(t)
	for _, one := range []struct {
		lacking                   guard.Set
		sinceConfirmed            time.Duration
		atOnce, afterConfirmation int
	}{
		{0, operationsFresh - 1, 1, 0},
		{0, operationsFresh, 0, 1},
		{guard.Set(guard.GrantConfirmed), time.Hour, 1, 0}, // which the line above finds
	} {
		atOnce, afterConfirmation := answers(one.lacking, one.sinceConfirmed)
		is.Equal(atOnce, one.atOnce)
		is.Equal(afterConfirmation, one.afterConfirmation)
	}
}
