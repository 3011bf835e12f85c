package proxy

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"eiderway/pgwire"
)

// pair starts a primary, a replica and a router that knows them while discovery is silent.
func pair(t *testing.T, sockets int) (pri, rep *standIn, d *discovery, r *router) {
	pri, rep, d = newStandIn(t, member(true)), newStandIn(t, member(false)), newDiscovery(t)
	r = startRouter(t, configure(t, strings.TrimPrefix(d.URL, "http://"), sockets,
		listed("s-1", pri.addr(), "Ready"), listed("s-2", rep.addr(), "Ready")))
	return
}

func TestServes(t *testing.T) {
	pri, rep, _, r := pair(t, 1024)
	c := r.call(t)
	c.ask("") // sent before the greeting came
	kinds, _, _, _ := c.answer()
	require.Equal(t, "IZ", kinds)

	// Answers keep the order of the queries, of which several wait at once.
	ids := []string{"a0", "a1", "a2", "a3"}
	var all []byte
	for i, id := range ids {
		all = pgwire.AppendQuery(all, statement(id, []string{"look", "claim"}[i%2], 1000))
	}
	c.send(all)
	for _, id := range ids {
		kinds, value, _, _ := c.answer()
		require.Equal(t, []string{"TDCZ", id}, []string{kinds, value})
	}
	require.Len(t, rep.statements(), 2, "reads go to the replica")
	require.Len(t, pri.statements(), 2, "writes go to the primary")
	require.Contains(t, pri.statements()[0], "/* id=a1,c=claim,d=")
	require.Contains(t, pri.statements()[0], ",k=5c0f,cluster=0 */ SELECT body FROM objects WHERE oid = '7f3a'")
}

// TestSentAhead has a txn whose time is up before the one ahead of it on its connection ends: its time counts from
// when it came, so it is declined and never sent.
func TestSentAhead(t *testing.T) {
	pri, _, _, r := pair(t, 1024)
	release := pri.hold(t, "id=first")
	c := r.call(t)
	c.ask(statement("first", "claim", 60000))
	c.ask(statement("second", "claim", 500))
	await(t, pri.arrived)
	time.Sleep(800 * time.Millisecond)
	release()
	_, value, _, _ := c.answer()
	require.Equal(t, "first", value)
	_, _, code, _ := c.answer()
	require.Equal(t, "53300", code)
	require.Len(t, pri.statements(), 1)
}

func TestLargeValue(t *testing.T) {
	pri, _, _, r := pair(t, 1024)
	value := strings.Repeat("\x00\xff'v", 16<<10)
	probed := pri.reply
	pri.reply = func(q string, w net.Conn) bool {
		if strings.HasPrefix(q, "/*") {
			w.Write(served(value, "read-write"))
			return true
		}
		return probed(q, w)
	}
	c := r.call(t)
	text := strings.Replace(statement("a1", "claim", 3000), "7f3a", strings.Repeat("ab", 64<<10), 1)
	c.ask(text)
	_, got, _, _ := c.answer()
	require.True(t, got == value, "byte for byte")
	sent := pri.statements()[0]
	require.Equal(t, text[strings.Index(text, ",k="):], sent[strings.Index(sent, ",k="):])
}

