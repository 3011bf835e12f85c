package simulation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/controller"
	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/replication"
)

// tampered is the real control code with one of its promises taken away.
type tampered struct {
	*controller.Controller
	after func(now time.Duration, input controller.Input, effects controller.Effects) controller.Effects
}

func (t tampered) Step(now time.Duration, input controller.Input) controller.Effects {
	return t.after(now, input, t.Controller.Step(now, input))
}

type tampering func(core *controller.Controller) tampered

func tamperedCore(tamper tampering) NewCore {
	return func(now time.Duration, settings controller.Settings, durable replication.DurableState) Core {
		return tamper(controller.New(now, settings, durable))
	}
}

// saysYes acknowledges each order as it comes, whatever becomes of it.
func saysYes(core *controller.Controller) tampered {
	return tampered{core, func(_ time.Duration, input controller.Input, effects controller.Effects) controller.Effects {
		if order, isOrder := input.(controller.ReplaceConfiguration); isOrder {
			effects.Replies = append([]controller.Reply{{Call: order.Call, Status: 200}}, effects.Replies...)
		}
		return effects
	}}
}

// handsOutOld answers each fetch with the first configuration that it has ever handed out.
func handsOutOld(core *controller.Controller) tampered {
	var first []byte
	return tampered{core, func(_ time.Duration, input controller.Input, effects controller.Effects) controller.Effects {
		for index, reply := range effects.Replies {
			if reply.Status == 200 && len(reply.Body) > 200 {
				if first == nil {
					first = reply.Body
				}
				effects.Replies[index].Body = first
			}
		}
		return effects
	}}
}

// forgetsTaken refuses what is sent again.
func forgetsTaken(core *controller.Controller) tampered {
	seen := map[string]bool{}
	return tampered{core, func(_ time.Duration, input controller.Input, effects controller.Effects) controller.Effects {
		order, isOrder := input.(controller.ReplaceConfiguration)
		if !isOrder {
			return effects
		}
		if seen[string(order.Body)] {
			effects.Replies = append([]controller.Reply{{Call: order.Call, Status: 409}}, effects.Replies...)
		}
		seen[string(order.Body)] = true
		return effects
	}}
}

// syncsNothing takes writes for safe as soon as they are handed out.
func syncsNothing(core *controller.Controller) tampered {
	return tampered{core, func(now time.Duration, _ controller.Input, effects controller.Effects) controller.Effects {
		pending := effects.Writes
		for len(pending) > 0 {
			more := core.Step(now, controller.Persisted{Write: pending[len(pending)-1].Number})
			effects.Writes = append(effects.Writes, more.Writes...)
			effects.Send = append(effects.Send, more.Send...)
			effects.Replies = append(effects.Replies, more.Replies...)
			effects.WatchReplies = append(effects.WatchReplies, more.WatchReplies...)
			pending = more.Writes
		}
		for index := range effects.Send {
			effects.Send[index].After = 0
		}
		return effects
	}}
}

// leasesLong gives gateways leases of which the controller doesn't know.
func leasesLong(core *controller.Controller) tampered {
	return tampered{core, func(_ time.Duration, _ controller.Input, effects controller.Effects) controller.Effects {
		for index := range effects.WatchReplies {
			effects.WatchReplies[index].Answer.Lease *= 10
		}
		return effects
	}}
}

// hideFreezes takes the freezes out of what gateways are told. The controller's own table stays as it is.
func hideFreezes(effects controller.Effects) {
	for index, reply := range effects.WatchReplies {
		if reply.Answer.Table == nil {
			continue
		}
		table := *reply.Answer.Table
		table.Services = append([]feed.Service(nil), table.Services...)
		for service := range table.Services {
			table.Services[service].Frozen = false
		}
		effects.WatchReplies[index].Answer.Table = &table
	}
}

// hidesFreezes tells gateways nothing of a service that is being replaced.
func hidesFreezes(core *controller.Controller) tampered {
	return tampered{core, func(_ time.Duration, _ controller.Input, effects controller.Effects) controller.Effects {
		hideFreezes(effects)
		return effects
	}}
}

// namesAnother has another instance promoted than the one that was chosen.
func namesAnother(core *controller.Controller) tampered {
	return tampered{core, func(_ time.Duration, _ controller.Input, effects controller.Effects) controller.Effects {
		for index, call := range effects.PlatformCalls {
			if call.InstanceID == "db3" {
				effects.PlatformCalls[index].InstanceID = "db2"
			}
		}
		return effects
	}}
}

// callsAgain repeats each call to the platform two seconds later, and once more.
func callsAgain(core *controller.Controller) tampered {
	var made []failover.PlatformCall
	var due time.Duration
	return tampered{core, func(now time.Duration, _ controller.Input, effects controller.Effects) controller.Effects {
		if len(effects.PlatformCalls) > 0 {
			made, due = effects.PlatformCalls, now+4*time.Second
		}
		if len(made) > 0 && now >= due {
			effects.PlatformCalls = append(effects.PlatformCalls, made...)
			made = nil
		}
		return effects
	}}
}

