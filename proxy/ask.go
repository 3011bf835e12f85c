package proxy

// This file owns what operators ask of leases and of the drain on the admin socket. An answer is one JSON value a line;
// what takes time has several, and ends when the asker goes. It must never act on a task without the book's word.

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"eiderway/lease"
)

const (
	mostHolds    = 16                     // tasks that are asked for here at a time
	progressEach = 200 * time.Millisecond // of a drain, and of an order to a zone
)

// LeaseState is a line of `lease hold`, and of `drain`.
type LeaseState struct {
	State string `json:"state"` // waiting, held, lost, draining, drained, serving
	Task  string `json:"task,omitempty"`
	Token uint64 `json:"token,omitempty"`
	Open  int    `json:"open"` // clients that are connected
	Out   int    `json:"out"`  // txns without their final answer
	Error string `json:"error,omitempty"`
}

// askedLease answers a question about leases or the drain. It tells whether it was one.
func (c *core) askedLease(nc net.Conn, line string) bool {
	words := strings.Fields(line)
	if len(words) == 0 || words[0] != "lease" && words[0] != "drain" && words[0] != "zone" {
		return false
	}
	out := json.NewEncoder(nc)
	fail := func(format string, args ...any) { out.Encode(LeaseState{Error: fmt.Sprintf(format, args...)}) }
	if words[0] == "zone" {
		c.askedZone(nc, out, words[1:], fail)
		return true
	}
	if words[0] == "drain" {
		c.askedDrain(nc, out, words[1:], fail)
		return true
	}
	l := c.leases
	switch {
	case l == nil:
		fail("the section lease is off")
	case len(words) == 2 && words[1] == "status":
		var seats []lease.Seat
		if l.asks(func() { seats = l.book.Seats(l.now()) }) {
			out.Encode(map[string]any{"me": c.tier.me, "seats": seats, "counts": l.counted()})
		}
	case len(words) == 3 && words[1] == "hold":
		l.hold(nc, out, words[2], fail)
	case len(words) == 3 && words[1] == "release":
		if known := l.operators(words[2]); !known {
			fail("%q is none of the tasks in the settings", words[2])
		} else if l.asks(func() { l.book.Want(words[2], false, l.now()) }) {
			out.Encode(LeaseState{State: "lost", Task: words[2]})
		}
	case len(words) == 4 && words[1] == "give":
		to, err := strconv.Atoi(words[3])
		done := false
		if err == nil {
			l.asks(func() { done = l.book.Give(words[2], to, l.now()) })
		}
		if !done {
			fail("this router does not hold %q, or %q is no other router's number", words[2], words[3])
		} else {
			out.Encode(LeaseState{State: "lost", Task: words[2]})
		}
	case len(words) >= 4 && words[1] == "tell":
		_, text, _ := strings.Cut(line, words[2]+" ")
		done := false
		l.asks(func() { done = l.operators(words[2]) && l.book.Tell(words[2], strings.TrimSpace(text), l.now()) })
		if !done {
			fail("this router does not hold %q, or the text is too long", words[2])
		} else {
			out.Encode(LeaseState{State: "held", Task: words[2]})
		}
	default:
		fail("ask `lease status`, `lease hold TASK`, `lease tell TASK TEXT`, `lease give TASK ROUTER` or `lease release TASK`")
	}
	return true
}

// operators tells whether a task is one that operators may hold: the router's own have a slash in their names.
func (l *leases) operators(task string) bool { return !strings.Contains(task, "/") && l.book.Has(task) }

// gone tells when the asker has closed its side.
func gone(nc net.Conn) <-chan struct{} {
	nc.SetDeadline(time.Time{})
	out := make(chan struct{})
	go func() {
		defer close(out)
		for b := make([]byte, 1); ; {
			if _, err := nc.Read(b); err != nil {
				return
			}
		}
	}()
	return out
}

// hold asks for a task until the asker goes: it tells when it is held, and ends when it is lost.
func (l *leases) hold(nc net.Conn, out *json.Encoder, task string, fail func(string, ...any)) {
	events := make(chan lease.Event, 4)
	why, mine := "", false
	if !l.asks(func() {
		switch {
		case !l.operators(task):
			why = "is none of the tasks in the settings"
		case l.holds[task] != nil:
			why = "is asked for here already"
		case len(l.holds) >= mostHolds:
			why = "would be one too many that are asked for here"
		default:
			mine = true
			l.holds[task] = func(e lease.Event) {
				select {
				case events <- e:
				default:
				}
			}
			for _, s := range l.book.Seats(l.now()) {
				if s.Task == task && s.Held { // a standing one
					events <- lease.Event{Kind: lease.Took, Task: task, Token: s.Token}
				}
			}
			l.book.Want(task, true, l.now())
		}
	}) {
		return
	}
	if !mine {
		fail("%q %s", task, why)
		return
	}
	defer l.asks(func() {
		delete(l.holds, task)
		if !l.book.Stands(task) {
			l.book.Want(task, false, l.now())
		}
	})
	closed := gone(nc)
	defer func() { // its reader ends before the connection is given back
		nc.Close()
		<-closed
	}()
	out.Encode(LeaseState{State: "waiting", Task: task})
	for {
		select {
		case <-closed:
			return
		case <-l.core.life.Done():
			return
		case e := <-events:
			if e.Kind == lease.Lost {
				out.Encode(LeaseState{State: "lost", Task: task, Token: e.Token})
				return
			}
			out.Encode(LeaseState{State: "held", Task: task, Token: e.Token})
		}
	}
}

// askedDrain has clients leave, in this router's turn, and tells how many are left until none is.
func (c *core) askedDrain(nc net.Conn, out *json.Encoder, words []string, fail func(string, ...any)) {
	h := c.hub
	state := func(s string) LeaseState {
		open, txns := h.left()
		return LeaseState{State: s, Open: open, Out: txns}
	}
	now := func() string {
		switch h.draining.Load() {
		case drainWaits:
			return "waiting"
		case drainRuns:
			if open, _ := h.left(); open == 0 {
				return "drained"
			}
			return "draining"
		}
		return "serving"
	}
	switch {
	case len(words) == 1 && words[0] == "status":
		out.Encode(state(now()))
		return
	case len(words) == 1 && words[0] == "cancel":
		h.undrain()
		out.Encode(state(now()))
		return
	case len(words) != 0:
		fail("ask `drain`, `drain status` or `drain cancel`")
		return
	}
	if !h.drain() {
		fail("a drain is under way; `drain status` tells how far, `drain cancel` ends it")
		return
	}
	asker := c.report(nc)
	defer asker.end()
	for {
		s := state(now())
		if out.Encode(s) != nil || s.State == "drained" || s.State == "serving" {
			return
		}
		if !asker.wait() {
			return
		}
	}
}
