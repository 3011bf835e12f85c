package host

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// counterLogInterval is the time between two log lines of counters. A line costs processor time, so none is written while no counter has
// changed.
const counterLogInterval = 30 * time.Second

// counters count events since the start of the process.
type counters struct {
	orders, fetches, heartbeats, leaves, watches   atomic.Uint64
	relayed                                        atomic.Uint64 // watch requests of gateways that were relayed to the primary
	overloaded, unanswered, abandoned, lateReplies atomic.Uint64
	messagesDropped, connectionsRefused            atomic.Uint64
	diskWrites, diskFailures                       atomic.Uint64
	probes, platformCalls                          atomic.Uint64
	steps                                          atomic.Uint64 // not in reported: ticks raise it all the time
}

// namedCounter is a counter with its name in the log and in the metrics.
type namedCounter struct {
	name    string
	counter *atomic.Uint64
}

// reported returns the counters whose change causes a log line. All of them are also metrics.
func (c *counters) reported() []namedCounter {
	return []namedCounter{
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

// counterLog logs the counters at intervals. Only the goroutine of the loop uses it.
type counterLog struct {
	counters *counters
	log      logrus.FieldLogger
	due      time.Duration
	lastSum  uint64 // sum of the counters when the last line was written
}

// tick writes a line if one is due and a counter has changed.
func (l *counterLog) tick(now time.Duration) {
	if now < l.due {
		return
	}
	l.due = now + counterLogInterval
	reported := l.counters.reported()
	sum := uint64(0)
	for _, entry := range reported {
		sum += entry.counter.Load()
	}
	if sum == l.lastSum {
		return
	}
	l.lastSum = sum
	fields := logrus.Fields{"steps": l.counters.steps.Load()}
	for _, entry := range reported {
		if value := entry.counter.Load(); value > 0 {
			fields[entry.name] = value
		}
	}
	l.log.WithFields(fields).Info("counters")
}
