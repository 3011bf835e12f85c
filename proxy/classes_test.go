package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"eiderway/pgwire"
	"eiderway/testserver"
)

// fleet is a group of stand-ins that keep rows, their discovery, and a router that classes.
type fleet struct {
	group  *testserver.Group
	router *router
	own    string // path of the settings
}

const ownText = `
classing:
  functions: [{name: pay_out, does: writes}]
  types:
    - {name: read, need: bounded, bound: 1s, effect: repeatable, sla: 2s, expiry: 8s, value: 1, late_value: 0.5}
    - {name: volatile, need: bounded, bound: 1s, effect: once-only, sla: 2s, expiry: 8s, value: 1, late_value: 0.5}
    - {name: write, need: primary, effect: once-only, sla: 2s, expiry: 8s, value: 6, late_value: 0.5}
`

func startFleet(t *testing.T, own string, prepare func(*testserver.Group)) *fleet {
	g, err := testserver.NewGroup(0, 2)
	require.NoError(t, err)
	t.Cleanup(g.Close)
	g.Lag = 20 * time.Millisecond
	if prepare != nil {
		prepare(g)
	}
	d, err := testserver.NewDiscovery(g)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	cfg := configure(t, d.Addr(), 1024)
	require.NoError(t, json.Unmarshal(d.List(), &cfg.Known))
	f := &fleet{group: g, own: filepath.Join(t.TempDir(), "own.yaml")}
	require.NoError(t, os.WriteFile(f.own, []byte(own), 0o600))
	require.NoError(t, cfg.ReadOwn(f.own))
	f.router = startRouter(t, cfg)
	return f
}

// judge tells the statements by what the test knows of them, not by the class.
func marked(text string) bool { return strings.Contains(text, "w_r_i_t_e") }

// TestMixedLoad runs reads and writes in many forms through a router with two replicas. The stand-ins' history is
// judged afterwards: no write ran at a replica, each statement was answered once and ran once.
func TestMixedLoad(t *testing.T) {
	f := startFleet(t, ownText, func(g *testserver.Group) { g.Run = func(string) []byte { return testserver.Row("ok") } })
	reads := []string{"SELECT %d, body FROM objects WHERE oid = 'x'", "select count(*) from objects -- %d", "WITH a AS (SELECT %d) SELECT * FROM a",
		"TABLE objects /* %d */", "EXPLAIN DELETE FROM objects WHERE n = %d", "SELECT lower('%d'), now()", "VALUES (%d), (2)"}
	writes := []string{"INSERT INTO w_r_i_t_e VALUES (%d)", "SELECT pay_out(%d) AS w_r_i_t_e", "WITH w_r_i_t_e AS (DELETE FROM t WHERE n = %d RETURNING *) SELECT 1",
		"/* SELECT */ UPDATE w_r_i_t_e SET a = %d", "SELECT 1; DELETE FROM w_r_i_t_e WHERE n = %d", "SELECT n FROM w_r_i_t_e WHERE n = %d FOR UPDATE",
		"SELECT nextval('w_r_i_t_e%d')", "FROBNICATE w_r_i_t_e %d", "SELECT U&\"n\\0065xtval\"('w_r_i_t_e%d')", "EXPLAIN ANALYZE DELETE FROM w_r_i_t_e WHERE a = %d"}
	f.group.Writes = marked
	const clients, each = 16, 60
	var all sync.WaitGroup
	sent := make([][]string, clients)
	for i := range clients {
		c := f.router.call(t)
		all.Go(func() {
			rng := rand.New(rand.NewSource(int64(i)))
			for n := range each {
				forms := reads
				if rng.Intn(3) == 0 {
					forms = writes
				}
				text := fmt.Sprintf(forms[rng.Intn(len(forms))], i*each+n)
				if strings.HasPrefix(text, "FROB") { // not understood: refused unless its connection may be closed
					text = strings.Replace(text, "FROBNICATE", "TRUNCATE", 1)
				}
				sent[i] = append(sent[i], text)
				c.ask(text)
				if kinds, value, code, _ := c.answer(); value != "ok" || !strings.HasSuffix(kinds, "Z") {
					t.Errorf("%s: %q %q %q", text, kinds, value, code)
				}
			}
		})
	}
	all.Wait()
	history := f.group.History()
	require.Empty(t, testserver.Misplaced(history, marked))
	ran := map[string]int{}
	atReplicas := 0
	for _, r := range history {
		ran[r.Text]++
		if !r.Primary {
			atReplicas++
		}
	}
	for _, texts := range sent {
		for _, text := range texts {
			require.Equal(t, 1, ran[text], text)
			delete(ran, text)
		}
	}
	require.Empty(t, ran, "nothing ran that no client sent")
	require.Greater(t, atReplicas, clients*each/2, "most reads go to replicas")
}

