package proxy

// The stand-ins of the outside: a node, a discovery and a client, each on loopback.

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"eiderway/pgwire"
	"eiderway/testing/loopback"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 10 * time.Second // for what is awaited; only a failing test takes as long

// standIn is a node that answers each statement as told.
type standIn struct {
	ln      net.Listener
	mu      sync.Mutex
	queries []string
	open    map[net.Conn]bool
	reply   func(query string, w net.Conn) bool // false: close
	greet   func(w net.Conn) bool
	arrived chan string
	closed  chan struct{} // one for each connection that ended
}

func newStandIn(t *testing.T, reply func(string, net.Conn) bool) *standIn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &standIn{ln: ln, reply: reply, open: map[net.Conn]bool{}, arrived: make(chan string, 1000),
		closed: make(chan struct{}, 1000)}
	s.greet = func(w net.Conn) bool {
		_, err := w.Write(pgwire.AppendGreeting(nil))
		return err == nil
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[nc] = true
			s.mu.Unlock()
			all.Go(func() { s.serve(nc) })
		}
	})
	t.Cleanup(func() {
		s.stop()
		all.Wait()
	})
	return s
}

// stop acts as a process that dies.
func (s *standIn) stop() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.open {
		nc.Close()
	}
}

func (s *standIn) addr() string { return s.ln.Addr().String() }

func (s *standIn) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		s.mu.Lock()
		delete(s.open, nc)
		s.mu.Unlock()
		s.closed <- struct{}{}
	}()
	var buf pgwire.Buffer
	for greeted := false; ; {
		if !greeted {
			_, ok, err := buf.NextStartup()
			if err != nil || ok && !s.greet(nc) {
				return
			}
			if greeted = ok; ok {
				continue
			}
		} else if m, ok, err := buf.Next(); err != nil {
			return
		} else if ok {
			text := strings.TrimSuffix(string(m.Body), "\x00")
			s.mu.Lock()
			s.queries = append(s.queries, text)
			s.mu.Unlock()
			s.arrived <- text
			if !s.reply(text, nc) {
				return
			}
			continue
		}
		if buf.Fill(nc) != nil {
			return
		}
	}
}

// hold keeps back the answers to statements that hold a text, until it is released.
func (s *standIn) hold(t *testing.T, text string) (release func()) {
	reply, until := s.reply, make(chan struct{})
	s.reply = func(q string, w net.Conn) bool {
		if strings.Contains(q, text) {
			<-until
		}
		return reply(q, w)
	}
	release = sync.OnceFunc(func() { close(until) })
	t.Cleanup(release)
	return release
}

// statements tells which statements came, probes left out.
func (s *standIn) statements() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queries {
		if strings.HasPrefix(q, "/*") {
			out = append(out, q)
		}
	}
	return out
}

func row(value string) []byte {
	b := pgwire.Append(nil, 'T', "\x00\x01body\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	n := len(value)
	b = pgwire.Append(b, 'D', "\x00\x01", string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}), value)
	return pgwire.Append(b, 'C', "SELECT 1\x00")
}

func told(mode string, at time.Time) []byte {
	b := pgwire.Append(nil, 'S', "mode\x00"+mode+"\x00")
	return pgwire.Append(b, 'S', fmt.Sprintf("wal_time\x00%d\x00", at.UnixMilli()))
}

func served(value, mode string) []byte {
	return pgwire.AppendReady(append(row(value), told(mode, time.Now())...))
}

func refusal(code string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, "no", ""))
}

// member answers as a healthy node of a role does; of a statement it serves the id.
func member(primary bool) func(string, net.Conn) bool {
	mode, x1 := "read-only", 0
	if primary {
		mode, x1 = "read-write", 1
	}
	return func(q string, w net.Conn) bool {
		value := fmt.Sprintf("inflight=0,x0=%.3f,x1=%d", float64(time.Now().UnixMilli())/1000, x1)
		if st, err := pgwire.ParseStatement(q); err == nil {
			value = st.ID
		}
		_, err := w.Write(served(value, mode))
		return err == nil
	}
}

// discovery hands out what is put into its news, one answer to each call.
type discovery struct {
	*httptest.Server
	news  chan string // "503" fails the call, "endless" is a list without end
	calls chan string // the queries of the calls
	mu    sync.Mutex
	last  context.CancelFunc // ends the call before: one that its client has left must not take what the next one asks for
}

func newDiscovery(t *testing.T) *discovery {
	d := &discovery{news: make(chan string, 10), calls: make(chan string, 1000), last: func() {}}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		d.mu.Lock()
		d.last()
		d.last = cancel
		d.mu.Unlock()
		d.calls <- r.URL.RawQuery
		select {
		case text := <-d.news:
			if ctx.Err() != nil {
				d.news <- text
				<-r.Context().Done()
				return
			}
			if text == "503" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			for err := error(nil); text == "endless" && err == nil; {
				_, err = w.Write(make([]byte, 1<<16))
			}
			fmt.Fprint(w, text)
		case <-ctx.Done():
			<-r.Context().Done() // it hangs on
		}
	}))
	t.Cleanup(d.Close)
	return d
}

