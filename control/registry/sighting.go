package registry

import "time"

// restartEvidence is how long late beats must come with rising numbers before they show that the instance counts anew.
// Callers give a beat up after a second, so one held up on its way is late by little more than that.
const restartEvidence = 2 * time.Second

// sighting is what the primary remembers of an instance and the control state doesn't hold.
type sighting struct {
	heard   time.Duration // last evidence of life
	kept    time.Duration // until then it isn't taken for lost, whether it was heard or not
	highest uint64        // callSeq
	counted bool          // a beat was taken: highest holds
	anew    newCount
}

// newCount follows late beats that may be the first of a count that began again.
type newCount struct {
	begun  bool
	since  time.Duration
	last   uint64
	warmed bool // one of its beats said that the instance was warming up
}

// follow takes a late beat and tells whether the count has begun again.
func (n *newCount) follow(now time.Duration, callSeq uint64, warming bool) bool {
	if !n.begun || callSeq <= n.last {
		*n = newCount{begun: true, since: now, last: callSeq, warmed: warming}
		return false
	}
	n.last = callSeq
	n.warmed = n.warmed || warming
	return now-n.since >= restartEvidence
}

// take remembers a beat that counts.
func (s *sighting) take(now time.Duration, callSeq uint64) {
	s.heard = now
	s.highest = callSeq
	s.counted = true
	s.anew = newCount{}
}