// TestHiddenWrites sends random statements, half of them with a write hidden inside, and a replica refuses none: what
// is misrouted shows in the history.
func TestHiddenWrites(t *testing.T) {
	f := startFleet(t, strings.Replace(ownText, "classing:", "classing:\n  sessions: close", 1), func(g *testserver.Group) {
		g.Run = func(string) []byte { return testserver.Row("ok") }
		g.Writes = func(string) bool { return false }
	})
	const clients, each = 8, 250
	var all sync.WaitGroup
	var mu sync.Mutex
	writes := map[string]bool{}
	for i := range clients {
		c := f.router.call(t)
		all.Go(func() {
			rng := rand.New(rand.NewSource(int64(i)))
			w := &testserver.Writer{Draw: rng.Intn}
			for n := range each {
				hide := n%2 == 0
				text := fmt.Sprintf("%s -- %d", w.Statement(hide), i*each+n)
				mu.Lock()
				writes[text] = hide
				mu.Unlock()
				c.ask(text)
				if kinds, _, code, _ := c.answer(); !strings.HasSuffix(kinds, "Z") || code != "" && code != "0A000" {
					t.Errorf("%s: %q %q", text, kinds, code)
				}
			}
		})
	}
	all.Wait()
	history := f.group.History()
	require.Empty(t, testserver.Misplaced(history, func(text string) bool { return writes[text] }))
	seen, reads := map[string]bool{}, 0
	for _, r := range history {
		require.False(t, seen[r.Text], "twice: %s", r.Text)
		if seen[r.Text] = true; !r.Primary {
			reads++
		}
	}
	require.Equal(t, clients*each/2, reads, "each read is served by a replica")
}

// TestResults: results of any form pass through, errors of the statement are its answer, and are not tried again.
func TestResults(t *testing.T) {
	many := make([][]string, 300)
	for i := range many {
		many[i] = []string{fmt.Sprint(i), "x"}
	}
	f := startFleet(t, strings.Replace(ownText, "classing:", "classing:\n  longest_answer: 16KiB\n  sessions: close", 1), func(g *testserver.Group) {
		g.Run = func(text string) []byte {
			switch {
			case strings.Contains(text, "many"):
				return testserver.Rows([]string{"a", "b"}, many...)
			case strings.Contains(text, "none"):
				return testserver.Rows([]string{"a"})
			case strings.Contains(text, "huge"):
				return testserver.Row(strings.Repeat("x", 20_000))
			case strings.Contains(text, "wrong"):
				return pgwire.AppendError(nil, "ERROR", "22012", "division by zero", "")
			case strings.Contains(text, "halfway"):
				return append(testserver.Row("1"), pgwire.AppendError(nil, "ERROR", "22012", "division by zero", "")...)
			case strings.Contains(text, "; two"):
				return append(testserver.Row("1"), testserver.Row("2")...)
			}
			return pgwire.Append(nil, 'C', "UPDATE 3\x00")
		}
	})
	c := f.router.call(t)
	for text, want := range map[string][2]string{"SELECT many": {strings.Repeat("D", 300), ""}, "SELECT none": {"TCZ", ""}, "SELECT huge": {"EZ", "54000"},
		"UPDATE t SET huge = 1": {"EZ", "54000"}, "SELECT wrong": {"EZ", "22012"}, "SELECT halfway": {"TDCEZ", "22012"},
		"SELECT 1; two": {"TDCTDCZ", ""}, "UPDATE t SET a = 2": {"CZ", ""}, " ": {"IZ", ""}, "-- c": {"IZ", ""}} {
		c.ask(text)
		kinds, _, code, _ := c.answer()
		require.Contains(t, kinds, want[0], text)
		require.Equal(t, want[1], code, text)
	}
	seen := map[string]int{}
	for _, r := range f.group.History() {
		seen[r.Text]++
		require.Equal(t, 1, seen[r.Text], r.Text)
	}
}

