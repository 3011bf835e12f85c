package proxy

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"eiderway/pgwire"
	"eiderway/splitter"
)

// bench is a core whose actors run, with one node, but without clients and without the core's own loop: what
// it is told is handled by the test.
func bench(t *testing.T, addr string, sockets int) (*core, *node) {
	log, _ := logtest.NewNullLogger()
	cfg := configure(t, "127.0.0.1:1", 1024, listed("s-1", addr, "Ready"))
	ctx, end := context.WithCancel(context.Background())
	g, life := errgroup.WithContext(ctx)
	c := newCore(cfg, log, life, g, sockets)
	t.Cleanup(func() {
		end()
		require.NoError(t, g.Wait())
		require.Empty(t, c.sockets, "all sockets are given back")
	})
	return c, c.nodes[0]
}

type ended struct {
	splitter.Result
	answer []byte
}

func submission(t *testing.T, c *core, n *node, id string, within float64) (*job, chan ended) {
	st, err := pgwire.ParseStatement(statement(id, "claim", 1000))
	require.NoError(t, err)
	end := make(chan ended, 2)
	now := c.clock.now()
	return &job{st: &st, node: n, sent: now, until: now + within,
		done: func(r splitter.Result, a []byte) { end <- ended{r, a} }}, end
}

func await[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case x := <-c:
		return x
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	panic("unreachable")
}

// TestRetryIsToldToTheModule has the mark of a client's retry passed on, and nothing told of a first try.
func TestRetryIsToldToTheModule(t *testing.T) {
	c, _ := bench(t, "127.0.0.1:1", 1)
	for _, again := range []bool{false, true} {
		st, err := pgwire.ParseStatement(statement("t-1", "claim", 1000))
		require.NoError(t, err)
		st.IsRetry = again
		require.Equal(t, again, c.txn(&held{st: st}, 0).IsRetry)
	}
}

