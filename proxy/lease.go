package proxy

// This file owns the core's side of package lease: the core's goroutine alone calls the book. It says which tasks operators
// and the parts of this router want, passes on who holds them, and has the list's watcher and the drain follow. It must
// never decide who holds what.

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"eiderway/lease"
	"eiderway/terms"
)

// zonesTask is the router's that numbers the steps in which zones are left and returned to.
const zonesTask = "zones/all"

type leases struct {
	core     *core
	book     *lease.Book
	armed    float64 // the time of the timer that is set
	listTask string  // of this zone; "": each router watches the list for itself
	drain    string  // of this zone; "": a drain waits for nobody
	peers    int
	texts    map[string]string            // newest word of each slot that was obeyed here, so that each is logged once
	holds    map[string]func(lease.Event) // whoever asked for a task here and is to hear of it
	mu       sync.Mutex
	shown    lease.Counts
}

// newLeases begins where our settings have the section. nil: they have not.
func newLeases(c *core, cfg *Config) (*leases, error) {
	if cfg.Own == nil || cfg.Own.Lease == nil {
		return nil, nil
	}
	if c.tier == nil {
		return nil, fmt.Errorf("lease: the configuration names no peers, or its settings do not allow them")
	}
	own := cfg.Own.Lease
	l := &leases{core: c, armed: math.Inf(1), peers: len(c.tier.peers), texts: map[string]string{}, holds: map[string]func(lease.Event){}}
	t := own.Terms
	t.Tasks = append([]lease.Task(nil), t.Tasks...)
	t.Me, t.Seed = cfg.terms.Splitter.Self, int64(cfg.seed)
	if t.Routers == 0 {
		t.Routers = l.peers
	}
	if err := l.fits(t.Routers, t.Former); err != nil {
		return nil, err
	}
	var life [8]byte
	if _, err := rand.Read(life[:]); err != nil {
		return nil, err
	}
	t.Life, t.First = binary.BigEndian.Uint64(life[:]), uint64(time.Now().UnixMilli())
	zones := slices.Sorted(maps.Keys(cfg.terms.Zones))
	if own.List != nil {
		l.listTask = "list/" + cfg.zone()
		for _, zone := range zones { // each router may be asked for any zone's
			name := "list/" + zone
			t.Tasks = append(t.Tasks, lease.Task{Name: name, Every: own.List.Every, Standing: true, Lent: name != l.listTask})
		}
		c.list.follow = lease.NewFollow(lease.FollowTerms{Seed: int64(cfg.seed), Quiet: own.List.Quiet, Pace: own.List.Pace, Routers: l.peers})
	}
	if every := cfg.Own.Zones; every != nil && every.Every > 0 {
		t.Tasks = append(t.Tasks, lease.Task{Name: zonesTask, Every: every.Every, Standing: true})
	}
	if own.Drain != nil {
		l.drain = "drain/" + cfg.zone()
		for _, zone := range zones {
			name := "drain/" + zone
			t.Tasks = append(t.Tasks, lease.Task{Name: name, Slots: own.Drain.Slots, Lent: name != l.drain})
		}
	}
	var err error
	l.book, err = lease.New(t, l.now())
	return l, err
}

func (l *leases) fits(routers, former int) error {
	if max(routers, former) > l.peers {
		return fmt.Errorf("lease: routers and former are %d and %d, but the configuration names %d peers", routers, former, l.peers)
	}
	return nil
}

// reread takes over which routers make up the councils.
func (l *leases) reread(own *terms.Own) error {
	if own.Lease == nil {
		return fmt.Errorf("lease: the section goes with the next start only")
	}
	routers, former := own.Lease.Terms.Routers, own.Lease.Terms.Former
	if routers == 0 {
		routers = l.peers
	}
	if err := l.fits(routers, former); err != nil {
		return err
	}
	l.core.tell(func() {
		l.book.Routers(routers, former, l.now())
		l.act()
	})
	return nil
}

// now is the time that the book goes by: the core's.
func (l *leases) now() float64 { return plantedNow(l.core.now) }

// act does what the book asks for, and sets its timer.
func (l *leases) act() {
	for {
		e := l.book.Effects()
		if len(e.Sends)+len(e.Events) == 0 {
			break
		}
		for _, s := range e.Sends {
			l.core.tier.send(s.To, s.Bytes)
		}
		for _, x := range e.Events {
			l.happened(x)
		}
	}
	if next := l.book.Next(); next < l.armed {
		l.armed = next
		l.core.After(l.core.now+next-l.now(), func() {
			l.armed = math.Inf(1)
			l.book.Step(l.now())
			l.act()
		})
	}
	l.mu.Lock()
	l.shown = l.book.Counted()
	l.mu.Unlock()
}

var happenings = [...]string{lease.Took: "took", lease.Lost: "lost", lease.Obeyed: "obeyed", lease.Stale: "stale"}

func (l *leases) happened(x lease.Event) {
	fields := logrus.Fields{"at": fmt.Sprintf("%.6f", l.now()), "what": happenings[x.Kind], "task": x.Task, "slot": x.Slot, "token": x.Token, "holder": x.Holder}
	entry := l.core.log.WithFields(fields)
	switch x.Kind {
	case lease.Took, lease.Lost:
		entry.WithField("until", fmt.Sprintf("%.6f", x.Until)).Info("lease")
		if hear := l.holds[x.Task]; hear != nil {
			hear(x)
		}
	case lease.Stale:
		entry.WithField("number", x.Number).Warn("lease")
	case lease.Obeyed:
		key := x.Task + "#" + strconv.Itoa(x.Slot)
		entry = entry.WithFields(logrus.Fields{"number": x.Number, "text": x.Text})
		if l.texts[key] != x.Text && x.Task != l.listTask {
			l.texts[key] = x.Text
			entry.Info("lease")
		} else {
			entry.Debug("lease")
		}
	}
	if x.Task == zonesTask {
		l.core.zones.numbered(x)
	}
	if x.Task != l.listTask {
		return
	}
	switch list := l.core.list; x.Kind {
	case lease.Took, lease.Lost:
		list.holds(x.Kind == lease.Took)
		if x.Kind == lease.Took {
			l.book.Tell(l.listTask, strconv.FormatInt(list.shown.Load(), 10), l.now())
		}
	case lease.Obeyed:
		if rev, err := strconv.ParseInt(x.Text, 10, 64); err == nil && x.Holder != l.core.tier.me {
			list.heard(rev, l.core.now)
		}
	}
}

// listed tells the others of a list that this router's watch has brought.
func (l *leases) listed(rev int64) {
	l.core.tell(func() {
		l.book.Tell(l.listTask, strconv.FormatInt(rev, 10), l.now())
		l.act()
	})
}

// unlisted stands back from the watch of the list: this router's has failed, another's may not.
func (l *leases) unlisted() {
	l.core.tell(func() {
		l.book.StandBack(l.listTask, l.now())
		l.act()
	})
}

// leave gives back what this router holds, but for the slot of its drain: that one runs out by itself, while it restarts.
func (l *leases) leave() {
	l.core.tell(func() {
		l.book.Leave(l.drain, l.now())
		l.act()
	})
}

// asks runs in the core's goroutine and waits for it. ok: the core is still there.
func (l *leases) asks(f func()) (ok bool) {
	return l.core.asks(func() {
		f()
		l.act()
	})
}

func (l *leases) counted() lease.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shown
}
