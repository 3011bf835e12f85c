package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// history is a day made by hand: what operators, clients and instances did, without a system in between.
type history struct {
	world *World
	at    *instance
	via   *gateway
}

func newHistory(t *testing.T) *history {
	t.Helper()
	plan, err := Parse("history", "tenants 2 rate 10 burst 10\ngateways 1\nlength 60s")
	is.New(t).NoErr(err)
	w := newWorld(plan, 1, realCore, false)
	h := &history{world: w, via: w.addGateway("g1"), at: &instance{world: w, id: "db1", service: &service{name: "db"}}}
	h.via.running = true
	return h
}

// acked has an order acknowledged: keys of a, of b, and the rate of both.
func (h *history) acked(at time.Duration, number int64, keysOfA, keysOfB []string, rate float64) *order {
	made := &order{number: number, content: fmt.Sprint("x", number), sent: at, acked: at, tenants: []wireTenant{
		{Name: "t1", Keys: keysOfA, RatePerS: rate, BurstSize: 10}, {Name: "t2", Keys: keysOfB, RatePerS: rate, BurstSize: 10},
	}}
	h.world.orders = append(h.world.orders, made)
	return made
}

// runs has an instance run a statement as soon as it was sent.
func (h *history) runs(sent time.Duration, key, tenant string) {
	h.until(sent + 10*time.Millisecond)
	begun := &operation{key: key, sent: sent}
	h.world.judge.ran(h.at, &statement{sent: sent, arrived: h.world.now(), operation: begun, tenant: tenant, gateway: h.via})
}

func (h *history) refuses(sent time.Duration, key string) {
	h.until(sent)
	h.world.judge.keyRefused(h.via, &statement{sent: sent, operation: &operation{key: key, sent: sent}})
}

// until lets time pass, and the judge see who is in touch.
func (h *history) until(moment time.Duration) {
	for h.world.schedule.now+watchEvery < moment {
		h.world.schedule.now += watchEvery
		h.world.judge.followLimits()
	}
	h.world.schedule.now = moment
}

func (h *history) cutOff() { h.via.lastTrouble = h.world.now() }

func (h *history) rules() []string {
	h.world.judge.judgeQuota()
	var rules []string
	for _, one := range h.world.judge.breaks {
		rules = append(rules, one.Rule)
	}
	return rules
}

var (
	keyA = []string{"a"}
	keyB = []string{"b"}
)

// TestJudgeOfKeys: the bounds are those of NewPlan: 3 s for a configuration in touch, 5 s for a key that was taken away.
func TestJudgeOfKeys(t *testing.T) {
	const s = time.Second
	for _, one := range []struct {
		name   string
		happen func(h *history)
		rules  []string
	}{
		{"as it should be", func(h *history) { h.runs(10*s, "a", "t1") }, nil},
		{"a key that nobody held", func(h *history) { h.runs(10*s, "c", "t1") }, []string{ruleRoute}},
		{"no tenant told", func(h *history) { h.runs(10*s, "a", "") }, []string{ruleUnasked}},
		{"another tenant told", func(h *history) { h.runs(10*s, "a", "t2") }, []string{ruleUnasked}},
		{"the key told for the tenant", func(h *history) { h.runs(10*s, "a", "a") }, []string{ruleUnasked}},
		{"a key that was refused with its order", func(h *history) {
			h.acked(8*s, 11, []string{"a", "c"}, keyB, 10).refused = 409
			h.runs(20*s, "c", "t1")
		}, []string{ruleRoute}},
		{"withdrawn, within the bound", func(h *history) {
			h.acked(10*s, 11, nil, keyB, 10)
			h.until(14 * s)
			h.cutOff()
			h.runs(15*s, "a", "t1")
		}, nil},
		{"withdrawn, cut off, past the bound", func(h *history) {
			h.acked(10*s, 11, nil, keyB, 10)
			h.until(14 * s)
			h.cutOff()
			h.runs(15*s+1, "a", "t1")
		}, []string{ruleConfig}},
		{"withdrawn, sent within the bound, run past it", func(h *history) {
			h.acked(10*s, 11, nil, keyB, 10)
			h.until(14 * s)
			h.cutOff()
			h.runs(15*s-1, "a", "t1")
		}, nil},
		{"withdrawn, in touch, past the bound of a configuration", func(h *history) {
			h.acked(10*s, 11, nil, keyB, 10)
			h.runs(13*s+1, "a", "t1")
		}, []string{ruleConfig}},
		{"withdrawn, in touch, within it", func(h *history) {
			h.acked(10*s, 11, nil, keyB, 10)
			h.runs(13*s, "a", "t1")
		}, nil},
		{"withdrawn and given back by an order that isn't acknowledged", func(h *history) {
			h.acked(10*s, 11, nil, keyB, 10)
			h.acked(11*s, 12, keyA, keyB, 10).acked = -1
			h.runs(20*s, "a", "t1")
		}, nil},
		{"withdrawn by an order below the one in force", func(h *history) {
			h.acked(10*s, 9, nil, keyB, 10)
			h.runs(20*s, "a", "t1")
		}, nil},
		{"given back before the last withdrawal", func(h *history) {
			h.acked(8*s, 11, nil, keyB, 10)
			h.acked(9*s, 12, keyA, keyB, 10)
			h.acked(10*s, 13, nil, keyB, 10)
			h.until(14 * s)
			h.cutOff()
			h.runs(16*s, "a", "t1")
		}, []string{ruleConfig}},
		{"moved, told the old tenant in time", func(h *history) {
			h.acked(10*s, 11, nil, []string{"a", "b"}, 10)
			h.runs(13*s, "a", "t1")
			h.runs(14*s, "a", "t2")
		}, nil},
		{"moved, told the old tenant late", func(h *history) {
			h.acked(10*s, 11, nil, []string{"a", "b"}, 10)
			h.runs(13*s+1, "a", "t1")
		}, []string{ruleConfig}},
		{"refused though it is there", func(h *history) { h.refuses(10*s, "a") }, []string{ruleConfig}},
		{"refused before the bound of a configuration", func(h *history) {
			h.acked(10*s, 11, []string{"a", "c"}, keyB, 10)
			h.refuses(13*s, "c")
		}, nil},
		{"refused after it", func(h *history) {
			h.acked(10*s, 11, []string{"a", "c"}, keyB, 10)
			h.refuses(13*s+1, "c")
		}, []string{ruleConfig}},
		{"refused by a gateway that is not in touch", func(h *history) {
			h.acked(10*s, 11, []string{"a", "c"}, keyB, 10)
			h.until(13 * s)
			h.cutOff()
			h.refuses(14*s, "c")
		}, nil},
		{"refused since it was withdrawn just now", func(h *history) {
			h.acked(10*s, 11, nil, keyB, 10)
			h.refuses(10*s+1, "a")
		}, nil},
	} {
		t.Run(one.name, func(t *testing.T) {
			h := newHistory(t)
			h.acked(4*time.Second, 10, keyA, keyB, 10)
			one.happen(h)
			is.New(t).Equal(h.rules(), one.rules)
		})
	}
}