// TestOutcomes plays each row of the protocol's table, and answers that are in no table.
func TestOutcomes(t *testing.T) {
	say := func(parts ...[]byte) func(string, net.Conn) bool {
		return func(_ string, w net.Conn) bool {
			for _, p := range parts {
				w.Write(p)
			}
			return true
		}
	}
	end := func(parts ...[]byte) func(string, net.Conn) bool {
		return func(q string, w net.Conn) bool { say(parts...)(q, w); return false }
	}
	z := pgwire.AppendReady(nil)
	for name, c := range map[string]struct {
		reply func(string, net.Conn) bool
		want  splitter.Outcome
	}{
		"row":                     {say(row("v"), told("read-only", time.Now()), z), splitter.Committed},
		"notice before the row":   {say(pgwire.Append(nil, 'N', "SNOTICE\x00\x00"), row("v"), z), splitter.Committed},
		"no primary":              {say(told("read-only", time.Now()), refusal("25006")), splitter.Missed},
		"too far behind":          {say(refusal("72000")), splitter.Missed},
		"error":                   {say(refusal("XX000")), splitter.Failed},
		"another error":           {say(refusal("57P03")), splitter.Failed},
		"turned away":             {say(refusal("53300")), splitter.Full},
		"turned away for good":    {say(pgwire.AppendError(nil, "FATAL", "53300", "", "")), splitter.Full},
		"ends":                    {end(), splitter.Broken},
		"ends in the row":         {end(row("v")[:9]), splitter.Broken},
		"ends after the row":      {end(row("v")[:len(row("v"))-14]), splitter.Broken},
		"ends without ready":      {end(row("v")), splitter.Committed},
		"silent":                  {say(), splitter.TimedOut},
		"silent in the row":       {say(row("v")[:20]), splitter.TimedOut},
		"silent after all but Z":  {say(row("v")), splitter.Committed},
		"garbage":                 {say([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")), splitter.Failed},
		"a line without an end":   {say([]byte("\x01\x00\x00\x00\x77xxx")), splitter.Failed},
		"length below the least":  {say([]byte("D\x00\x00\x00\x01")), splitter.Failed},
		"length above the most":   {say([]byte("D\x7f\x00\x00\x01")), splitter.Failed},
		"three gigabytes":         {say(row("v")[:30], []byte("D\xb2\xd0\x5e\x00\x00\x01")), splitter.Failed},
		"longer than a value":     {say([]byte("D\x00\x02\x00\x00")), splitter.Failed},
		"ready and nothing else":  {say(z), splitter.Failed},
		"complete without a row":  {say(pgwire.Append(nil, 'C', "SELECT 0\x00"), z), splitter.Failed},
		"row without description": {say(row("v")[len(row("v"))-14-12:], z), splitter.Failed},
		"two rows": {say(row("v")[:len(row("v"))-14], row("w")[len(row("w"))-14-12:], z),
			splitter.Failed},
		"turned away, then noise":   {say(refusal("53300")[:len(refusal("53300"))-6], []byte("\xff\x00")), splitter.Failed},
		"turned away without ready": {end(refusal("53300")[:len(refusal("53300"))-6]), splitter.Full},
		"half an error":             {say(pgwire.Append(nil, 'E', "C53300\x00"), z), splitter.Failed},
		"two errors":                {say(refusal("25006")[:len(refusal("25006"))-6], refusal("53300")), splitter.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandIn(t, c.reply)
			k, n := bench(t, s.addr(), 8)
			j, end := submission(t, k, n, "a1", 0.15)
			n.tell(func() { n.start(j) })
			got := await(t, end)
			require.Equal(t, outcomeNames[c.want], outcomeNames[got.Outcome])
			require.Equal(t, c.want == splitter.Committed, len(got.answer) > 0 && strings.Contains(string(got.answer), "v"))
			require.Len(t, s.statements(), 1, "nothing is sent twice")
		})
	}
}

func TestReplyTells(t *testing.T) {
	at := time.UnixMilli(1767225600123)
	s := newStandIn(t, func(q string, w net.Conn) bool {
		reply := append(row("v"), told("read-write", at)...)
		if !strings.HasPrefix(q, "/*") {
			reply = row("inflight=7,x0=1767225600.123,x1=1")
		}
		w.Write(pgwire.AppendReady(reply))
		return true
	})
	c, n := bench(t, s.addr(), 8)
	j, end := submission(t, c, n, "a1", 1)
	n.tell(func() { n.start(j) })
	got := await(t, end)
	require.Equal(t, splitter.RolePrimary, got.Role)
	require.InDelta(t, 1767225600.123, got.Pos, 1e-6)
	require.Equal(t, row("v"), got.answer)
	probe := &job{node: n, until: c.clock.now() + 1, done: j.done}
	n.tell(func() { n.start(probe) })
	got = await(t, end)
	require.Equal(t, splitter.Report{OK: true, Role: splitter.RolePrimary, Pos: got.Pos, Load: 7}, got.Report)
	require.InDelta(t, 1767225600.123, got.Pos, 1e-6)
	require.EqualValues(t, 1, c.counters.linksOpened.Load(), "the connection is used again")
}

// TestUnreadableReports has reports, roles and positions that can't be: they are left out, all else stands.
func TestUnreadableReports(t *testing.T) {
	for _, bad := range []string{"inflight=7,x0=NaN,x1=1", "inflight=Inf,x0=5,x1=1", "inflight=7,x0", "", "\xff=\x01,,="} {
		r := &reply{greeted: true, report: splitter.Report{Load: -1}}
		r.load(bad)
		require.Equal(t, splitter.Report{Load: -1}, r.report, "%q", bad)
	}
	r := &reply{greeted: true}
	for _, bad := range []string{"NaN", "Inf", "-Inf", "1e999", "x", ""} {
		r.parameter("wal_time", bad)
		r.parameter("mode", bad)
	}
	require.Equal(t, splitter.Report{}, r.report)
	r.parameter("wal_time", "5000")
	require.Equal(t, splitter.Report{Pos: 5}, r.report)
	require.Equal(t, splitter.Failed, r.outcome(errReply, false))
	require.Equal(t, splitter.Report{Load: -1}, r.report, "nothing of a spoilt reply is believed")
}

// TestSettled has the connection that has just had its reply passed over for one that has settled.
func TestSettled(t *testing.T) {
	c, _ := bench(t, "127.0.0.1:1", 1)
	n := newNode(c, "s-2", "127.0.0.1:1")
	var all []*link
	for _, ago := range []time.Duration{time.Hour, time.Minute, 0, 0} {
		_, far := net.Pipe()
		l := &link{node: n, next: make(chan *job, 1), nc: far, rests: time.Now().Add(-ago)}
		n.idle, all = append(n.idle, l), append(all, l)
	}
	for _, want := range []int{1, 0} {
		j := &job{}
		n.start(j)
		require.Same(t, all[want], j.link)
	}
	require.Len(t, n.idle, 2)
}

// TestForget has a node replaced: its actor ends, its index and its name are free for another.
func TestForget(t *testing.T) {
	s := newStandIn(t, member(true))
	c, n := bench(t, s.addr(), 8)
	j, end := submission(t, c, n, "a1", 1)
	n.tell(func() { n.start(j) })
	await(t, end)
	gone := []entry{{UID: "s-1", Endpoint: s.addr(), State: "Gone"}}
	c.members(splitter.ListChanges, gone)
	c.now += 3600
	c.members(splitter.ListChanges, nil)
	await(t, s.closed)
	require.Empty(t, *c.everyNode.Load())
	require.Empty(t, c.byUID)
	c.members(splitter.ListChanges, gone)
	require.Empty(t, c.byUID, "no trace of one that is not known")
	group := 0
	c.members(splitter.ListChanges, []entry{{UID: "s-2", Endpoint: s.addr(), State: "Ready", Group: &group}})
	require.Equal(t, map[string]int{"s-2": 0}, c.byUID)
	require.Len(t, c.nodes, 1)
}

func TestNoConnection(t *testing.T) {
	s := newStandIn(t, member(true))
	s.stop()
	c, n := bench(t, s.addr(), 1)
	j, end := submission(t, c, n, "a1", 1)
	n.tell(func() { n.start(j) })
	require.Equal(t, splitter.NoConn, await(t, end).Outcome, "refused")

	c.sockets <- struct{}{} // the last one
	j, end = submission(t, c, n, "a2", 1)
	n.tell(func() { n.start(j) })
	require.Equal(t, splitter.Unsent, await(t, end).Outcome, "no socket left")
	<-c.sockets

	full := newStandIn(t, member(true))
	full.greet = func(w net.Conn) bool {
		w.Write(pgwire.AppendError(nil, "FATAL", "53300", "too many connections", ""))
		return false
	}
	n.listed(full.addr(), splitter.On)
	j, end = submission(t, c, n, "a3", 1)
	n.tell(func() { n.start(j) })
	require.Equal(t, splitter.NoConn, await(t, end).Outcome, "too many connections")
}

// halfway breaks after half of what is written.
type halfway struct{ net.Conn }

func (h halfway) Write(b []byte) (int, error) {
	n, _ := h.Conn.Write(b[:len(b)/2])
	h.Conn.Close()
	return n, syscall.ECONNRESET
}

func TestBreakBeforeTheLastByte(t *testing.T) {
	s := newStandIn(t, member(true))
	c, n := bench(t, s.addr(), 8)
	j, end := submission(t, c, n, "a1", 1)
	nc, err := net.Dial("tcp", s.addr())
	require.NoError(t, err)
	l := &link{node: n, nc: halfway{nc}, next: make(chan *job, 1)}
	l.ctx, l.cancel = context.WithCancel(c.life)
	defer l.cancel()
	require.False(t, l.serve(j))
	require.Equal(t, splitter.NoConn, await(t, end).Outcome, "it never ran")
	await(t, s.closed)
	require.Empty(t, s.statements())
}

func TestCancel(t *testing.T) {
	s := newStandIn(t, func(string, net.Conn) bool { return true })
	c, n := bench(t, s.addr(), 8)
	j, end := submission(t, c, n, "a1", 60)
	n.tell(func() { n.start(j) })
	await(t, s.arrived)
	n.tell(func() { n.cancel(j) })
	require.Equal(t, splitter.Cancelled, await(t, end).Outcome)
	await(t, s.closed) // abandoned by closing

	j, end = submission(t, c, n, "a2", 60)
	j.moot.Store(true)
	n.tell(func() { n.start(j) })
	require.Equal(t, splitter.Unsent, await(t, end).Outcome, "called off before it was written")
	require.Len(t, s.statements(), 1)
}

// TestDrainDuringConnect holds back a connection as a full backlog does, and drains the node meanwhile.
func TestDrainDuringConnect(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	sa, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	addr := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}
	filler, err := net.DialTCP("tcp", nil, addr)
	require.NoError(t, err)
	defer filler.Close()

	c, n := bench(t, addr.String(), 8)
	c.terms.Splitter.ConnectTimeout = patience.Seconds() // the kernel knocks again after a second
	j, end := submission(t, c, n, "a1", 60)
	c.txns = []*held{{job: j}}
	n.tell(func() { n.start(j) })
	require.Eventually(t, func() bool { return len(c.sockets) == 1 }, patience, time.Millisecond)
	c.members(splitter.ListChanges, []entry{{UID: "s-1", Endpoint: addr.String(), State: "Terminating"}})
	first, _, err := syscall.Accept(fd) // room: the connection may come up now
	require.NoError(t, err)
	defer syscall.Close(first)
	require.Equal(t, splitter.Unsent, await(t, end).Outcome)
	require.EqualValues(t, 1, c.counters.linksOpened.Load(), "it came up")
}

func TestIdleConnections(t *testing.T) {
	s := newStandIn(t, member(true))
	c, n := bench(t, s.addr(), 8)
	c.terms.IdleClose = 0.02
	j, end := submission(t, c, n, "a1", 1)
	n.tell(func() { n.start(j) })
	await(t, end)
	await(t, s.closed) // before the node would
	c, n = bench(t, s.addr(), 8)
	j, end = submission(t, c, n, "a2", 1)
	n.tell(func() { n.start(j) })
	await(t, end)
	n.tell(n.closeIdle)
	await(t, s.closed) // on the module's word
	require.Eventually(t, func() bool { return len(c.sockets) == 0 }, patience, time.Millisecond)
}

// TestDeadIdleConnection has a node close a connection just as a job is given to it: the job was not written,
// so it goes out on another.
func TestDeadIdleConnection(t *testing.T) {
	s := newStandIn(t, member(true))
	c, n := bench(t, s.addr(), 8)
	l := &link{node: n, next: make(chan *job, 1)}
	l.ctx, l.cancel = context.WithCancel(c.life)
	defer l.cancel()
	j, end := submission(t, c, n, "a1", 1)
	l.next <- j
	n.tell(func() { n.ended(l) })
	require.Equal(t, splitter.Committed, await(t, end).Outcome)
	require.Len(t, s.statements(), 1)
}

// TestAnswersTwice has a node say more than it was asked for: with the first answer, later, or only goodbye.
func TestAnswersTwice(t *testing.T) {
	for name, more := range map[string][]byte{"a second row": served("stale", "read-write"),
		"an error": pgwire.AppendError(nil, "FATAL", "57P01", "going down", "")} {
		for _, late := range []bool{false, true} {
			var last net.Conn
			s := newStandIn(t, func(q string, w net.Conn) bool {
				last = w
				say := served("fresh", "read-write")
				if !late {
					say = append(say, more...)
				}
				_, err := w.Write(say)
				return err == nil
			})
			c, n := bench(t, s.addr(), 8)
			j, end := submission(t, c, n, "a1", 1)
			n.tell(func() { n.start(j) })
			require.Contains(t, string(await(t, end).answer), "fresh")
			if late {
				last.Write(more)
			}
			j, end = submission(t, c, n, "a2", 1)
			n.tell(func() { n.start(j) })
			got := await(t, end)
			require.Equal(t, splitter.Committed, got.Outcome, name)
			require.Contains(t, string(got.answer), "fresh", name)
			require.Len(t, s.statements(), 2)
			require.EqualValues(t, 2, c.counters.linksOpened.Load(), "the second went out on another connection")
		}
	}
}

func TestTimers(t *testing.T) {
	c, _ := bench(t, "127.0.0.1:1", 1)
	fired := make(chan int, 4)
	now := c.clock.now()
	for i, at := range []float64{now + 0.02, now + 0.01, now + 0.02, now - 1} {
		c.After(at, func() { fired <- i })
	}
	c.tasks.Go(func() error { return c.run(c.life) })
	for _, want := range []int{3, 1, 0, 2} {
		require.Equal(t, want, await(t, fired))
	}
	require.GreaterOrEqual(t, c.clock.now(), now+0.02)
}

func TestClock(t *testing.T) {
	c := newClock()
	require.InDelta(t, float64(time.Now().UnixMilli())/1000, c.now(), 1, "Unix time")
	require.InDelta(t, c.now()+1.5, c.zero+c.at(c.now()+1.5).Sub(c.start).Seconds(), 1e-3)
}

func TestConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	good := `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","settings":` + settings + `}`
	for name, c := range map[string][2]string{"not JSON": {good, "{"}, "no settings": {settings, "null"},
		"bad seed": {`"ff"`, `"x"`}, "bad listen": {"127.0.0.1:1", "here"}, "bad discovery": {"127.0.0.1:2", ""},
		"bad settings": {`"balancers": 2`, `"balancers": "two"`}, "few sockets": {`"seed"`, `"limits":{"sockets":9},"seed"`}} {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(good, c[0], c[1], 1)), 0o600))
		_, err := ReadConfig(path)
		require.ErrorContains(t, err, path, name)
	}
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	_, err := ReadConfig(path)
	require.NoError(t, err)
	_, err = ReadConfig(path + ".none")
	require.Error(t, err)
}