// TestSessions: what leaves state on a connection is refused, or served on a connection that nothing else gets.
func TestSessions(t *testing.T) {
	f := startFleet(t, ownText, nil)
	c := f.router.call(t)
	for text, code := range map[string]string{"SET search_path = evil": "0A000", "BEGIN": "0A000", "COPY t TO STDOUT": "0A000",
		"SELECT pg_advisory_lock(1)": "0A000", "SELECT 'half": "0A000", "LISTEN x": "0A000", "SELECT 1": "", "SHOW search_path": "",
		"SELECT * FROM nowhere": "42P01", "/* id=1,c=look */ SELECT 1": "08P01", "/* id=1,c=none,d=5,cluster=0 */ SELECT 1": "08P01"} {
		c.ask(text)
		_, _, got, _ := c.answer()
		require.Equal(t, code, got, text)
	}
	open := startFleet(t, strings.Replace(ownText, "classing:", "classing:\n  sessions: close\n  several: refuse", 1), nil)
	c = open.router.call(t)
	ask := func(text string) (string, string) {
		c.ask(text)
		_, value, code, _ := c.answer()
		return value, code
	}
	for _, text := range []string{"SET search_path = evil", "BEGIN", "SET search_path = evil"} {
		_, code := ask(text)
		require.Empty(t, code)
	}
	for range 20 {
		value, code := ask("SHOW search_path")
		require.Equal(t, []string{"", ""}, []string{value, code}, "no connection with another's state")
	}
	_, code := ask("SELECT 1; SELECT 2")
	require.Equal(t, "0A000", code)
}

// TestReclassed: a comment that calls a write a read is told apart; what a replica refuses goes to the primary, once.
func TestReclassed(t *testing.T) {
	f := startFleet(t, ownText, func(g *testserver.Group) {
		g.Writes = marked
		g.Run = func(string) []byte { return testserver.Row("ok") }
	})
	c := f.router.call(t)
	c.ask(strings.Replace(statement("a1", "look", 2000), "SELECT body FROM objects WHERE oid = '7f3a'", "DELETE FROM w_r_i_t_e", 1))
	_, _, code, _ := c.answer()
	require.Empty(t, code)
	c.ask(statement("a2", "look", 2000))
	_, _, code, _ = c.answer()
	require.Empty(t, code)
	for range 3 {
		c.ask("SELECT w_r_i_t_e.sneaky FROM w_r_i_t_e") // a function in the notation of a column, declared nowhere
		_, value, code, _ := c.answer()
		require.Equal(t, []string{"ok", ""}, []string{value, code})
	}
	refusals, atPrimary := 0, 0
	for _, r := range f.group.History() {
		switch {
		case strings.Contains(r.Text, "id=a2"):
			require.False(t, r.Primary)
		case !r.Primary:
			refusals++
		default:
			atPrimary++
		}
	}
	require.Equal(t, []int{1, 4}, []int{refusals, atPrimary}, "a replica refused it once, the shape is a write since")
}

// TestReread: SIGHUP takes over rules; a bad file is left aside.
func TestReread(t *testing.T) {
	f := startFleet(t, ownText, func(g *testserver.Group) { g.Writes = func(string) bool { return false } })
	c := f.router.call(t)
	at := func() (primary bool) {
		c.ask("SELECT total(3)")
		_, _, code, _ := c.answer()
		require.Empty(t, code)
		h := f.group.History()
		return h[len(h)-1].Primary
	}
	require.True(t, at(), "nobody declared it")
	require.NoError(t, os.WriteFile(f.own, []byte("classing: {memory: 3}"), 0o600))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	f.router.logged(t, "the new settings are left aside")
	require.True(t, at())
	require.NoError(t, os.WriteFile(f.own, []byte(strings.Replace(ownText, "{name: pay_out", "{name: total, does: reads}, {name: pay_out", 1)), 0o600))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	f.router.logged(t, "settings read again")
	require.False(t, at())
}

func (r *router) logged(t *testing.T, message string) {
	require.Eventually(t, func() bool {
		for _, e := range r.log.AllEntries() {
			if e.Message == message {
				return true
			}
		}
		return false
	}, patience, time.Millisecond)
}

