package simulation

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Parse reads the plan of a day. Each line is a comment (#), a figure of the plan, an action or an expectation:
//
//	controllers 5            machines of the core, named c1, c2, ...
//	tolerance 1              faultTolerance.machines
//	seeds c1 c2 c3           the first three if left out
//	gateways 2               named g1, g2, ...
//	clients 3
//	tenants 3 rate 40 burst 30   named t1, t2, t3; t1 has the key t1-key1; without a rate: no limit
//	revoke 0s                within which keys that were taken away bind all machines; 0s: those in touch
//	service db 3 sync 1      instances db1, db2, db3; db1 is primary
//	length 40s
//	disk 5ms                 of a sync
//	promote 600ms            from the call to its effect
//	fencechecked no
//	conditions loss 1% duplicate 1% reorder 5ms
//	runs 1..8                seeds of chance
//	at 10s ACTION            at that moment of the day
//	on EVENT [+2s] ACTION    once, at the first such event (see World.fire)
//	expect ...               see expectations.go
//
// Actions are listed in actions.go.
func Parse(name, text string) (Plan, error) {
	plan := NewPlan()
	plan.Name = name
	for number, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := plan.take(words, strings.TrimSpace(line)); err != nil {
			return Plan{}, eris.Wrapf(err, "%s:%d: %s", name, number+1, line)
		}
	}
	plan.complete()
	return plan, nil
}

func (p *Plan) complete() {
	if len(p.Services) == 0 {
		p.Services = []ServicePlan{{Name: "db", Instances: 3, Sync: 1}}
	}
	for index := 0; len(p.Seeds) < min(3, p.Controllers); index++ {
		p.Seeds = append(p.Seeds, "c"+strconv.Itoa(index+1))
	}
}

func (p *Plan) take(words []string, line string) error {
	rest := words[1:]
	if len(rest) == 0 {
		return eris.New("a value is wanted")
	}
	switch words[0] {
	case "at", "on":
		return p.takeItem(words, line)
	case "expect":
		p.Expectations = append(p.Expectations, Expectation{Words: rest, Text: line})
		return nil
	case "seeds":
		p.Seeds = rest
		return nil
	case "service":
		return p.takeService(rest)
	case "tenants":
		return p.takeTenants(rest)
	case "conditions":
		return p.takeConditions(rest)
	case "runs":
		return p.takeRuns(rest)
	}
	if len(rest) != 1 {
		return eris.New("one value is wanted")
	}
	return p.takeFigure(words[0], rest[0])
}

func (p *Plan) takeFigure(name, value string) error {
	numbers := map[string]*int{
		"controllers": &p.Controllers, "tolerance": &p.Tolerance, "gateways": &p.Gateways, "clients": &p.Clients,
		"busyprobes": &p.BusyProbes,
	}
	times := map[string]*time.Duration{
		"length": &p.Length, "disk": &p.DiskSync, "promote": &p.PromoteTime, "revoke": &p.Bounds.Revoke, "beat": &p.BeatInterval, "warmup": &p.Warmup,
	}
	var err error
	switch {
	case numbers[name] != nil:
		*numbers[name], err = strconv.Atoi(value)
	case times[name] != nil:
		*times[name], err = time.ParseDuration(value)
	case name == "fencechecked":
		p.FenceChecked = value == "yes"
	case name == "renumber":
		p.Renumber = value == "yes"
	default:
		return eris.Errorf("unknown word %q", name)
	}
	return err
}

func (p *Plan) takeService(words []string) error {
	if len(words) < 2 {
		return eris.New("service NAME INSTANCES [sync N]")
	}
	count, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	made := ServicePlan{Name: words[0], Instances: count, Sync: 1}
	if len(words) == 4 && words[2] == "sync" {
		if made.Sync, err = strconv.Atoi(words[3]); err != nil {
			return err
		}
	}
	p.Services = append(p.Services, made)
	return nil
}

func (p *Plan) takeTenants(words []string) error {
	count, err := strconv.Atoi(words[0])
	if err != nil {
		return err
	}
	p.Tenants.Count = count
	for index := 1; index+1 < len(words); index += 2 {
		figure := map[string]*float64{"rate": &p.Tenants.Rate, "burst": &p.Tenants.Burst}[words[index]]
		if figure == nil {
			return eris.Errorf("unknown figure %q", words[index])
		}
		if *figure, err = strconv.ParseFloat(words[index+1], 64); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) takeConditions(words []string) error {
	for index := 0; index+1 < len(words); index += 2 {
		var err error
		switch words[index] {
		case "loss":
			p.Conditions.Loss, err = parseShare(words[index+1])
		case "duplicate":
			p.Conditions.Duplicate, err = parseShare(words[index+1])
		case "reorder":
			p.Conditions.Reorder, err = time.ParseDuration(words[index+1])
		default:
			err = eris.Errorf("unknown condition %q", words[index])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func parseShare(text string) (float64, error) {
	value, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	if strings.HasSuffix(text, "%") {
		value /= 100
	}
	return value, err
}

func (p *Plan) takeRuns(words []string) error {
	from, to, isRange := strings.Cut(words[0], "..")
	if !isRange {
		to = from
	}
	first, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		return err
	}
	last, err := strconv.ParseUint(to, 10, 64)
	if err != nil {
		return err
	}
	p.Runs = nil
	for run := first; run <= last; run++ {
		p.Runs = append(p.Runs, run)
	}
	return nil
}

func (p *Plan) takeItem(words []string, line string) error {
	item := Item{Text: line}
	rest := words[1:]
	if words[0] == "at" {
		at, err := time.ParseDuration(rest[0])
		if err != nil {
			return err
		}
		item.At = at
		rest = rest[1:]
	} else {
		if len(rest) < 3 {
			return eris.New("on EVENT WHAT [+DELAY] ACTION")
		}
		item.On = rest[0] + " " + rest[1]
		rest = rest[2:]
		if strings.HasPrefix(rest[0], "+") {
			after, err := time.ParseDuration(rest[0][1:])
			if err != nil {
				return err
			}
			item.At = after
			rest = rest[1:]
		}
	}
	if len(rest) == 0 {
		return eris.New("an action is wanted")
	}
	item.Action = rest
	if actions[rest[0]] == nil {
		return eris.Errorf("unknown action %q", rest[0])
	}
	p.Items = append(p.Items, item)
	return nil
}
