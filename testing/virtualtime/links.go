package virtualtime

import (
	"slices"
	"strings"
)

// Link is one direction of the connection between two machines: from, to.
type Link [2]string

// Links holds, for each link, whether it is cut. A link that is missing is intact.
type Links map[Link]bool

// Set cuts or restores the links that a scenario names: A>B means one direction, A-B both.
func (l Links) Set(name string, cut bool) {
	from, to, oneWay := strings.Cut(name, ">")
	if !oneWay {
		from, to, _ = strings.Cut(name, "-")
		l[Link{to, from}] = cut
	}
	l[Link{from, to}] = cut
}

// Isolate cuts the links between some machines and all others, in both directions. Links among these machines stay intact.
func (l Links) Isolate(some, all []string) {
	for _, one := range all {
		for _, other := range all {
			if slices.Contains(some, one) != slices.Contains(some, other) {
				l[Link{one, other}] = true
			}
		}
	}
}