// TestAdmin asks for the shapes on the socket.
func TestAdmin(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.sock")
	f := startFleet(t, ownText+"admin:\n  socket: "+path+"\n", nil)
	c := f.router.call(t)
	for i := range 10 {
		c.ask(fmt.Sprintf("SELECT %d", i+7))
		c.answer()
	}
	ask := func(question string) (s Shapes, text string) {
		nc, err := net.Dial("unix", path)
		require.NoError(t, err)
		defer nc.Close()
		fmt.Fprintln(nc, question)
		text, err = bufio.NewReader(nc).ReadString('\n')
		require.NoError(t, err)
		json.Unmarshal([]byte(text), &s)
		return s, text
	}
	require.Eventually(t, func() bool { s, _ := ask("shapes 5"); return len(s.Lines) == 1 && s.Lines[0].P50 > 0 }, patience, time.Millisecond)
	s, _ := ask("shapes 5")
	require.Equal(t, []any{int64(10), 0.9, "select $0", 1.0}, []any{s.Classed, s.HitRate, s.Lines[0].Shape, s.Lines[0].Work})
	var counters []Counter
	_, told := ask("counters")
	require.NoError(t, json.Unmarshal([]byte(told), &counters))
	require.Contains(t, counters, Counter{"eiderway_txns_total", "Txns by what became of them.", []string{"state", "committed"}, 10})
	_, text := ask("drop everything")
	require.Contains(t, text, "error")
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
}

// TestLeavesWhileClassed: a client that closes with a statement on its way is not answered, and nothing is kept of it.
func TestLeavesWhileClassed(t *testing.T) {
	f := startFleet(t, ownText, func(g *testserver.Group) { g.Latency = 5 * time.Millisecond })
	for i := range 30 {
		c := f.router.call(t)
		c.ask(fmt.Sprintf("INSERT INTO t VALUES ('%d', 'x')", i))
		c.nc.Close()
	}
	c := f.router.call(t)
	c.ask("SELECT 1")
	_, _, code, _ := c.answer()
	require.Empty(t, code)
	ran := map[string]int{}
	for _, r := range f.group.History() {
		ran[r.Text]++
		require.Equal(t, 1, ran[r.Text], "%s ran twice", r.Text)
		require.True(t, r.Primary || !strings.HasPrefix(r.Text, "INSERT"), r.Text)
	}
}

func TestStatementTimeout(t *testing.T) {
	for text, want := range map[string]float64{"250": 0.25, "2s": 2, "": 0, "x": 0, "-5": 0, "0": 0} {
		got := statementTimeout(func(name string) string { return map[string]string{"statement_timeout": text}[name] })
		require.Equal(t, want, got, text)
	}
	require.Equal(t, 1.5, statementTimeout(func(name string) string {
		return map[string]string{"options": "-c geqo=off -c statement_timeout=1500"}[name]
	}))
	var b pgwire.Buffer
	require.NoError(t, b.Fill(strings.NewReader("\x00\x00\x00\x18\x00\x03\x00\x00options\x00-c a=b\x00\x00")))
	_, ok, err := b.NextStartup()
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, []string{"-c a=b", ""}, []string{b.StartupParameter("options"), b.StartupParameter("user")})
}

// TestLongStatements: a statement far longer than is usual for its type is taken for lost a few times, until its shape
// is known to be costly. From then on each is sent once, and the cheap ones of its type go on as ever.
func TestLongStatements(t *testing.T) {
	own := `
classing:
  types:
    - {name: read, need: any, effect: repeatable, sla: 20ms, expiry: 1200ms, value: 1, late_value: 1}
    - {name: volatile, need: any, effect: once-only, sla: 1s, expiry: 2s, value: 1}
    - {name: write, need: primary, effect: once-only, sla: 1s, expiry: 2s, value: 1}
`
	f := startFleet(t, own, func(g *testserver.Group) {
		g.Run = func(string) []byte { return testserver.Row("ok") }
		g.LatencyOf = func(text string) time.Duration {
			if strings.Contains(text, "report") {
				return 600 * time.Millisecond
			}
			return 0
		}
	})
	c := f.router.call(t)
	served := 0
	for i := range 8 {
		c.ask(fmt.Sprintf("SELECT report FROM t WHERE a = %d", i))
		if _, _, code, _ := c.answer(); code == "" {
			served++
		}
		c.ask(fmt.Sprintf("SELECT cheap FROM t WHERE a = %d", i))
		_, _, code, _ := c.answer()
		require.Empty(t, code)
	}
	seen := map[string]int{}
	for _, r := range f.group.History() {
		seen[r.Text]++
	}
	require.GreaterOrEqual(t, served, 4)
	for i := 4; i < 8; i++ {
		require.Equal(t, 1, seen[fmt.Sprintf("SELECT report FROM t WHERE a = %d", i)])
	}
	t.Logf("%d of 8 served, %v", served, seen)
}
