package proxy

// This file owns the talk between clients, the core and the book of shapes (package shape): an actor of its own, the
// only goroutine that steps the book. A client lexes its statement itself and is answered before it lexes another. It
// must never judge a statement, and passes on what the book says.

import (
	"context"
	"reflect"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"eiderway/pgwire"
	"eiderway/shape"
	"eiderway/splitter"
	"eiderway/terms"
)

const (
	shownShapes  = 20      // shapes that SIGUSR1 prints
	largeScratch = 1 << 16 // bytes of a scratch that is not kept
)

type classes struct {
	actor
	core    *core
	terms   *terms.Classing
	book    *shape.Book
	types   []splitter.TxnType // of the module: for each kind one, and its once-only twin
	first   int                // index of the first of them
	number  int                // of the newest statement without a comment
	longest atomic.Int64
	old     atomic.Bool // how clients lex

	classed, reclassed, turned, pinned, several int64
}

// newClasses makes the actor; its txn types follow a number of others.
func newClasses(c *core, t *terms.Classing, first int) *classes {
	k := &classes{actor: newActor(), core: c, terms: t, first: first}
	book, err := shape.New(t.Shape)
	if err != nil {
		panic(err) // checked when it was read
	}
	k.book = book
	for _, x := range t.Types {
		twin := x
		twin.Effect = splitter.OnceOnly
		k.types = append(k.types, x, twin)
	}
	k.longest.Store(int64(t.LongestAnswer))
	k.old.Store(t.Shape.OldStrings)
	return k
}

func (k *classes) run(ctx context.Context) error {
	for k.turn(ctx) {
	}
	return nil
}

// classed lexes a statement and has it classed. It tells whether the connection goes on.
func (c *client) classed(text string) bool {
	core := c.hub.core
	k := core.classes
	if old := k.old.Load(); c.scratch == nil || c.scratch.Old() != old {
		c.scratch = shape.NewScratch(old)
	}
	h := &held{client: c}
	tagged := pgwire.IsTagged(text)
	if tagged {
		st, err := pgwire.ParseStatement(text)
		if _, ok := core.terms.Types[st.Type]; err != nil || !ok {
			core.counters.malformed.Add(1)
			why := "a txn type that is not served"
			if err != nil {
				why = err.Error()
			}
			return c.write(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "08P01", why, "")))
		}
		h.st = st
	}
	if c.scratch.Read([]byte(text)); c.scratch.Empty && !c.scratch.Bad {
		return c.write(pgwire.AppendReady(pgwire.Append(nil, 'I')))
	}
	if c.excess {
		return c.tooMany()
	}
	at := c.came
	k.tell(func() { k.class(h, text, tagged, at) })
	goesOn := c.txn(h)
	if cap(c.scratch.Norm) > largeScratch {
		c.scratch = nil
	}
	return goesOn
}

// class has the book class a statement, and hands its txn to the core.
func (k *classes) class(h *held, text string, tagged bool, at float64) {
	class := k.book.Class(h.client.scratch, k.core.clock.now())
	k.classed++
	switch {
	case tagged && !class.Reclass(k.core.terms.Splitter.Types[k.core.terms.Types[h.st.Type]].Need):
		// Its comment says all.
	case tagged:
		k.reclassed++
		h.class = &class
	default:
		if code, why := class.Turn(k.terms.Several, k.terms.Sessions); code != "" {
			k.turned++
			pause := ""
			if most := k.core.terms.Splitter.MaxPause; code == "53300" && most > 0 {
				pause = strconv.Itoa(int(1000 * min(shape.Comeback, most)))
			}
			a := pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, why, pause))
			k.core.tell(func() {
				k.core.counters.turnedAway.Add(1)
				h.over = true
				h.client.answer(a)
			})
			return
		}
		k.number++
		wait := k.terms.Shape.Kinds[class.Kind].Expiry
		if h.client.timeout > 0 {
			wait = min(wait, h.client.timeout)
		}
		h.st = pgwire.NewUntagged(text, k.number, wait, class.Group)
		h.class = &class
	}
	if h.class != nil {
		h.typ = k.typ(class.Kind, class.Effect)
	}
	if class.Pins {
		k.pinned++
	}
	if class.Many > 1 {
		k.several++
	}
	k.core.tell(func() { k.core.arrive(h, at) })
}

// typ gives the module's txn type of a kind.
func (k *classes) typ(kind int, effect splitter.Effect) int {
	i := k.first + 2*kind
	if effect == splitter.OnceOnly {
		i++
	}
	return i
}

