package gateway

import (
	"sync/atomic"
	"time"
)

// How long idle connections of tenants are kept. An instance's limit counts the connections of all gateways, whose
// number no gateway knows, and each gateway keeps some for each tenant; so only time bounds their sum. A new connection
// costs a slot for some milliseconds, while one beyond the limit costs a refusal, so the times are short.
const (
	// maxLiveTime is how long a connection is kept whose last session is still open, if it is among the fullyKept most
	// recently used ones. Most of these sessions send another statement within it. At a quiet instance a gateway has no
	// more than these; at a busy one it has more, and the others are kept for surplusTime.
	maxLiveTime = 8 * time.Second
	fullyKept   = 2
	surplusTime = time.Second
	// minLiveTime is the lower bound of that time at an instance that is always at its limit. Even there a connection
	// outlives the pause between a failed try and the next.
	minLiveTime = 250 * time.Millisecond
	// endedTime is how long a connection is kept whose last session has ended. Another session of the same tenant
	// seldom needs one so soon.
	endedTime = 500 * time.Millisecond
	// shortenPause is the time within which several refusals count as one, since those in progress together have the
	// same cause.
	shortenPause = 500 * time.Millisecond
	// lengthenInterval and lengthenBy are how often and by how much the time grows again. It grows slowly, so that the
	// instance is seldom at its limit.
	lengthenInterval = 10 * time.Second
	lengthenBy       = 500 * time.Millisecond
)

// retention decides how long idle connections of tenants are kept at one instance. An instance at its limit halves the
// time at each gateway that it refuses. It has no clock: now is the monotonic time since the start.
type retention struct {
	liveTime     time.Duration
	changedAt    time.Duration
	wasShortened bool // since the start
}

func newRetention() retention { return retention{liveTime: maxLiveTime} }

// shorten records that the instance was at its limit.
func (r *retention) shorten(now time.Duration) {
	if r.wasShortened && now < r.changedAt+shortenPause {
		return
	}
	r.wasShortened, r.changedAt = true, now
	r.liveTime = max(minLiveTime, r.liveTime/2)
}

// lengthen lets the time grow again if the instance hasn't been at its limit for a while.
func (r *retention) lengthen(now time.Duration) {
	if r.liveTime == maxLiveTime || now < r.changedAt+lengthenInterval {
		return
	}
	r.changedAt = now
	r.liveTime = min(maxLiveTime, r.liveTime+lengthenBy)
}

// keepTime returns how long a connection is kept. isLive tells whether the session that used it last is still open;
// newer is how many idle connections of open sessions have been used since.
func (r *retention) keepTime(isLive bool, newer int) time.Duration {
	switch {
	case !isLive:
		return min(r.liveTime, endedTime)
	case newer >= fullyKept:
		return min(r.liveTime, surplusTime)
	}
	return r.liveTime
}

// liveness tells whether the session that used a connection last is still open.
type liveness struct{ ended atomic.Bool }

func (l *liveness) end() { l.ended.Store(true) }

// isLive reports whether the session is still open; it is false for nil, which stands for no session.
func (l *liveness) isLive() bool { return l != nil && !l.ended.Load() }