func FuzzReply(f *testing.F) {
	f.Add(served("v", "read-only"), true)
	f.Add(append(pgwire.AppendGreeting(nil), refusal("53300")...), false)
	f.Add(append(row("v"), row("w")...), true)
	f.Fuzz(func(t *testing.T, stream []byte, greeted bool) {
		var b pgwire.Buffer
		src := strings.NewReader(string(stream))
		r := &reply{greeted: greeted}
		for b.Fill(src) == nil {
			for {
				m, ok, err := b.Next()
				if err != nil {
					return
				}
				if !ok {
					break
				}
				done, err := r.take(m)
				o := r.outcome(err, false)
				require.Equal(t, r.complete, o == splitter.Committed, "only a whole row is committed")
				require.False(t, r.complete && len(r.row) == 0)
				if done || err != nil {
					return
				}
			}
		}
	})
}

func TestCounters(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	c, _ := bench(t, "127.0.0.1:1", 1)
	c.counters.log = log
	c.counters.taken.Add(3)
	c.counters.outcomes[splitter.Missed].Add(2)
	c.counters.print(c, newClients(c, nil, 1, 1, 1))
	seen := logrus.Fields{}
	for _, e := range hook.AllEntries() {
		for k, v := range e.Data {
			seen[k] = v
		}
	}
	require.EqualValues(t, 3, seen["taken"])
	require.EqualValues(t, 2, seen["missed"])
	require.Contains(t, seen, "descriptors")
}
