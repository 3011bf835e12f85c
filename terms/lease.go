package terms

// This file owns the section lease of our own settings.

import (
	"cmp"
	"fmt"
	"strings"

	"eiderway/lease"
)

// Lease is the section of tasks that one router of the tier does at a time. Routers and Former change on SIGHUP.
type Lease struct {
	Terms lease.Terms  // without what the configuration says: Me, Life and Seed; Routers 0: all peers
	List  *LeasedList  // nil: each router watches the list for itself
	Drain *LeasedDrain // nil: a drain by hand waits for nobody
}

// LeasedList has one router of a zone watch the list for the others.
type LeasedList struct {
	Quiet float64 // s without a word after which a router watches for itself
	Pace  float64 // calls a second that discovery bears from all of them
	Every float64 // s between words
}

// LeasedDrain bounds how many routers of a zone drain at a time.
type LeasedDrain struct{ Slots int }

type leaseFile struct {
	Span       string   `yaml:"span"`
	Drift      *float64 `yaml:"drift"`
	LongestWay string   `yaml:"longest_way"`
	Council    *int     `yaml:"council"`
	Routers    int      `yaml:"routers"`
	Former     int      `yaml:"former"`
	Bytes      string   `yaml:"bytes"`
	List       *struct {
		Quiet string   `yaml:"quiet"`
		Pace  *float64 `yaml:"pace"`
		Every string   `yaml:"every"`
	} `yaml:"list"`
	Drain *struct {
		Slots *int `yaml:"slots"`
	} `yaml:"drain"`
	Tasks []struct {
		Name     string `yaml:"name"`
		Slots    *int   `yaml:"slots"`
		Every    string `yaml:"every"`
		Standing bool   `yaml:"standing"`
	} `yaml:"tasks"`
}

const (
	mostCouncil = 9
	mostTasks   = 32
	mostSlots   = 16
	mostDrift   = 0.2
	spanMargin  = 0.1     // of a span, kept free beyond two of the longest ways
	leastBytes  = 4 << 10 // a second: a few tasks' renewals
	mostBytes   = 16 << 20
	mostPace    = 100_000 // calls a second
)

// or gives what a pointer points to, or else a default.
func or[T any](p *T, d T) T {
	if p == nil {
		return d
	}
	return *p
}

// lease reads the section lease.
func (d *doc) lease(f *leaseFile) *Lease {
	l := &Lease{}
	t := &l.Terms
	t.Span = d.span(".lease.span", cmp.Or(f.Span, "3s"), 0.05)
	t.Drift = or(f.Drift, 0.01)
	if t.Drift < 0 || t.Drift > mostDrift {
		d.wrong(".lease.drift", "%g is no share from 0 to %g", t.Drift, mostDrift)
	}
	way := d.span(".lease.longest_way", cmp.Or(f.LongestWay, "250ms"), 0.0001)
	if hold := t.Span * (1 - t.Drift) / (1 + t.Drift); d.err == nil && hold < 2*way+spanMargin*t.Span {
		d.wrong(".lease.span", "%s, counted as %.3gs by a holder, is shorter than twice the longest way (%gs) and a tenth", cmp.Or(f.Span, "3s"), hold, way)
	}
	t.Council = or(f.Council, 5)
	if t.Council < 1 || t.Council > mostCouncil || t.Council%2 == 0 {
		d.wrong(".lease.council", "%d is no odd number from 1 to %d: half of an even council decides nothing", t.Council, mostCouncil)
	}
	t.Routers, t.Former = f.Routers, f.Former
	if f.Routers < 0 || f.Routers > mostMembers {
		d.wrong(".lease.routers", "%d is no number of routers from 0 (all peers) to %d", f.Routers, mostMembers)
	}
	if f.Former < 0 || f.Former > mostMembers {
		d.wrong(".lease.former", "%d is no number of routers from 0 (none) to %d", f.Former, mostMembers)
	}
	if f.Former > 0 && f.Former == f.Routers {
		d.wrong(".lease.former", "the former set is the one in force; leave it out")
	}
	t.Bytes = float64(d.size(".lease.bytes", cmp.Or(f.Bytes, "64KiB"), leastBytes, mostBytes))
	if f.List != nil {
		l.List = &LeasedList{Quiet: d.span(".lease.list.quiet", cmp.Or(f.List.Quiet, "4s"), 0.1), Pace: or(f.List.Pace, 50),
			Every: d.span(".lease.list.every", cmp.Or(f.List.Every, "1s"), 0.02)}
		if l.List.Pace <= 0 || l.List.Pace > mostPace {
			d.wrong(".lease.list.pace", "%g is no number of calls a second over 0 and up to %d", l.List.Pace, mostPace)
		}
		if d.err == nil && l.List.Quiet < 2*l.List.Every {
			d.wrong(".lease.list.quiet", "shorter than two words of the holder: one that is lost would have all routers ask")
		}
	} else if d.has(".lease.list") {
		d.wrong(".lease.list", "the section is empty; {} stands for its defaults")
	}
	if f.Drain != nil {
		l.Drain = &LeasedDrain{Slots: or(f.Drain.Slots, 1)}
		if l.Drain.Slots < 1 || l.Drain.Slots > mostSlots {
			d.wrong(".lease.drain.slots", "%d is no number from 1 to %d", l.Drain.Slots, mostSlots)
		}
	} else if d.has(".lease.drain") {
		d.wrong(".lease.drain", "the section is empty; {} stands for its defaults")
	}
	if len(f.Tasks) > mostTasks {
		d.wrong(".lease.tasks", "at most %d tasks", mostTasks)
	}
	seen := map[string]bool{}
	for i, x := range f.Tasks {
		at := fmt.Sprintf(".lease.tasks[%d]", i)
		if x.Name == "" || len(x.Name) > longestName || seen[x.Name] || strings.ContainsAny(x.Name, "/# \t\n") {
			d.wrong(at, "a task needs a name of its own, of at most %d bytes, without space, / and #", longestName)
		}
		seen[x.Name] = true
		k := lease.Task{Name: x.Name, Slots: or(x.Slots, 1), Standing: x.Standing}
		if k.Slots < 1 || k.Slots > mostSlots {
			d.wrong(at+".slots", "%d is no number from 1 to %d", k.Slots, mostSlots)
		}
		if x.Every != "" && x.Every != "0s" {
			k.Every = d.span(at+".every", x.Every, 0.01)
		}
		t.Tasks = append(t.Tasks, k)
	}
	return l
}
