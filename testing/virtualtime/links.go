package virtualtime

import (
	"slices"
	"strings"
)

// Link is one way between two machines: from, to.
type Link [2]string

// Links tells which links are cut.
type Links map[Link]bool

// Set cuts or joins what a scenario names: A>B is one way, A-B both ways.
func (l Links) Set(name string, cut bool) {
	from, to, oneWay := strings.Cut(name, ">")
	if !oneWay {
		from, to, _ = strings.Cut(name, "-")
		l[Link{to, from}] = cut
	}
	l[Link{from, to}] = cut
}

// Isolate cuts some machines from all others, both ways.
func (l Links) Isolate(some, all []string) {
	for _, one := range all {
		for _, other := range all {
			if slices.Contains(some, one) != slices.Contains(some, other) {
				l[Link{one, other}] = true
			}
		}
	}
}
