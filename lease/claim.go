package lease

// This file owns a candidate's part for one slot of a task: what members have granted it, and until when it may act. It
// must never count from later than it asked, nor act under a token that a quorum has not noted.

import (
	"math"
	"slices"
)

// claim is a candidate's state. Votes stand in the order of the members of all councils in force.
type claim struct {
	me     who
	began  float64 // what was asked before counts no more
	token  uint64  // chosen; 0: not yet
	top    uint64  // the newest token known to this router
	seen   uint64  // the newest that members have told since the claim began
	after  uint64  // what that was when token was chosen
	held   bool
	votes  []vote
	quorum [][]int // for each set of routers the indices of its council's votes
}

// vote is what a member has granted.
type vote struct {
	serial uint64
	at     float64 // of the question that its newest answer was to
	until  float64 // its grant runs by our count
	stored float64 // it has noted our token, and its grant runs so long
	free   float64 // it may grant from then on, if it refused
}

// ask tells what to ask a member.
func (c *claim) ask(i int, now float64) asking {
	return asking{from: c.me, at: now, token: c.token, serial: c.votes[i].serial}
}

// answered takes a member's answer.
func (c *claim) answered(i int, a granting, now, hold float64, g guards) {
	c.lapse(now, g)
	if g.echo && (a.to != c.me || a.at < c.began) {
		return
	}
	c.top, c.seen = max(c.top, a.token), max(c.seen, a.token)
	v := &c.votes[i]
	if a.at >= v.at {
		v.at, v.serial = a.at, a.serial
	}
	if !a.granted {
		v.until, v.stored, v.free = 0, 0, now+a.left
		return
	}
	from := a.at
	if !g.echo {
		from = now
	}
	v.until = max(v.until, from+hold)
	if a.stored && a.token == c.token && c.token > 0 {
		v.stored = max(v.stored, from+hold)
	}
	if g.anew && c.token > 0 && !c.held && a.token > c.token {
		// This member will not note ours, and who was to instead of it may be gone: grants that are only renewed would keep
		// the task from all for ever. We have not acted under it, so another does as well.
		c.drop()
	}
	if c.token == 0 && now < c.until(func(v vote) float64 { return v.until }, g) {
		c.token, c.after = c.top+1, c.seen
		c.top = c.token
	}
	if now < c.ends(g) {
		c.held = true
	}
}

// until tells up to when a quorum of every council lasts, by what a vote is good for.
func (c *claim) until(of func(vote) float64, g guards) float64 {
	least := math.Inf(1)
	for k, council := range c.quorum {
		if k > 0 && !g.joint {
			break
		}
		ends := make([]float64, len(council))
		for j, i := range council {
			ends[j] = of(c.votes[i])
		}
		slices.Sort(ends)
		least = min(least, ends[(len(ends)-1)/2]) // as many and one more end then or later
	}
	return least
}

// heard tells when the newest question was put that a quorum has answered, in whatever way.
func (c *claim) heard() float64 { return c.until(func(v vote) float64 { return v.at }, allGuards) }

// ends tells until when this router may act.
func (c *claim) ends(g guards) float64 {
	if c.token == 0 {
		return 0
	}
	return c.until(func(v vote) float64 {
		if !g.stored {
			return v.until
		}
		return v.stored
	}, g)
}

// holds tells whether this router may act now.
func (c *claim) holds(now float64, g guards) bool {
	c.lapse(now, g)
	return c.held && (now < c.ends(g) || !g.hold)
}

// lapse drops a token whose grants have run out: another may have held the task since.
func (c *claim) lapse(now float64, g guards) {
	if !g.lapse || c.token == 0 {
		return
	}
	if now >= c.until(func(v vote) float64 { return v.until }, g) || c.held && now >= c.ends(g) {
		c.drop()
	}
}

func (c *claim) drop() {
	c.token, c.held, c.seen = 0, false, 0
	for i := range c.votes {
		c.votes[i].stored = 0
	}
}

// raise takes news of a token that some router obeys. Where ours is no newer, we go on under one that is once a quorum
// has noted it: the council had forgotten.
func (c *claim) raise(top uint64) {
	c.top = max(c.top, top)
	if c.token > 0 && c.token <= top {
		c.drop()
		c.token = c.top + 1
		c.top = c.token
	}
}

// release ends the claim and tells which members have granted it something.
func (c *claim) release(now float64) (granted []int) {
	for i := range c.votes {
		if c.votes[i].until > 0 {
			granted = append(granted, i)
		}
		c.votes[i].until = 0
	}
	c.drop()
	c.began = math.Nextafter(now, math.Inf(1))
	return granted
}

// blocked tells whether members that refused leave no quorum, and when one may be free.
func (c *claim) blocked(now float64) (bool, float64) {
	latest := now
	for _, council := range c.quorum {
		frees := make([]float64, len(council))
		for j, i := range council {
			if v := c.votes[i]; now >= v.until {
				frees[j] = v.free
			}
		}
		slices.Sort(frees)
		latest = max(latest, frees[len(frees)/2])
	}
	return latest > now, latest
}
