package gossip

// This file limits what incoming traffic can trigger: how many bytes are processed, how often two processes of one name are
// told of each other, and how often the member list is requested because a peer has a newer one. It never inspects the
// contents of a record.

import "math"

const (
	inboundMinPeers      = 4.0 // least number of peers that the byte limit allows for, so that an instance that restarts has room
	inboundBurst         = 8.0 // s of the peers' traffic that may arrive at once, after a pause of this process
	duplicateReportEvery = 5.0 // s between reports to two processes of one name
	listRequestEvery     = 2.0 // s between list requests caused by a peer's newer version: the watch mostly delivers it in half of that
)

// InboundLimit is a token bucket on the received bytes that are processed; its rate is what all trusted peers together may send.
// Its first call fills it with the bytes of one second.
type InboundLimit struct {
	BytesPerPeer float64 // bytes per second of each peer
	credit       float64
	filledAt     float64
	started      bool
}

// Allow reports whether a datagram of n bytes may be processed, given the number of trusted peers.
func (i *InboundLimit) Allow(n, peers int, now float64) bool {
	rate := i.BytesPerPeer * math.Max(inboundMinPeers, float64(peers))
	if !i.started {
		i.started, i.credit, i.filledAt = true, rate, now
	}
	i.credit = math.Min(rate*inboundBurst, i.credit+rate*math.Max(0, now-i.filledAt))
	i.filledAt = now
	if i.credit < float64(n) {
		return false
	}
	i.credit -= float64(n)
	return true
}

// AllowDuplicateReport reports whether two processes under a peer's name are to be told of each other now, and starts the pause
// until the next report. It is false for a peer that is no longer remembered: that one has no duplicate either.
func (n *Node) AllowDuplicateReport(index int, now float64) bool {
	p := n.peerAt(index)
	if p == nil || now < p.duplicateQuietUntil {
		return false
	}
	p.duplicateQuietUntil = now + duplicateReportEvery
	return true
}

// needsList reports whether to request the member list because a peer has a newer version: once for each version, and at most
// every listRequestEvery, so that a peer that makes up versions causes few calls.
func (n *Node) needsList(version int64, now float64) bool {
	if version <= n.listVersion || version <= n.requestedVersion || now < n.nextListRequest {
		return false
	}
	n.requestedVersion, n.nextListRequest = version, now+listRequestEvery
	if version > n.listVersion+maxVersionLeap {
		n.requestedVersion = n.listVersion // a made-up version must not hide the real ones below it
	}
	return true
}

// maxVersionLeap is how far ahead of ours a version may be and still be taken for one that exists.
const maxVersionLeap = 1000