// TestJudgeOfQuotas: a window of 5 s at 10 a second and 10 more takes (10 x 5 + 10) x 1.1 + 20 = 86 operations, at 4 a second 53.
func TestJudgeOfQuotas(t *testing.T) {
	const s = time.Second
	several := func(h *history, count int, from, every time.Duration) {
		for index := range count {
			h.runs(from+time.Duration(index)*every, "a", "t1")
		}
	}
	for _, one := range []struct {
		name   string
		happen func(h *history)
		rules  []string
	}{
		{"as many as are allowed", func(h *history) { several(h, 86, 10*s, 50*time.Millisecond) }, nil},
		{"one more", func(h *history) { several(h, 87, 10*s, 50*time.Millisecond) }, []string{ruleQuota}},
		{"both ends of the window belong to it", func(h *history) {
			several(h, 86, 10*s, time.Millisecond)
			h.runs(15*s-10*time.Millisecond, "a", "t1")
		}, []string{ruleQuota}},
		{"one arrives after the window", func(h *history) {
			several(h, 86, 10*s, time.Millisecond)
			h.runs(15*s-10*time.Millisecond+1, "a", "t1")
		}, nil},
		{"in any window, not in those that begin at whole seconds", func(h *history) { several(h, 87, 12300*time.Millisecond, 40*time.Millisecond) }, []string{ruleQuota}},
		{"in two windows", func(h *history) {
			several(h, 86, 10*s, time.Millisecond)
			several(h, 86, 16*s, time.Millisecond)
		}, nil},
		{"of two tenants", func(h *history) {
			several(h, 86, 10*s, time.Millisecond)
			for index := range 86 {
				h.runs(11*s+time.Duration(index)*time.Millisecond, "b", "t2")
			}
		}, nil},
		{"a lowered limit doesn't bind yet", func(h *history) {
			h.acked(10*s, 11, keyA, keyB, 4)
			several(h, 86, 12*s, time.Millisecond)
		}, nil},
		{"a lowered limit binds", func(h *history) {
			h.acked(10*s, 11, keyA, keyB, 4)
			several(h, 54, 14*s, time.Millisecond)
		}, []string{ruleQuota}},
		{"a lowered limit binds as soon as all were in touch", func(h *history) {
			h.acked(10*s, 11, keyA, keyB, 4)
			h.until(13 * s)
			h.cutOff()
			several(h, 86, 16*s, time.Millisecond)
			h.until(18 * s)
		}, nil},
		{"a raised limit binds at once", func(h *history) {
			h.acked(10*s, 11, keyA, keyB, 20).acked = -1
			several(h, 87, 11*s, time.Millisecond)
		}, nil},
		{"no limit", func(h *history) {
			h.acked(10*s, 11, keyA, keyB, 0)
			several(h, 500, 11*s, time.Millisecond)
		}, nil},
	} {
		t.Run(one.name, func(t *testing.T) {
			h := newHistory(t)
			h.acked(4*time.Second, 10, keyA, keyB, 10)
			one.happen(h)
			is.New(t).Equal(h.rules(), one.rules)
		})
	}
}

// TestJudgeCountsAnOperationOnce: a transaction counts once, when its first statement is run.
func TestJudgeCountsAnOperationOnce(t *testing.T) {
	h := newHistory(t)
	h.acked(4*time.Second, 10, keyA, keyB, 10)
	begun := &operation{key: "a", sent: 10 * time.Second}
	for index := range 100 {
		h.until(10*time.Second + time.Duration(index)*time.Millisecond)
		h.world.judge.ran(h.at, &statement{sent: h.world.now(), arrived: h.world.now(), operation: begun, tenant: "t1", gateway: h.via})
	}
	is.New(t).Equal(h.rules(), nil)
	is.New(t).Equal(len(h.world.judge.arrivals("t1")), 1)
}