func TestBadInput(t *testing.T) {
	pri, rep, _, r := pair(t, 1024)
	c := r.call(t)
	for text, want := range map[string]string{"SELECT 1": "08P01", "SET x = 1": "08P01",
		statement("a", "look", 500) + "; SELECT 2":                                "08P01",
		strings.Replace(statement("a", "look", 500), "d=500,", "", 1):             "08P01",
		strings.Replace(statement("a", "look", 500), "cluster=0", "cluster=9", 1): "53300",
		statement("a", "look", 0):                                                 "08P01", statement("a", "unheard", 500): "08P01"} {
		c.ask(text)
		kinds, _, code, _ := c.answer()
		require.Equal(t, []string{"EZ", want}, []string{kinds, code}, text)
	}
	release, same := pri.hold(t, "id=twice"), r.call(t)
	same.ask(statement("twice", "claim", 60000))
	require.Eventually(t, func() bool { return len(pri.statements()) == 1 }, patience, time.Millisecond)
	c.ask(statement("twice", "claim", 60000))
	_, _, code, _ := c.answer()
	require.Equal(t, "08P01", code, "the id of an open txn")
	release()
	_, value, _, _ := same.answer()
	require.Equal(t, "twice", value, "which is untouched")
	c.send(pgwire.Append(nil, 'P', "\x00SELECT 1\x00\x00\x00"))
	var kinds string
	kinds, _, code, _ = c.answer()
	require.Equal(t, []string{"E.", "0A000"}, []string{kinds, code}, "extended protocol: told and closed")

	for name, raw := range map[string]string{"short": "Q\x00\x00\x00\x01", "long": "Q\x7f\xff\xff\xff",
		"endless": "Q\x00\x00\x00\x05x"} {
		c := r.call(t)
		c.send([]byte(raw))
		kinds, _, code, _ := c.answer()
		require.Equal(t, []string{"E.", "08P01"}, []string{kinds, code}, name)
	}
	for name, raw := range map[string]string{"cancel": "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x00\x00\x00\x00\x00",
		"short": "\x00\x00\x00\x01\x00\x03\x00\x00", "not ours": "GET / HTTP/1.1\r\n\r\n"} {
		nc, err := net.Dial("tcp", r.addr)
		require.NoError(t, err)
		nc.SetDeadline(time.Now().Add(patience))
		nc.Write([]byte(raw))
		n, _ := nc.Read(make([]byte, 99))
		require.Zero(t, n, name)
		nc.Close()
	}
	for _, code := range []string{"\x04\xd2\x16\x2f", "\x04\xd2\x16\x30"} { // SSLRequest, GSSENCRequest
		nc, err := net.Dial("tcp", r.addr)
		require.NoError(t, err)
		nc.SetDeadline(time.Now().Add(patience))
		nc.Write([]byte("\x00\x00\x00\x08" + code))
		one := make([]byte, 1)
		_, err = nc.Read(one)
		require.NoError(t, err)
		require.Equal(t, "N", string(one))
		nc.Close()
	}
	half, other := r.call(t), r.call(t)
	silent, err := net.Dial("tcp", r.addr) // says nothing at all
	require.NoError(t, err)
	defer silent.Close()
	half.send([]byte("Q\x00\x00\x01\x00/* id=")) // and then silence, which holds up nobody
	other.ask(statement("other", "claim", 1000))
	_, value, _, _ = other.answer()
	require.Equal(t, "other", value)
	require.Len(t, append(pri.statements(), rep.statements()...), 2, "nothing of it was passed on")
	kinds, _, code, _ = half.answer()
	require.Equal(t, []string{"E.", "08P01"}, []string{kinds, code}, "told and closed in the end")
	silent.SetDeadline(time.Now().Add(patience))
	_, err = silent.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	r.counted(t, "clients", "silent", 2)
	r.stop()
	require.NoError(t, await(t, r.done))
}

// TestRefusals has writes end each way: none is resent that may have run, unless its type allows that.
func TestRefusals(t *testing.T) {
	pri, _, _, r := pair(t, 1024)
	probed := pri.reply
	answer := ""
	pri.reply = func(q string, w net.Conn) bool {
		if strings.HasPrefix(q, "/*") {
			w.Write(refusal(answer))
			return true
		}
		return probed(q, w)
	}
	c := r.call(t)
	answer = "XX000"
	c.ask(statement("a1", "pay", 400))
	kinds, _, code, _ := c.answer()
	require.Equal(t, []string{"EZ", "08007"}, []string{kinds, code}, "it may have run")
	require.Len(t, pri.statements(), 1)
	answer = "53300"
	c.ask(statement("a2", "pay", 400))
	_, _, code, _ = c.answer()
	require.Equal(t, "53300", code, "it never ran")
	require.Greater(t, len(pri.statements()), 2, "so it was tried again")
}