// landed tells the book how a submission ended, and the core what the txn proved to be. The core calls it.
func (k *classes) landed(class *shape.Class, res splitter.Result, code string) int {
	switch {
	case res.Outcome == splitter.Committed || res.Outcome == splitter.Answered || res.Outcome == splitter.TimedOut:
		// One that was given up took at least as long: else a costly shape would never be known as one.
		k.tell(func() { k.book.Took(class.Shape, res.Latency) })
	case code == "25006" && !class.Writes:
		k.tell(func() { k.book.Refused(class.Shape) })
		return 1 + k.typ(k.terms.Shape.Write, splitter.OnceOnly)
	}
	return 0
}

// reread takes over what may change in service. The txn types are the module's from the start.
func (k *classes) reread(path string, seed uint64) {
	own, err := terms.ReadOwn(path, seed)
	if err != nil {
		k.core.log.WithError(err).Warn("the new settings are left aside")
		return
	}
	if own.Classing == nil {
		k.core.log.Warn("the section classing ends with the next start only")
		return
	}
	k.tell(func() {
		if !reflect.DeepEqual(own.Classing.Types, k.terms.Types) || !reflect.DeepEqual(own.Classing.Shape.Kinds, k.terms.Shape.Kinds) {
			k.core.log.Warn("txn types change with the next start only; the new settings are left aside")
			return
		}
		if err := k.book.Take(own.Classing.Shape); err != nil {
			k.core.log.WithError(err).Warn("the new settings are left aside")
			return
		}
		k.terms = own.Classing
		k.longest.Store(int64(own.Classing.LongestAnswer))
		k.old.Store(own.Classing.Shape.OldStrings)
		k.core.log.Info("settings read again")
	})
}

// Shapes is what `eiderway shapes` shows.
type Shapes struct {
	Shapes    int          `json:"shapes"`
	Bytes     int          `json:"bytes"`
	Classed   int64        `json:"classed"`
	Reclassed int64        `json:"reclassed"`
	Turned    int64        `json:"turned_away"`
	Pinned    int64        `json:"pinned"`
	Several   int64        `json:"several"`
	HitRate   float64      `json:"hit_rate"`
	Counts    shape.Counts `json:"counts"`
	Lines     []shape.Line `json:"lines"`
}

// tellAll hands over what is known, on the actor's goroutine.
func (k *classes) tellAll(most int, then func(Shapes)) {
	k.tell(func() {
		t := Shapes{Classed: k.classed, Reclassed: k.reclassed, Turned: k.turned, Pinned: k.pinned, Several: k.several,
			Counts: k.book.Counted, Lines: k.book.Lines(most)}
		t.Shapes, t.Bytes = k.book.Size()
		if n := t.Counts.Hits + t.Counts.Misses; n > 0 {
			t.HitRate = float64(t.Counts.Hits) / float64(n)
		}
		then(t)
	})
}

// print logs what is known, soon.
func (k *classes) print(log *logrus.Logger) {
	k.tellAll(shownShapes, func(t Shapes) {
		log.WithFields(logrus.Fields{"shapes": t.Shapes, "bytes": t.Bytes, "classed": t.Classed, "reclassed": t.Reclassed,
			"turned_away": t.Turned, "hit_rate": t.HitRate, "over": t.Counts.Over, "refused": t.Counts.Refused,
			"bad": t.Counts.Bad}).Info("classing")
		for _, l := range t.Lines {
			log.WithFields(logrus.Fields{"hash": strconv.FormatUint(l.Hash, 16), "type": l.Kind, "count": l.Count, "p50": l.P50,
				"p99": l.P99, "work": l.Work, "shape": l.Shape, "reason": l.Reason}).Info("shape")
		}
	})
}

// statementTimeout reads a client's statement_timeout from its startup message, in s; 0: none.
func statementTimeout(parameter func(string) string) float64 {
	text := parameter("statement_timeout")
	for _, f := range strings.Fields(parameter("options")) {
		f = strings.TrimPrefix(strings.TrimPrefix(f, "-c"), "--")
		if v, ok := strings.CutPrefix(f, "statement_timeout="); ok {
			text = v
		}
	}
	if ms, err := strconv.ParseFloat(text, 64); err == nil && ms > 0 {
		return min(ms, 1e9) / 1000
	}
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return d.Seconds()
	}
	return 0
}
