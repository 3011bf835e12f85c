package proxy

// This file owns the counters and prints them: on SIGUSR1 and at exit. It must never hold anything up.

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"eiderway/splitter"
)

type counters struct {
	log *logrus.Logger

	taken, committed, declined, rolledBack, left atomic.Int64 // txns
	malformed                                    atomic.Int64 // statements
	turnedAway, silent, madeRoom                 atomic.Int64 // clients
	submitted                                    atomic.Int64
	probed                                       [splitter.CauseCount]atomic.Int64
	probeOpened                                  [splitter.CauseCount]atomic.Int64 // connections that a probe had to open
	causes                                       [splitter.CounterCount][splitter.CauseCount]atomic.Int64
	outcomes                                     [splitter.Answered + 1]atomic.Int64
	clientsOpened, clientsClosed                 atomic.Int64
	linksOpened, linksReused, linksClosed        atomic.Int64
	noSockets                                    atomic.Int64
	doubts, behind                               atomic.Int64 // of the gossip
	listCalls, watchesHung, watchesEnded         atomic.Int64
}

var outcomeNames = [splitter.Answered + 1]string{"unknown", "committed", "failed", "timed_out", "broken",
	"cancelled", "missed", "full", "no_conn", "unsent",
	"answered"}

// byCause makes fields of what is not zero, and their sum.
func byCause(all *[splitter.CauseCount]atomic.Int64) (logrus.Fields, int64) {
	fields, sum := logrus.Fields{}, int64(0)
	for i := range all {
		if n := all[i].Load(); n > 0 {
			fields[splitter.Cause(i).String()] = n
			sum += n
		}
	}
	return fields, sum
}

// watch prints the counters each time they are asked for.
func (k *counters) watch(life context.Context, g *errgroup.Group, c *core, h *clients) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	g.Go(func() error {
		defer signal.Stop(asked)
		for {
			select {
			case <-life.Done():
				return nil
			case <-asked:
				k.print(c, h)
			}
		}
	})
}

func (k *counters) print(c *core, h *clients) {
	h.mu.Lock()
	open := len(h.open)
	h.mu.Unlock()
	k.log.WithFields(logrus.Fields{"taken": k.taken.Load(), "committed": k.committed.Load(),
		"declined": k.declined.Load(), "rolled_back": k.rolledBack.Load(), "left": k.left.Load(),
		"malformed": k.malformed.Load()}).Info("txns")
	probed, probes := byCause(&k.probed)
	outcomes := logrus.Fields{"sent": k.submitted.Load(), "probes": probes}
	for i, name := range outcomeNames {
		if n := k.outcomes[i].Load(); n > 0 {
			outcomes[name] = n
		}
	}
	k.log.WithFields(outcomes).Info("submissions")
	k.log.WithFields(logrus.Fields{"opened": k.clientsOpened.Load(), "closed": k.clientsClosed.Load(),
		"open": open, "turned_away": k.turnedAway.Load(), "silent": k.silent.Load(),
		"made_room": k.madeRoom.Load()}).Info("clients")
	k.log.WithFields(logrus.Fields{"opened": k.linksOpened.Load(), "reused": k.linksReused.Load(),
		"closed": k.linksClosed.Load(), "open": len(c.sockets), "none_left": k.noSockets.Load()}).Info("nodes")
	k.log.WithFields(probed).Info("probes by cause")
	opened, _ := byCause(&k.probeOpened)
	k.log.WithFields(opened).Info("probes by cause that opened a connection")
	for what, text := range [splitter.CounterCount]string{"probes by cause that let a txn go", "txns held by cause", "txns declined by cause"} {
		fields, _ := byCause(&k.causes[what])
		k.log.WithFields(fields).Info(text)
	}
	if c.classes != nil {
		c.classes.print(k.log)
	}
	if c.gossip != nil {
		k.log.WithFields(logrus.Fields{"doubts": k.doubts.Load(), "behind": k.behind.Load(), "bytes_in": c.gossip.transport.Counts().BytesIn.Load(),
			"bytes_out": c.gossip.transport.Counts().BytesOut.Load()}).Info("gossip")
	}
	if c.peerState != nil {
		n := c.peerState.counted()
		k.log.WithFields(logrus.Fields{"wants": n.Requests, "news": n.Reports, "tells": n.Updates, "replies": n.Replies, "looks": n.Probes,
			"bytes": n.Bytes, "taken": n.Received, "spoilt": n.Malformed, "unknown": n.UnknownGroups, "silent": n.Unanswered,
			"dropped": c.tier.dropped.Load()}).Info("knowing")
	}
	if c.zones != nil {
		n := c.zones.counted()
		k.log.WithFields(logrus.Fields{"tells": n.Tells, "bytes": n.Bytes, "taken": n.Taken, "spoilt": n.Spoilt, "old": n.Old, "left": n.Leaves,
			"back": n.Returns, "looks": n.Looks, "words": n.Words, "wishes": n.Wishes}).Info("zones")
	}
	if c.leases != nil {
		n := c.leases.counted()
		k.log.WithFields(logrus.Fields{"asks": n.Asks, "grants": n.Grants, "refusals": n.Refusals, "words": n.Acts, "checks": n.Checks,
			"bytes": n.Bytes, "taken": n.Taken, "spoilt": n.Spoilt, "strange": n.Strange, "stale": n.Stales, "delayed": n.Delayed}).Info("leases")
	}
	k.log.WithFields(logrus.Fields{"calls": k.listCalls.Load(), "watches_hung": k.watchesHung.Load(),
		"watches_ended": k.watchesEnded.Load(),
		"rev":           c.list.shown.Load()}).Info("list")
	entries, _ := os.ReadDir("/proc/self/fd")
	nodeMail := 0
	for _, n := range *c.everyNode.Load() {
		nodeMail += n.waiting()
	}
	k.log.WithFields(logrus.Fields{"descriptors": len(entries), "core_mail": c.waiting(),
		"node_mail": nodeMail}).Info("process")
}
