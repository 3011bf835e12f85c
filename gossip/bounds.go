package gossip

// This file owns the bounds on what comes in: how many bytes are looked at, how often two processes of one name are told
// of each other, and how often the member list is asked for because a peer has a newer one. It must never look into a
// record.

import "math"

const (
	inboundMinPeers      = 4.0 // peers whose bytes are looked at however few are trusted: room for an instance that starts anew
	inboundBurst         = 8.0 // s of the peers' bytes that may come at once, after a pause of this process
	duplicateReportEvery = 5.0 // s between messages to two processes of one name
	listRequestEvery     = 2.0 // s between requests for the list for a peer's newer version: a watch brings it in half of that, mostly
)

// InboundLimit bounds the bytes that are looked at, by what all who are trusted may send. The zero value is empty at first.
type InboundLimit struct {
	BytesPerPeer float64 // a second, of each peer
	credit       float64
	filledAt     float64
	begun        bool
}

// Allow tells whether a datagram of n bytes is looked at, with so many peers trusted.
func (i *InboundLimit) Allow(n, peers int, now float64) bool {
	rate := i.BytesPerPeer * math.Max(inboundMinPeers, float64(peers))
	if !i.begun {
		i.begun, i.credit, i.filledAt = true, rate, now
	}
	i.credit = math.Min(rate*inboundBurst, i.credit+rate*math.Max(0, now-i.filledAt))
	i.filledAt = now
	if i.credit < float64(n) {
		return false
	}
	i.credit -= float64(n)
	return true
}

// AllowDuplicateReport tells whether two processes under a peer's name are to be told of each other now. A peer that was forgotten has
// no such bound: it has no duplicate either.
func (n *Node) AllowDuplicateReport(who int, now float64) bool {
	p := n.peerAt(who)
	if p == nil || now < p.duplicateQuietUntil {
		return false
	}
	p.duplicateQuietUntil = now + duplicateReportEvery
	return true
}

// needsList tells whether the list is to be asked for, since a peer has a newer version: once for each version, and not too
// often, so that a peer that makes versions up brings about a call now and then at most.
func (n *Node) needsList(rev int64, now float64) bool {
	if rev <= n.listVersion || rev <= n.requestedVersion || now < n.nextListRequest {
		return false
	}
	n.requestedVersion, n.nextListRequest = rev, now+listRequestEvery
	if rev > n.listVersion+maxVersionLeap {
		n.requestedVersion = n.listVersion // a leap that may be made up must not hide the versions below it
	}
	return true
}

// maxVersionLeap is how far ahead a version may be to be taken for one that exists.
const maxVersionLeap = 1000