func TestClientLeaves(t *testing.T) {
	pri, _, _, r := pair(t, 1024)
	release := pri.hold(t, "/*")
	c := r.call(t)
	c.ask(statement("a1", "claim", 60000))
	require.Eventually(t, func() bool { return len(pri.statements()) == 1 }, patience, time.Millisecond)
	c.nc.Close()
	r.counted(t, "txns", "left", 1)
	r.counted(t, "nodes", "closed", 1) // the submission is abandoned
	release()
	next := r.call(t)
	next.ask(statement("a2", "claim", 1000))
	_, value, _, _ := next.answer()
	require.Equal(t, "a2", value)
	require.Len(t, pri.statements(), 2, "nothing more is sent for the txn of a client that left")
}

func TestStop(t *testing.T) {
	pri, _, _, r := pair(t, 1024)
	release := pri.hold(t, "id=slow")
	idle, busy := r.call(t), r.call(t)
	idle.ask("")
	idle.answer()
	busy.ask(statement("slow", "claim", 60000))
	require.Eventually(t, func() bool { return len(pri.statements()) == 1 }, patience, time.Millisecond)
	r.stop()
	idle.ask(statement("open", "claim", 1000)) // on a connection that is still open
	_, value, _, _ := idle.answer()
	require.Equal(t, "open", value)
	fresh := r.call(t) // on a new one
	fresh.ask(statement("new", "claim", 1000))
	_, value, _, _ = fresh.answer()
	require.Equal(t, "new", value)
	kinds, _, _, _ := idle.answer()
	require.Equal(t, ".", kinds, "idle connections are closed")
	release()
	_, value, _, _ = busy.answer()
	require.Equal(t, "slow", value, "what was taken is answered")
	require.NoError(t, await(t, r.done))
}

func TestWatch(t *testing.T) {
	pri, rep, d, r := pair(t, 1024)
	require.Contains(t, await(t, d.calls), "from=1&")
	next := newStandIn(t, member(false))
	d.news <- listOf(5, false, listed("s-2", rep.addr(), "Terminating"), listed("s-3", next.addr(), "Ready"),
		listed("s-4", "nowhere", "Ready"), listed("s-1", pri.addr(), "Ready"), listed("s-1", pri.addr(), "Ready"))
	require.Contains(t, await(t, d.calls), "from=5&", "the watch goes on from what came")
	c := r.call(t)
	c.ask(statement("a1", "look", 1000))
	_, value, _, _ := c.answer()
	require.Equal(t, "a1", value)
	require.Empty(t, rep.statements(), "it drains")
	require.Len(t, next.statements(), 1)

	d.news <- listOf(9, true, listed("s-1", pri.addr(), "Ready"), listed("s-3", next.addr(), "Upgrading")) // after a gap
	require.Contains(t, await(t, d.calls), "from=9&")
	c.ask(statement("a2", "look", 1000))
	_, value, _, _ = c.answer()
	require.Equal(t, "a2", value)
	require.Len(t, next.statements(), 1, "of an unknown state: not used")

	for i, bad := range []string{"503", `{"rev":`, "endless"} { // the module asks again, in its own time
		d.news <- bad
		require.Contains(t, await(t, d.calls), "from=9&")
		require.Len(t, r.log.AllEntries(), 3+i, "serving, one entry passed over, the ended watches")
	}
}

// TestHungWatch has a watch that is never answered: news is asked for at once on another connection.
func TestHungWatch(t *testing.T) {
	pri, _, d, r := pair(t, 1024)
	require.Contains(t, await(t, d.calls), "from=1&hold_ms=2000")
	require.Contains(t, await(t, d.calls), "from=1&hold_ms=0")
	next := newStandIn(t, member(false))
	d.news <- listOf(5, true, listed("s-1", pri.addr(), "Ready"), listed("s-3", next.addr(), "Ready"))
	require.Contains(t, await(t, d.calls), "from=5&hold_ms=2000", "and the watch goes on")
	r.counted(t, "list", "watches_hung", 1)
	r.counted(t, "list", "watches_ended", 0)
	c := r.call(t)
	c.ask(statement("a1", "look", 1000))
	_, value, _, _ := c.answer()
	require.Equal(t, "a1", value)
	require.Len(t, next.statements(), 1)
}

