package gateway

import (
	"sync/atomic"
	"time"
)

// How long idle connections of tenants are kept. An instance's connections are counted over all gateways, whose number none of them knows, and
// each keeps some for each tenant: so it is time that bounds their sum. A new connection costs a slot for some milliseconds, one beyond the
// limit costs a refusal: the bounds are far on the side of the former.
const (
	// wantedTime is how long a connection is kept whose last session is still open, as long as it is among the wantedKept that were used last:
	// most of these sessions ask again within it. At a quiet instance these are all that there are; at a busy one a gateway has
	// more, and the others are kept for surplusTime.
	maxLiveTime = 8 * time.Second
	fullyKept   = 2
	surplusTime = time.Second
	// wantedLeast is what is left of it where an instance is at its limit all the time: even then a connection outlives the pause between a
	// try that failed and the next.
	minLiveTime = 250 * time.Millisecond
	// unwantedTime is how long one is kept whose last session has ended: another of the same tenant seldom asks so soon.
	endedTime = 500 * time.Millisecond
	// shortenPause is within what refusals count as one sign: those that are under way together say the same.
	shortenPause = 500 * time.Millisecond
	// lengthenEvery and lengthenBy are how the time grows again: the limit is to be met seldom, not approached again at once.
	lengthenInterval = 10 * time.Second
	lengthenBy       = 500 * time.Millisecond
)

// retention says how long idle connections of tenants are kept at one instance. An instance that is at its limit halves the time at each
// gateway that it refuses. It knows no clock: now is the steady time.
type retention struct {
	liveTime     time.Duration
	changedAt    time.Duration
	wasShortened bool // since the start
}

func newRetention() retention { return retention{liveTime: maxLiveTime} }

// refused notes that the instance was at its limit.
func (r *retention) shorten(now time.Duration) {
	if r.wasShortened && now < r.changedAt+shortenPause {
		return
	}
	r.wasShortened, r.changedAt = true, now
	r.liveTime = max(minLiveTime, r.liveTime/2)
}

// lengthen lets the time grow again, if the instance hasn't been at its limit for long.
func (r *retention) lengthen(now time.Duration) {
	if r.liveTime == maxLiveTime || now < r.changedAt+lengthenInterval {
		return
	}
	r.changedAt = now
	r.liveTime = min(maxLiveTime, r.liveTime+lengthenBy)
}

// keep is how long a connection is kept that was used last by a session that is still open, or isn't; newer is how many of the former kind have
// been used since.
func (r *retention) keepTime(isLive bool, newer int) time.Duration {
	switch {
	case !isLive:
		return min(r.liveTime, endedTime)
	case newer >= fullyKept:
		return min(r.liveTime, surplusTime)
	}
	return r.liveTime
}

// interest is a session's interest in the connections that it has used.
type liveness struct{ ended atomic.Bool }

func (i *liveness) end() { i.ended.Store(true) }

// lasts tells whether the session is still open; nobody's interest never lasts.
func (i *liveness) isLive() bool { return i != nil && !i.ended.Load() }
