// Package testserver simulates a router's surroundings on loopback, for tests, demonstrations and experiments: database
// nodes that keep rows and apply a log, a discovery service that lists them, and a history of the statements that each
// node executed. It checks nothing itself and must never be part of a router.
package testserver

// This file simulates a group of nodes: a primary, its log, and replicas that apply the log with a lag.

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderway/pgwire"
)

// Execution is one statement that a node executed, or refused as a write on a replica.
type Execution struct {
	Node    string
	Primary bool
	Text    string
	At      time.Time
}

// Group is a primary and its replicas. Its mutex guards their shared state.
type Group struct {
	Number    int
	Lag       time.Duration                   // delay after which replicas apply a commit
	Writes    func(text string) bool          // reports whether a replica refuses the statement; nil: judged by its first word
	Run       func(text string) []byte        // returns the result of a statement; nil: taken from the group's rows
	Latency   time.Duration                   // execution time of a statement
	LatencyOf func(text string) time.Duration // execution time by statement; replaces Latency unless nil

	mu         sync.Mutex
	nodes      []*Node
	log        []commit
	history    []Execution
	goroutines sync.WaitGroup
}

// commit is one committed change of a row.
type commit struct {
	at        time.Time
	table     string
	key, body string
	deleted   bool
}

// Node is a server of the PostgreSQL protocol that takes simple queries and asks for no password.
type Node struct {
	Name         string
	group        *Group
	ln           net.Listener
	primary      bool
	open         map[net.Conn]bool
	fault        atomic.Int32
	asked        atomic.Int64 // statements received, without probes
	lastAsked    atomic.Int64 // when the newest of them was received, in Unix ns
	extraLatency atomic.Int64 // ns that a statement takes beyond the group's latency
	frozenAt     atomic.Int64 // time at which its replication position is frozen, in Unix ns; 0: it isn't
	Zone         string       // zone that discovery lists; empty: a
	load         load
}

// Fault is the way in which a node misbehaves.
type Fault int32

const (
	Healthy Fault = iota
	Hangs         // accepts everything and answers nothing
	Fails         // fails every statement at once, but answers probes
	Loses         // executes everything and loses every second answer
)

// AddReplica starts another replica in the group and zone of n, with its own name.
func (n *Node) AddReplica() (*Node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := n.group
	g.mu.Lock()
	replica := &Node{Name: fmt.Sprintf("g%d-n%d", g.Number, len(g.nodes)), Zone: n.Zone, group: g, ln: ln, open: map[net.Conn]bool{}}
	g.nodes = append(g.nodes, replica)
	g.mu.Unlock()
	g.goroutines.Go(replica.accept)
	return replica, nil
}

// SetExtraLatency makes each statement on the node take longer by this time.
func (n *Node) SetExtraLatency(extra time.Duration) { n.extraLatency.Store(int64(extra)) }

// FreezePosition stops a replica from applying commits, although it keeps answering, or lets it catch up again.
func (n *Node) FreezePosition(freeze bool) {
	if freeze {
		n.frozenAt.Store(time.Now().UnixNano())
	} else {
		n.frozenAt.Store(0)
	}
}

// Put adds a row that all nodes have from the beginning.
func (g *Group) Put(table, key, body string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log = append(g.log, commit{table: table, key: key, body: body})
}

// SetFault sets the fault of a node; Healthy ends it.
func (n *Node) SetFault(f Fault) { n.fault.Store(int32(f)) }

// LastAsked returns when the newest statement other than a probe was received.
func (n *Node) LastAsked() time.Time { return time.Unix(0, n.lastAsked.Load()) }

// Asked returns how many statements other than probes were received.
func (n *Node) Asked() int64 { return n.asked.Load() }

// NewGroup starts a primary and this many replicas.
func NewGroup(number, replicas int) (*Group, error) {
	g := &Group{Number: number}
	for i := range replicas + 1 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.Close()
			return nil, err
		}
		n := &Node{Name: fmt.Sprintf("g%d-n%d", number, i), group: g, ln: ln, primary: i == 0, open: map[net.Conn]bool{}}
		g.nodes = append(g.nodes, n)
		g.goroutines.Go(n.accept)
	}
	return g, nil
}

// Nodes returns the group's nodes in the order in which they were started, the initial primary first.
func (g *Group) Nodes() []*Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.nodes)
}

// History returns what was executed so far, in order.
func (g *Group) History() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.history)
}

// Promote makes node i the only primary.
func (g *Group) Promote(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, n := range g.nodes {
		n.primary = k == i
	}
}

// Close stops the nodes and waits until they have ended.
func (g *Group) Close() {
	for _, n := range g.Nodes() {
		n.Stop()
	}
	g.goroutines.Wait()
}