// settings of a site with reads that may be 200 ms old, writes and once-only writes.
const settings = `{"balancers": 2, "me": 0, "myZone": "a", "zones": ["a", "b"], "membershipMode": "subscribe",
 "grades": [{"name": "look", "target": 400, "idempotency": "free", "group": "all", "worth": 1},
  {"name": "claim", "target": 1000, "idempotency": "guarded", "group": "cell", "window": 2000, "worth": 6, "lateWorth": 0.5},
  {"name": "pay", "target": 1000, "idempotency": "single_shot", "worth": 6, "lateWorth": 0.5}],
 "extra": {"needsByClass": ["lag_bound", "mutate", "mutate"], "lagAllowed": [200, 0, 0], "whenBehind": "none", "zero": 0},
 "limits": {"connectTimeout": 250, "idleClose": 15000, "mayCancel": true, "probes": true, "retryAfter": true,
  "maxRetryAfter": 1000, "sendCap": 8},
 "telemetry": {"how": "probe", "names": ["x0", "x1", "active"]},
 "invariants": {"coldFrom": 0.2, "warmAfter": 18000, "overloadFactor": 2.5, "fall": 1500}}`

func listed(uid, addr, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","pod_group":0,"state":%q,"boot_ms":0}`, uid, addr, state)
}

func listOf(rev int, all bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

// router is a router under test.
type router struct {
	addr string
	stop context.CancelFunc
	done chan error
	log  *logtest.Hook
}

func configure(t *testing.T, disc string, sockets int, entries ...string) *Config {
	free := loopback.ReserveForTest(t)
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"sockets":%d},"known":%s,"settings":%s}`, free.Address(), disc, sockets, listOf(1, true, entries...), settings)
	require.True(t, json.Valid([]byte(text)))
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	cfg, err := ReadConfig(path)
	require.NoError(t, err)
	return cfg
}

func startRouter(t *testing.T, cfg *Config) *router {
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	ctx, stop := context.WithCancel(context.Background())
	r := &router{addr: cfg.Listen, stop: stop, done: make(chan error, 1), log: hook}
	go func() {
		r.done <- Run(ctx, cfg, log)
		close(r.done)
	}()
	t.Cleanup(func() {
		stop()
		select {
		case <-r.done:
		case <-time.After(patience):
			t.Error("the router does not end")
		}
	})
	require.Eventually(t, func() bool {
		nc, err := net.Dial("tcp", r.addr)
		if err == nil {
			nc.Close()
		}
		return err == nil
	}, patience, time.Millisecond)
	return r
}

// counted waits until the counters, printed on request, tell a number.
func (r *router) counted(t *testing.T, line, field string, n int64) {
	require.Eventually(t, func() bool {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
		return slices.ContainsFunc(r.log.AllEntries(), func(e *logrus.Entry) bool {
			return e.Message == line && e.Data[field] == n
		})
	}, patience, 5*time.Millisecond)
}

// caller is a client on one connection.
type caller struct {
	t   *testing.T
	nc  net.Conn
	buf pgwire.Buffer
}

func (r *router) call(t *testing.T) *caller {
	nc, err := net.Dial("tcp", r.addr)
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	c := &caller{t: t, nc: nc}
	c.send(pgwire.AppendStartup(nil, "worker", "catalog"))
	return c
}

func (c *caller) send(b []byte) {
	_, err := c.nc.Write(b)
	require.NoError(c.t, err)
}

func statement(id, kind string, wait int) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,k=5c0f,cluster=0 */ SELECT body FROM objects WHERE oid = '7f3a'", id, kind, wait)
}

func (c *caller) ask(text string) { c.send(pgwire.AppendQuery(nil, text)) }

// answer reads up to ReadyForQuery and tells the messages' types, the value and an error's code and detail.
func (c *caller) answer() (kinds, value, code, detail string) {
	for {
		m, ok, err := c.buf.Next()
		require.NoError(c.t, err)
		if !ok {
			if c.buf.Fill(c.nc) != nil {
				return kinds + ".", value, code, detail // closed
			}
			continue
		}
		switch m.Type {
		case 'R', 'S':
			continue
		case 'D':
			v, _ := pgwire.Value(m.Body)
			value = string(v)
		case 'E':
			code, detail = pgwire.ErrorField(m.Body, 'C'), pgwire.ErrorField(m.Body, 'D')
		}
		kinds += string(m.Type)
		if m.Type == 'Z' {
			if kinds == "Z" && value == "" {
				kinds = "" // the greeting
				continue
			}
			return kinds, value, code, detail
		}
	}
}
