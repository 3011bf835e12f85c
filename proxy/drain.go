package proxy

// This file owns a drain by hand: clients are let go as they become free, new ones after their first answer, until there
// are none or it is cancelled. Nothing that was taken is dropped. SIGTERM goes its own way.

import "eiderway/lease"

const (
	drainNot   int32 = iota
	drainWaits       // for a slot of the zone
	drainRuns
)

// drain begins one: at once, or when a slot is this router's. false: one is under way.
func (h *clients) drain() bool {
	if !h.draining.CompareAndSwap(drainNot, drainWaits) {
		return false
	}
	l := h.core.leases
	if l == nil || l.drain == "" {
		h.drains()
		return true
	}
	l.core.tell(func() {
		l.holds[l.drain] = func(e lease.Event) {
			if e.Kind == lease.Took {
				h.drains()
			} else if h.draining.CompareAndSwap(drainRuns, drainWaits) { // the slot may be another's: serve until it is ours
				h.stay()
			}
		}
		l.book.Want(l.drain, true, l.now())
		l.act()
	})
	return true
}

func (h *clients) drains() {
	if h.draining.CompareAndSwap(drainWaits, drainRuns) {
		h.leaveAll()
	}
}

// undrain returns to service and gives the slot back.
func (h *clients) undrain() {
	if l := h.core.leases; l != nil && l.drain != "" {
		l.asks(func() {
			delete(l.holds, l.drain)
			l.book.Want(l.drain, false, l.now())
		})
	}
	if h.draining.Swap(drainNot) != drainNot {
		h.stay()
	}
}

// stay has clients stay, unless the router is stopping.
func (h *clients) stay() {
	if h.stopping.Load() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing = false
	for c := range h.open {
		c.leave.Store(false)
	}
}

// left tells how many clients are connected, and how many txns have no final answer yet.
func (h *clients) left() (open, out int) {
	h.mu.Lock()
	open = len(h.open)
	h.mu.Unlock()
	got := make(chan int, 1)
	h.core.tell(func() { got <- len(h.core.open) })
	select {
	case out = <-got:
	case <-h.core.life.Done():
	}
	return open, out
}