// TestLook has the list looked at while a watch stands: a call without a wait comes at once, and the watch goes on from it.
func TestLook(t *testing.T) {
	d := newDiscovery(t)
	cfg := configure(t, d.Listener.Addr().String(), 1024)
	life, end := context.WithCancel(t.Context())
	tasks, _ := errgroup.WithContext(life)
	c := newCore(cfg, logrus.New(), life, tasks, 10)
	tasks.Go(func() error { return c.list.run(life) })
	require.Contains(t, await(t, d.calls), "from=1&hold_ms=2000")
	c.list.look()
	require.Contains(t, await(t, d.calls), "from=1&hold_ms=0")
	d.news <- listOf(7, true)
	require.Contains(t, await(t, d.calls), "from=7&hold_ms=2000")
	require.Zero(t, c.counters.watchesEnded.Load())
	require.Zero(t, c.counters.watchesHung.Load())
	end()
	require.NoError(t, tasks.Wait())
}

// TestReload moves discovery while a txn is out and a watch stands, then while none does.
func TestReload(t *testing.T) {
	pri, d, next := newStandIn(t, member(true)), newDiscovery(t), newDiscovery(t)
	cfg := configure(t, strings.TrimPrefix(d.URL, "http://"), 1024, listed("s-1", pri.addr(), "Ready"))
	r := startRouter(t, cfg)
	text, err := os.ReadFile(cfg.path)
	require.NoError(t, err)
	reload := func(old, new string) {
		require.NoError(t, os.WriteFile(cfg.path, []byte(strings.Replace(string(text), old, new, 1)), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	require.Contains(t, await(t, d.calls), "from=1&")
	release, c := pri.hold(t, "id=out"), r.call(t)
	c.ask(statement("out", "claim", 60000))
	require.Eventually(t, func() bool { return len(pri.statements()) == 1 }, patience, time.Millisecond)
	for _, bad := range [][2]string{{cfg.Discovery, "nowhere"}, {`{"name"`, `{"name`}} {
		before := len(r.log.AllEntries())
		reload(bad[0], bad[1])
		require.Eventually(t, func() bool { return len(r.log.AllEntries()) > before }, patience, time.Millisecond)
		require.Contains(t, r.log.LastEntry().Message, "left aside")
	}
	reload(cfg.Discovery, strings.TrimPrefix(next.URL, "http://"))
	require.Contains(t, await(t, next.calls), "from=1&")
	next.news <- listOf(4, false, listed("s-2", "127.0.0.1:1", "Ready"))
	require.Contains(t, await(t, next.calls), "from=4&", "the watch goes on there")
	release()
	_, value, _, _ := c.answer()
	require.Equal(t, "out", value, "what was taken is answered")
	next.news <- "503"
	r.counted(t, "list", "watches_ended", 1)
	reload("no such text", "") // the first address again, while the module waits to ask
	require.Contains(t, await(t, d.calls), "from=4&")
}

// TestFullOfClients uses up the descriptors for clients: a resting one makes room, a busy one does not.
func TestFullOfClients(t *testing.T) {
	pri, _, _, r := pair(t, 2*ownDescriptors+4) // 34 for clients
	release := pri.hold(t, "id=slow")
	var all []*caller
	for range 33 {
		c := r.call(t)
		c.ask("")
		c.answer()
		all = append(all, c)
	}
	extra := r.call(t)
	extra.ask(statement("extra", "claim", 1000))
	_, value, _, _ := extra.answer()
	require.Equal(t, "extra", value)
	closed := -1
	for i := 0; closed < 0; i = (i + 1) % len(all) {
		all[i].nc.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := all[i].nc.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			closed = i
		}
	}
	all = slices.Delete(all, closed, closed+1) // one that rested was closed for it
	all = append(all, extra)
	for i := range 34 {
		if i == 33 { // none is free any more
			r.counted(t, "txns", "taken", 34)
			all = append(all, r.call(t))
		}
		all[i].nc.SetDeadline(time.Now().Add(patience))
		all[i].ask(statement("slow"+strconv.Itoa(i), "claim", 60000))
	}
	r.counted(t, "txns", "taken", 35)
	slow := r.call(t) // has said nothing but hello when the next one comes
	turned := r.call(t)
	turned.ask(statement("over", "claim", 1000))
	kinds, _, code, _ := turned.answer()
	require.Equal(t, []string{"E.", "53300"}, []string{kinds, code}, "a whole answer, then closed")
	slow.ask(statement("slower", "claim", 1000))
	kinds, _, code, _ = slow.answer()
	require.Equal(t, []string{"E.", "53300"}, []string{kinds, code}, "not closed while its first query is on the way")
	release()
	for i, c := range all {
		_, value, _, _ := c.answer()
		require.Equal(t, "slow"+strconv.Itoa(i), value, "nothing taken is lost")
	}
}

// TestKeptConnections has clients that ask once and keep their connection: the one kept for longest goes long
// before the budget is used up, so that they can come again.
func TestKeptConnections(t *testing.T) {
	_, _, _, r := pair(t, 256) // 64 are ample, 96 the budget
	var kept []*caller
	for range 65 {
		c := r.call(t)
		c.ask("")
		c.answer()
		kept = append(kept, c)
	}
	kinds, _, _, _ := kept[0].answer()
	require.Equal(t, ".", kinds)
	kept[64].ask(statement("a", "claim", 1000))
	_, value, _, _ := kept[64].answer()
	require.Equal(t, "a", value)
	r.counted(t, "clients", "made_room", 1)
}

// TestCrowdOfSilent has connections that say nothing make room before one that rests after an answer.
func TestCrowdOfSilent(t *testing.T) {
	_, _, _, r := pair(t, 2*ownDescriptors+4) // 34 for clients
	good := r.call(t)
	good.ask("")
	good.answer()
	var crowd []net.Conn
	for range 32 {
		nc, err := net.Dial("tcp", r.addr)
		require.NoError(t, err)
		defer nc.Close()
		crowd = append(crowd, nc)
	}
	r.counted(t, "clients", "opened", 34) // with the one that found the router ready
	time.Sleep(2 * firstWords)            // the crowd can't be about to speak any more
	extra := r.call(t)
	extra.ask(statement("extra", "claim", 1000))
	_, value, _, _ := extra.answer()
	require.Equal(t, "extra", value)
	for range 32 {
		crowd[0].SetDeadline(time.Now().Add(patience))
		_, err := crowd[0].Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		crowd = crowd[1:]
	}
	good.ask(statement("good", "claim", 1000))
	_, value, _, _ = good.answer()
	require.Equal(t, "good", value)
}

// TestLargeStatements has two large statements begun where memory allows one.
func TestLargeStatements(t *testing.T) {
	pri, d := newStandIn(t, member(true)), newDiscovery(t)
	cfg := configure(t, strings.TrimPrefix(d.URL, "http://"), 1024, listed("s-1", pri.addr(), "Ready"))
	cfg.Limits.MemoryMB = largeShare * largeMB
	r := startRouter(t, cfg)
	defer debug.SetMemoryLimit(math.MaxInt64)
	text := pgwire.AppendQuery(nil, strings.Replace(statement("a", "claim", 3000), "7f3a", strings.Repeat("ab", 50<<10), 1))
	type answer struct {
		c    *caller
		said []string
	}
	answers := make(chan answer, 2)
	both := [2]*caller{r.call(t), r.call(t)}
	for _, c := range both {
		c.send(text[:len(text)/2])
		go func() {
			kinds, value, code, _ := c.answer()
			answers <- answer{c, []string{kinds, value, code}}
		}()
	}
	turned := await(t, answers)
	require.Equal(t, []string{"E.", "", "53300"}, turned.said)
	for _, c := range both {
		if c != turned.c {
			c.send(text[len(text)/2:])
		}
	}
	require.Equal(t, []string{"TDCZ", "a", ""}, await(t, answers).said)
	require.Eventually(t, func() bool {
		c := r.call(t)
		c.send(text)
		_, value, _, _ := c.answer()
		return value == "a"
	}, patience, 10*time.Millisecond, "the place is given back")
}
