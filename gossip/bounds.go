package gossip

// This file owns the bounds on what comes in: how many bytes are looked at, how often two processes of one name are told
// of each other, and how often the member list is asked for because a peer has a newer one. It must never look into a
// record.

import "math"

const (
	inletLeast = 4.0 // peers whose bytes are looked at however few are trusted: room for an instance that starts anew
	inletGrace = 8.0 // s of the peers' bytes that may come at once, after a pause of this process
	twinsEvery = 5.0 // s between words to two processes of one name
	askEvery   = 2.0 // s between looks at the list for a peer's newer version: a watch brings it in half of that, mostly
)

// Inlet bounds the bytes that are looked at, by what all who are trusted may send. The zero value is empty at first.
type Inlet struct {
	Bytes  float64 // a second, of each peer
	left   float64
	filled float64
	begun  bool
}

// Allows tells whether a datagram of n bytes is looked at, with so many peers trusted.
func (i *Inlet) Allows(n, peers int, now float64) bool {
	rate := i.Bytes * math.Max(inletLeast, float64(peers))
	if !i.begun {
		i.begun, i.left, i.filled = true, rate, now
	}
	i.left = math.Min(rate*inletGrace, i.left+rate*math.Max(0, now-i.filled))
	i.filled = now
	if i.left < float64(n) {
		return false
	}
	i.left -= float64(n)
	return true
}

// Twins tells whether two processes under a peer's name are to be told of each other now. A peer that was forgotten has
// no such bound: it has no twin either.
func (m *Mill) Twins(who int, now float64) bool {
	p := m.at(who)
	if p == nil || now < p.twins {
		return false
	}
	p.twins = now + twinsEvery
	return true
}

// behind tells whether the list is to be asked for, since a peer has a newer version: once for each version, and not too
// often, so that a peer that makes versions up brings about a call now and then at most.
func (m *Mill) behind(rev int64, now float64) bool {
	if rev <= m.list || rev <= m.askedFor || now < m.askAt {
		return false
	}
	m.askedFor, m.askAt = rev, now+askEvery
	if rev > m.list+revLeap {
		m.askedFor = m.list // a leap that may be made up must not hide the versions below it
	}
	return true
}

// revLeap is how far ahead a version may be to be taken for one that exists.
const revLeap = 1000
