package trial

// This file owns the clients: each keeps a connection to a router, asks one txn at a time at its times, and writes down
// what it saw. It never tries again.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderway/testserver"
	"eiderway/trial/judge"
)

const keysOf = 8 // rows that are read and written, of each group

func keyName(k int) string { return fmt.Sprintf("k%d", k) }

// load starts the clients. Arrivals are open: a client that is still waiting leaves its turn to another.
func (r *rig) load(ctx context.Context, all *sync.WaitGroup) {
	l := r.spec.Load
	if l.Clients == 0 || l.Rate <= 0 {
		return
	}
	var next atomic.Int64
	for i := range l.Clients {
		all.Go(func() {
			rng := r.draws(int64(i))
			var c *testserver.Client
			at := i % len(r.routers)
			if float64(i) < l.Hot*float64(l.Clients) {
				at = 0
			}
			defer func() {
				if c != nil {
					c.Close()
				}
			}()
			for ctx.Err() == nil {
				pause := time.Duration(rng.ExpFloat64() * float64(l.Clients) / l.Rate * float64(time.Second))
				select {
				case <-ctx.Done():
					return
				case <-time.After(pause):
				}
				if c == nil {
					var err error
					if c, err = testserver.Dial(r.routers[at].listen, time.Second); err != nil {
						at = rng.Intn(len(r.routers)) // as a front does
						continue
					}
				}
				n := next.Add(1)
				group, key := rng.Intn(len(r.groups)), keyName(rng.Intn(keysOf))
				e := judge.Event{Kind: "send", Router: at, Txn: fmt.Sprintf("%x", n), Type: "look", Key: fmt.Sprintf("%d/%s", group, key), Wait: lookWait, Bound: bound}
				text := fmt.Sprintf("SELECT body FROM objects WHERE oid = '%s'", key)
				if rng.Float64() < l.Writes {
					e.Type, e.Wait, e.Body = "pay", payWait, fmt.Sprint(n)
					text = fmt.Sprintf("INSERT INTO objects (oid, body) VALUES ('%s', '%d') RETURNING body", key, n)
				}
				text = fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ %s", e.Txn, e.Type, int(e.Wait*1000), group, text)
				r.note(e)
				if !r.asks1(&c, e, text) {
					c.Close()
					c = nil
					at = rng.Intn(len(r.routers))
				}
			}
		})
	}
}

// asks1 sends a txn and writes down what came. false: the connection is of no more use. A router may close a connection
// that rests: a txn that crosses that is sent once more on a new one, as the protocol has it.
func (r *rig) asks1(on **testserver.Client, e judge.Event, text string) bool {
	c := *on
	wait := time.Duration((e.Wait + 1) * float64(time.Second))
	a, err := c.Ask(text, wait)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		if again, dialled := testserver.Dial(r.routers[e.Router].listen, time.Second); dialled == nil {
			c.Close()
			c = again
			*on = again
			a, err = c.Ask(text, wait)
		}
	}
	out := judge.Event{Kind: "answer", Router: e.Router, Txn: e.Txn, Type: e.Type, Key: e.Key, Body: a.Value, Code: a.Code}
	if err != nil {
		out.Code, out.Text = "none", err.Error()
	}
	r.note(out)
	if err == nil && a.Code == "" {
		r.note(judge.Event{Kind: "served", Router: e.Router, Txn: e.Txn})
	}
	if err == nil && c.More() {
		r.note(judge.Event{Kind: "extra", Router: e.Router, Txn: e.Txn})
		return false
	}
	return err == nil
}

// parts reads what a node ran: the txn, its type, the row and what was written.
func parts(text string) (txn, typ, key, body string) {
	_, after, ok := strings.Cut(text, "/* id=")
	if !ok {
		return "", "", "", ""
	}
	txn, after, _ = strings.Cut(after, ",c=")
	typ, after, _ = strings.Cut(after, ",")
	quoted := strings.Split(after, "'")
	if len(quoted) > 1 {
		key = quoted[1]
	}
	if len(quoted) > 3 {
		body = quoted[3]
	}
	return txn, typ, key, body
}
