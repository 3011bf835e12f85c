package host

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// countersEvery is the time between two lines of counters. A line costs processor time, so it is left out while
// nothing has happened.
const countersEvery = 30 * time.Second

// counters of one life of the process.
type counters struct {
	orders, fetches, heartbeats, leaves, watches   atomic.Uint64
	relayed                                        atomic.Uint64 // gateways' questions that were passed on to the primary
	overloaded, unanswered, abandoned, lateReplies atomic.Uint64
	messagesDropped, connectionsRefused            atomic.Uint64
	diskWrites, diskFailures                       atomic.Uint64
	probes, platformCalls                          atomic.Uint64
	steps                                          atomic.Uint64 // not counted as news: they never rest
}

// count is a counter with its name in the log.
type count struct {
	name    string
	counter *atomic.Uint64
}

// news lists the counters that are worth a line when they change.
func (c *counters) news() []count {
	return []count{
		{"orders", &c.orders},
		{"fetches", &c.fetches},
		{"heartbeats", &c.heartbeats},
		{"leaves", &c.leaves},
		{"watches", &c.watches},
		{"relayed", &c.relayed},
		{"overloaded", &c.overloaded},
		{"unanswered", &c.unanswered},
		{"abandoned", &c.abandoned},
		{"late_replies", &c.lateReplies},
		{"messages_dropped", &c.messagesDropped},
		{"connections_refused", &c.connectionsRefused},
		{"disk_writes", &c.diskWrites},
		{"disk_failures", &c.diskFailures},
		{"probes", &c.probes},
		{"platform_calls", &c.platformCalls},
	}
}

// counterLog writes the counters now and then. It belongs to the loop.
type counterLog struct {
	counters *counters
	log      logrus.FieldLogger
	due      time.Duration
	last     uint64 // sum of the counters at the last line
}

// tick writes a line if one is due and something has changed.
func (l *counterLog) tick(now time.Duration) {
	if now < l.due {
		return
	}
	l.due = now + countersEvery
	news := l.counters.news()
	sum := uint64(0)
	for _, entry := range news {
		sum += entry.counter.Load()
	}
	if sum == l.last {
		return
	}
	l.last = sum
	fields := logrus.Fields{"steps": l.counters.steps.Load()}
	for _, entry := range news {
		if value := entry.counter.Load(); value > 0 {
			fields[entry.name] = value
		}
	}
	l.log.WithFields(fields).Info("counters")
}