// Stop closes the listener and all connections, as when the process dies.
func (n *Node) Stop() {
	n.ln.Close()
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	for nc := range n.open {
		nc.Close()
	}
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// accept serves connections until the listener is closed.
func (n *Node) accept() {
	for {
		nc, err := n.ln.Accept()
		if err != nil {
			return
		}
		if n.load.isDown() {
			nc.Close()
			continue
		}
		n.group.mu.Lock()
		n.open[nc] = true
		n.group.mu.Unlock()
		n.group.goroutines.Go(func() {
			n.serve(nc)
			nc.Close()
			n.group.mu.Lock()
			delete(n.open, nc)
			n.group.mu.Unlock()
		})
	}
}

// serve greets a client and answers its queries until the connection ends or the node goes down.
func (n *Node) serve(nc net.Conn) {
	var buf pgwire.Buffer
	for {
		_, ok, err := buf.NextStartup()
		if err != nil {
			return
		}
		if ok {
			break
		}
		if buf.Fill(nc) != nil {
			return
		}
	}
	out := pgwire.AppendGreeting(nil)
	state := &session{}
	for {
		if m, ok, err := buf.Next(); err != nil || ok && m.Type == 'X' {
			return
		} else if ok && m.Type == 'Q' {
			text := strings.TrimSuffix(string(m.Body), "\x00")
			probe := text == "SELECT 1" || text == "SHOW stats"
			count := n.asked.Load()
			if !probe {
				count = n.asked.Add(1)
				n.lastAsked.Store(time.Now().UnixNano())
			}
			switch f := Fault(n.fault.Load()); {
			case f == Hangs:
			case f == Fails && !probe:
				out = append(out, pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "XX000", "a fault", ""))...)
			case !probe && !n.waitForTurn():
				return
			case f == Loses && !probe && count%2 == 0:
				n.answer(state, text)
			default:
				out = append(out, n.answer(state, text)...)
			}
			continue
		}
		if len(out) > 0 {
			if _, err := nc.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
		if buf.Fill(nc) != nil {
			return
		}
	}
}

// session is the state of a connection that statements change.
type session struct {
	setting       string // text of the last SET, which SHOW answers
	inTransaction bool
}