// tellsOld hands gateways the first configuration with each new table.
func tellsOld(core *controller.Controller) tampered {
	return tampered{core, func(_ time.Duration, _ controller.Input, effects controller.Effects) controller.Effects {
		for index, reply := range effects.WatchReplies {
			if reply.Answer.Table == nil || reply.Answer.Table.ConfigurationNumber <= 10 {
				continue
			}
			table := *reply.Answer.Table
			table.ConfigurationNumber, table.Configuration = 10, nil
			effects.WatchReplies[index].Answer.Table = &table
		}
		return effects
	}}
}

// staysSilent answers no order.
func staysSilent(core *controller.Controller) tampered {
	return tampered{core, func(_ time.Duration, input controller.Input, effects controller.Effects) controller.Effects {
		effects.Replies = nil
		return effects
	}}
}

// forgetsDrains acknowledges that an instance leaves, keeps the primary where it is, and gives gateways all the time in the world.
func forgetsDrains(core *controller.Controller) tampered {
	return tampered{core, func(_ time.Duration, input controller.Input, effects controller.Effects) controller.Effects {
		effects.PlatformCalls = nil
		hideFreezes(effects)
		for _, reply := range effects.WatchReplies {
			for drain := range reply.Answer.Drains {
				reply.Answer.Drains[drain].Left = time.Hour
			}
		}
		return effects
	}}
}

// TestJudgeFinds shows that the judge finds control code that breaks a rule: the same days are kept whole by the real one.
func TestJudgeFinds(t *testing.T) {
	cases := []struct {
		name   string
		tamper tampering
		rules  []string // one of them must be reported
		day    string
	}{
		{"says yes", saysYes, []string{ruleConfig, ruleLost, ruleLinear}, `
at 5s order 10 content a
at 8s race 11 content b and c to c1,c2
at 10s order 12 content !timeout`},
		{"hands out old", handsOutOld, []string{ruleLinear}, `
at 5s order 10 content a
at 10s order 11 content b`},
		{"forgets taken numbers", forgetsTaken, []string{ruleConfig}, `
at 5s order 10 content a
at 8s again 10 to c1
at 8.1s again 10 to c2
at 8.2s again 10 to c3`},
		{"syncs nothing", syncsNothing, []string{ruleLost, ruleLinear}, `
disk 50ms
at 5s order 10 content a
at 10s order 11 content b
on ack 11 power core for 1s loses all`},
		{"leases of which it doesn't know", leasesLong, []string{ruleStale, ruleOne}, `
gateways 3
clients 9
at 5s order 10 content a
at 10s cut g1 from core for 15s
at 10.5s cut leader:db from core,g2,g3,replicas:db for 12s`},
		{"hides freezes", hidesFreezes, []string{ruleStale, ruleOne, ruleLost}, `
gateways 3
clients 30
at 5s order 10 content a
at 9s slow g1 to core by 400ms for 20s
at 10s cut leader:db from core,replicas:db for 12s`},
		{"has another promoted", namesAnother, []string{ruleLost}, `
at 5s order 10 content a
at 10s cut db2 from db1 for 5s
at 12s crash db1 for 12s`},
		{"calls again", callsAgain, []string{ruleDuty}, `
at 5s order 10 content a
at 10s crash leader:db for 12s`},
		{"tells gateways old configurations", tellsOld, []string{ruleConfig}, `
at 5s order 10 content a
at 10s order 11 content b`},
		{"stays silent", staysSilent, []string{ruleAcks, ruleAnswer}, `
at 8s order 10 content a`},
		{"forgets drains", forgetsDrains, []string{ruleDrain}, `
at 5s order 10 content a
at 10s drain leader:db`},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			plan, err := Parse(one.name, "length 40s\n"+one.day)
			is.NoErr(err)
			is.Equal(breaksOf(plan, realCore), map[string]bool{}) // the real one keeps all rules
			found := breaksOf(plan, tamperedCore(one.tamper))
			hit := false
			for _, rule := range one.rules {
				hit = hit || found[rule]
			}
			if !hit {
				t.Errorf("the judge should have found one of %v; it found %v", one.rules, found)
			}
		})
	}
}

// judgedSeeds are played for each case.
const judgedSeeds = 4

func breaksOf(plan Plan, newCore NewCore) map[string]bool {
	found := map[string]bool{}
	for seed := uint64(1); seed <= judgedSeeds; seed++ {
		for _, one := range Play(plan, seed, newCore, false).Breaks {
			found[one.Rule] = true
		}
	}
	return found
}
