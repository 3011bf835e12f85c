package simulation

import (
	"math/rand/v2"
	"time"
)

// Figures of a healthy network.
const (
	linkDelay  = 800 * time.Microsecond // one way, between zones of one region
	linkJitter = 600 * time.Microsecond // at most, on top
	// keptByCut is the share of cut links whose held-up bytes arrive after the cut; the others lose them.
	keptByCut = 0.5
)

// Conditions of all links beyond what single troubles do to some.
type Conditions struct {
	Loss      float64       // share of messages that are lost
	Duplicate float64       // share that arrives twice
	Reorder   time.Duration // at most; messages are delayed at random by so much and may overtake each other
}

type linkEnds struct{ from, to string }

// link is one direction between two hosts.
type link struct {
	cuts     int           // troubles that cut it now
	refusing int           // those of them that answer new connections with resets
	held     []func()      // sent into the cut
	latest   time.Duration // arrival of the last message: bytes of one connection don't overtake each other
	slow     time.Duration // extra delay
	troubled time.Duration // when a trouble began or ended here last
	resets   int           // of its connections
}

// network carries messages between hosts. Hosts are known by name.
type network struct {
	schedule   *schedule
	random     *rand.Rand
	links      map[linkEnds]*link
	conditions Conditions
	cutLinks   int // directions that are cut now
	slowLinks  int
}

func newNetwork(schedule *schedule, random *rand.Rand) *network {
	return &network{schedule: schedule, random: random, links: map[linkEnds]*link{}}
}

func (n *network) link(from, to string) *link {
	ends := linkEnds{from: from, to: to}
	found := n.links[ends]
	if found == nil {
		found = &link{troubled: -time.Hour}
		n.links[ends] = found
	}
	return found
}

// send hands deliver to the schedule for the moment of arrival, if there is one.
func (n *network) send(from, to string, deliver func()) {
	way := n.link(from, to)
	if way.cuts > 0 {
		way.held = append(way.held, deliver)
		return
	}
	if n.conditions.Loss > 0 && n.random.Float64() < n.conditions.Loss {
		return
	}
	n.transmit(way, deliver)
	if n.conditions.Duplicate > 0 && n.random.Float64() < n.conditions.Duplicate {
		n.transmit(way, deliver)
	}
}

func (n *network) transmit(way *link, deliver func()) {
	arrival := n.schedule.now + linkDelay + way.slow + time.Duration(n.random.Int64N(int64(linkJitter)))
	if n.conditions.Reorder > 0 {
		arrival += time.Duration(n.random.Int64N(int64(n.conditions.Reorder)))
	} else {
		arrival = max(arrival, way.latest)
		way.latest = arrival
	}
	connection := way.resets
	n.schedule.at(arrival, func() {
		if way.resets != connection {
			return
		}
		if way.cuts > 0 {
			way.held = append(way.held, deliver)
			return
		}
		deliver()
	})
}

// cut stops one direction until the returned function is called.
func (n *network) cut(from, to string) (join func()) {
	way := n.link(from, to)
	way.cuts++
	way.troubled = n.schedule.now
	n.cutLinks++
	return func() {
		way.cuts--
		way.troubled = n.schedule.now
		n.cutLinks--
		if way.cuts == 0 {
			n.release(way)
		}
	}
}

// refuse has a direction that is cut answer new connections with resets, until the returned function is called.
func (n *network) refuse(from, to string) (restore func()) {
	way := n.link(from, to)
	way.refusing++
	return func() { way.refusing-- }
}

// isRefused reports whether a new connection is answered with a reset by a cut.
func (n *network) isRefused(from, to string) bool { return n.link(from, to).refusing > 0 }

func (n *network) release(way *link) {
	held := way.held
	way.held = nil
	if n.random.Float64() >= keptByCut {
		return
	}
	for _, deliver := range held {
		n.transmit(way, deliver)
	}
}

// reset ends the connections of one direction: what is on its way or held up is lost.
func (n *network) reset(from, to string) {
	way := n.link(from, to)
	way.resets++
	way.held = nil
	way.troubled = n.schedule.now
}

// slow adds a delay to one direction until the returned function is called.
func (n *network) slow(from, to string, by time.Duration) (restore func()) {
	way := n.link(from, to)
	way.slow += by
	way.troubled = n.schedule.now
	n.slowLinks++
	return func() {
		way.slow -= by
		way.troubled = n.schedule.now
		n.slowLinks--
	}
}

// open tells whether bytes pass in both directions now.
func (n *network) open(one, other string) bool {
	return n.link(one, other).cuts == 0 && n.link(other, one).cuts == 0
}