// answer executes a query string and returns the messages that answer it, with the node's mode and position.
func (n *Node) answer(s *session, text string) []byte {
	g := n.group
	g.mu.Lock()
	primary := n.primary
	now := time.Now()
	g.mu.Unlock()
	mode, pos := "read-write", now
	if !primary {
		mode, pos = "read-only", now.Add(-g.Lag)
		if at := n.frozenAt.Load(); at > 0 && at < pos.UnixNano() {
			pos = time.Unix(0, at)
		}
	}
	out := pgwire.Append(nil, 'S', "mode\x00"+mode+"\x00")
	out = pgwire.Append(out, 'S', fmt.Sprintf("wal_time\x00%d\x00", pos.UnixMilli()))
	status := func(b []byte) []byte {
		if s.inTransaction {
			return pgwire.Append(b, 'Z', "T")
		}
		return pgwire.AppendReady(b)
	}
	first := strings.ToLower(firstWord(text))
	switch {
	case strings.TrimSpace(text) == "":
		return status(pgwire.Append(out, 'I'))
	case text == "SHOW stats":
		x1 := 0
		if primary {
			x1 = 1
		}
		return status(append(Row(fmt.Sprintf("inflight=0,x0=%.3f,x1=%d", float64(pos.UnixMilli())/1000, x1)), out...))
	case text == "SELECT 1":
		return status(append(Row("1"), out...))
	}
	latency := g.Latency
	if g.LatencyOf != nil {
		latency = g.LatencyOf(text)
	}
	if latency += time.Duration(n.extraLatency.Load()); latency > 0 {
		time.Sleep(latency)
	}
	writes := g.Writes
	if writes == nil {
		writes = func(text string) bool {
			return slices.Contains([]string{"insert", "update", "delete", "create", "drop", "alter", "truncate"}, strings.ToLower(firstWord(text)))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now
	// A write is stamped under the lock, in the order of the log: of two writes of a row, the one with the later time stays.
	if primary && writes(text) {
		at = time.Now()
	}
	g.history = append(g.history, Execution{n.Name, primary, text, at})
	if !primary && writes(text) {
		return status(append(out, pgwire.AppendError(nil, "ERROR", "25006", "cannot execute "+first+" in a read-only transaction", "")...))
	}
	switch first {
	case "begin":
		s.inTransaction = true
		return status(pgwire.Append(out, 'C', "BEGIN\x00"))
	case "commit", "rollback":
		s.inTransaction = false
		return status(pgwire.Append(out, 'C', strings.ToUpper(first)+"\x00"))
	case "set":
		s.setting = text
		return status(pgwire.Append(out, 'C', "SET\x00"))
	case "show":
		return status(append(out, Row(s.setting)...))
	}
	if g.Run != nil {
		return status(append(out, g.Run(text)...))
	}
	return status(append(out, g.run(text, pos, primary)...))
}

// firstWord returns the first word of a statement after leading comments.
func firstWord(text string) string {
	for strings.HasPrefix(strings.TrimSpace(text), "/*") {
		_, after, ok := strings.Cut(text, "*/")
		if !ok {
			return ""
		}
		text = after
	}
	text = strings.TrimSpace(text)
	if i := strings.IndexFunc(text, func(r rune) bool { return r < 'A' || r > 'z' }); i >= 0 {
		return text[:i]
	}
	return text
}

// run executes the few statement forms that the node knows, on rows of a key and a body. Any other statement answers one row.
func (g *Group) run(text string, pos time.Time, primary bool) []byte {
	literals := quotedLiterals(text)
	words := strings.Fields(strings.ToLower(strings.NewReplacer("(", " ", ")", " ", ",", " ", "=", " ").Replace(text)))
	after := func(word string) string {
		if i := slices.Index(words, word); i >= 0 && i+1 < len(words) {
			return words[i+1]
		}
		return ""
	}
	switch strings.ToLower(firstWord(text)) {
	case "insert":
		if len(literals) >= 2 {
			if primary {
				g.log = append(g.log, commit{at: time.Now(), table: after("into"), key: literals[0], body: literals[1]})
			}
			if strings.Contains(strings.ToLower(text), " returning ") {
				return Row(literals[1])
			}
			return pgwire.Append(Row(literals[1])[:0], 'C', "INSERT 0 1\x00")
		}
	case "update":
		if len(literals) >= 2 {
			g.log = append(g.log, commit{at: time.Now(), table: after("update"), key: literals[1], body: literals[0]})
			return pgwire.Append(nil, 'C', "UPDATE 1\x00")
		}
	case "delete":
		if len(literals) >= 1 {
			g.log = append(g.log, commit{at: time.Now(), table: after("from"), key: literals[0], deleted: true})
			return pgwire.Append(nil, 'C', "DELETE 1\x00")
		}
	case "select":
		table := after("from")
		switch {
		case table == "nowhere":
			return pgwire.AppendError(nil, "ERROR", "42P01", `relation "nowhere" does not exist`, "")
		case strings.Contains(text, "count(*)"):
			return Row(strconv.Itoa(len(g.rows(table, pos))))
		case len(literals) > 0 && strings.Contains(strings.ToLower(text), "where"):
			body, ok := g.rows(table, pos)[literals[0]]
			if !ok {
				return Rows([]string{"body"})
			}
			return Row(body)
		}
	}
	return Row("ok")
}

// rows returns the bodies of a table's rows by key, as of a replication position.
func (g *Group) rows(table string, pos time.Time) map[string]string {
	rows := map[string]string{}
	for _, c := range g.log {
		if c.table != table || c.at.After(pos) {
			continue
		}
		if rows[c.key] = c.body; c.deleted {
			delete(rows, c.key)
		}
	}
	return rows
}

// quotedLiterals returns the contents of the quoted strings in a statement.
func quotedLiterals(text string) (out []string) {
	for {
		_, after, ok := strings.Cut(text, "'")
		if !ok {
			return out
		}
		value, rest, ok := strings.Cut(after, "'")
		if !ok {
			return out
		}
		out, text = append(out, value), rest
	}
}

// Row returns the messages of a result with one row of one column.
func Row(value string) []byte { return Rows([]string{"body"}, []string{value}) }

// Rows returns the messages of a result whose columns are all of type text.
func Rows(columns []string, rows ...[]string) []byte {
	bigEndian := func(n, bytes int) string {
		return string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}[4-bytes:])
	}
	parts := []string{bigEndian(len(columns), 2)}
	for _, c := range columns {
		parts = append(parts, c, "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	}
	b := pgwire.Append(nil, 'T', parts...)
	for _, r := range rows {
		parts = []string{bigEndian(len(r), 2)}
		for _, v := range r {
			parts = append(parts, bigEndian(len(v), 4), v)
		}
		b = pgwire.Append(b, 'D', parts...)
	}
	return pgwire.Append(b, 'C', "SELECT "+strconv.Itoa(len(rows))+"\x00")
}

// Misplaced returns the statements of a history that a replica received although they write, as judged by writes, sorted by node.
func Misplaced(history []Execution, writes func(string) bool) (out []Execution) {
	for _, r := range history {
		if !r.Primary && writes(r.Text) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b Execution) int { return cmp.Compare(a.Node, b.Node) })
	return out
}
