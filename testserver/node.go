// Package testserver has stand-ins of the outside on loopback, for tests, demonstrations and experiments: nodes that keep
// rows and apply a log, a discovery that hands out their list, and a history of what each of them ran. It judges
// nothing, and must never be part of a router.
package testserver

// This file owns a group of nodes: a primary, its log, and replicas that apply it late.

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

// Execution is a statement that a node ran, in the order of a group's history.
type Execution struct {
	Node    string
	Primary bool
	Text    string
	At      time.Time
}

// Group is a primary and its replicas. Its lock is over all that they hold.
type Group struct {
	Number    int
	Lag       time.Duration                   // replicas apply a commit this late
	Writes    func(text string) bool          // which statements a replica refuses; nil: by their first word
	Run       func(text string) []byte        // what a statement answers; nil: by the rows the group keeps
	Latency   time.Duration                   // a statement takes as long
	LatencyOf func(text string) time.Duration // or as long as this says

	mu    sync.Mutex
	nodes []*Node
	log   []commit
	ran   []Execution
	all   sync.WaitGroup
}

// commit is a row as it stood from a time on.
type commit struct {
	at        time.Time
	table     string
	key, body string
	gone      bool
}

// Node is a server of PostgreSQL's protocol: simple queries, no password.
type Node struct {
	Name    string
	group   *Group
	ln      net.Listener
	primary bool
	open    map[net.Conn]bool
	fault   atomic.Int32
	asked   atomic.Int64
	last    atomic.Int64 // Unix ns of the newest of them
	takes   atomic.Int64 // ns that a statement takes beyond the group's time
	stuck   atomic.Int64 // Unix ns at which its position stands still; 0: it does not
	Zone    string       // as discovery tells it; "" is a
	bears   bears
}

// Fault is a trouble of a node.
type Fault int32

const (
	Healthy Fault = iota
	Hangs         // takes all and answers nothing
	Fails         // fails all at once but probes
	Loses         // runs all and loses every second answer
)

// AddReplica starts another replica of a node's group and zone, under a name of its own.
func (n *Node) AddReplica() (*Node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := n.group
	g.mu.Lock()
	twin := &Node{Name: fmt.Sprintf("g%d-n%d", g.Number, len(g.nodes)), Zone: n.Zone, group: g, ln: ln, open: map[net.Conn]bool{}}
	g.nodes = append(g.nodes, twin)
	g.mu.Unlock()
	g.all.Go(twin.accept)
	return twin, nil
}

// SetExtraLatency has each statement take longer, by so much.
func (n *Node) SetExtraLatency(by time.Duration) { n.takes.Store(int64(by)) }

// FreezePosition has a node's position stand still: it applies no commit any more, though it answers. Off: it goes on.
func (n *Node) FreezePosition(on bool) {
	if on {
		n.stuck.Store(time.Now().UnixNano())
	} else {
		n.stuck.Store(0)
	}
}

// Put has a row stand from the beginning.
func (g *Group) Put(table, key, body string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log = append(g.log, commit{table: table, key: key, body: body})
}

// SetFault gives a node a trouble, or ends it.
func (n *Node) SetFault(f Fault) { n.fault.Store(int32(f)) }

// LastAsked tells when the newest of them came.
func (n *Node) LastAsked() time.Time { return time.Unix(0, n.last.Load()) }

// Asked tells how many statements, probes left out, have come.
func (n *Node) Asked() int64 { return n.asked.Load() }

// NewGroup starts a primary and replicas.
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
		g.all.Go(n.accept)
	}
	return g, nil
}

// Nodes tells the group's nodes, the primary first as it was made.
func (g *Group) Nodes() []*Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.nodes)
}

// History tells what was run so far.
func (g *Group) History() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.ran)
}

// Promote makes another node the primary.
func (g *Group) Promote(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, n := range g.nodes {
		n.primary = k == i
	}
}

// Close ends the nodes and waits until they have.
func (g *Group) Close() {
	for _, n := range g.Nodes() {
		n.Stop()
	}
	g.all.Wait()
}

// Stop acts as a process that dies.
func (n *Node) Stop() {
	n.ln.Close()
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	for nc := range n.open {
		nc.Close()
	}
}

// Addr tells where a node listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

func (n *Node) accept() {
	for {
		nc, err := n.ln.Accept()
		if err != nil {
			return
		}
		if n.bears.down() {
			nc.Close()
			continue
		}
		n.group.mu.Lock()
		n.open[nc] = true
		n.group.mu.Unlock()
		n.group.all.Go(func() {
			n.serve(nc)
			nc.Close()
			n.group.mu.Lock()
			delete(n.open, nc)
			n.group.mu.Unlock()
		})
	}
}

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
				n.last.Store(time.Now().UnixNano())
			}
			switch f := Fault(n.fault.Load()); {
			case f == Hangs:
			case f == Fails && !probe:
				out = append(out, pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "XX000", "a fault", ""))...)
			case !probe && !n.turn():
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

// session is what statements leave behind on a connection.
type session struct {
	path   string // search_path
	inside bool   // a transaction
}

// answer runs a query string.
func (n *Node) answer(s *session, text string) []byte {
	g := n.group
	g.mu.Lock()
	primary := n.primary
	now := time.Now()
	g.mu.Unlock()
	mode, pos := "read-write", now
	if !primary {
		mode, pos = "read-only", now.Add(-g.Lag)
		if at := n.stuck.Load(); at > 0 && at < pos.UnixNano() {
			pos = time.Unix(0, at)
		}
	}
	out := pgwire.Append(nil, 'S', "mode\x00"+mode+"\x00")
	out = pgwire.Append(out, 'S', fmt.Sprintf("wal_time\x00%d\x00", pos.UnixMilli()))
	status := func(b []byte) []byte {
		if s.inside {
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
	takes := g.Latency
	if g.LatencyOf != nil {
		takes = g.LatencyOf(text)
	}
	if takes += time.Duration(n.takes.Load()); takes > 0 {
		time.Sleep(takes)
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
	if primary && writes(text) { // as the log has it: of two writes of a row the later one by this time is what stays
		at = time.Now()
	}
	g.ran = append(g.ran, Execution{n.Name, primary, text, at})
	if !primary && writes(text) {
		return status(append(out, pgwire.AppendError(nil, "ERROR", "25006", "cannot execute "+first+" in a read-only transaction", "")...))
	}
	switch first {
	case "begin":
		s.inside = true
		return status(pgwire.Append(out, 'C', "BEGIN\x00"))
	case "commit", "rollback":
		s.inside = false
		return status(pgwire.Append(out, 'C', strings.ToUpper(first)+"\x00"))
	case "set":
		s.path = text
		return status(pgwire.Append(out, 'C', "SET\x00"))
	case "show":
		return status(append(out, Row(s.path)...))
	}
	if g.Run != nil {
		return status(append(out, g.Run(text)...))
	}
	return status(append(out, g.run(text, pos, primary)...))
}

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

// run executes the few forms that the stand-in knows, on rows of a key and a body; anything else answers one row.
func (g *Group) run(text string, pos time.Time, primary bool) []byte {
	literals := quoted(text)
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
			g.log = append(g.log, commit{at: time.Now(), table: after("from"), key: literals[0], gone: true})
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

// rows are a table's rows as of a position.
func (g *Group) rows(table string, pos time.Time) map[string]string {
	rows := map[string]string{}
	for _, c := range g.log {
		if c.table != table || c.at.After(pos) {
			continue
		}
		if rows[c.key] = c.body; c.gone {
			delete(rows, c.key)
		}
	}
	return rows
}

func quoted(text string) (out []string) {
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

// Row is a result of one row of one column.
func Row(value string) []byte { return Rows([]string{"body"}, []string{value}) }

// Rows is a result of any form, all text.
func Rows(columns []string, rows ...[]string) []byte {
	number := func(n, bytes int) string {
		return string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}[4-bytes:])
	}
	parts := []string{number(len(columns), 2)}
	for _, c := range columns {
		parts = append(parts, c, "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	}
	b := pgwire.Append(nil, 'T', parts...)
	for _, r := range rows {
		parts = []string{number(len(r), 2)}
		for _, v := range r {
			parts = append(parts, number(len(v), 4), v)
		}
		b = pgwire.Append(b, 'D', parts...)
	}
	return pgwire.Append(b, 'C', "SELECT "+strconv.Itoa(len(rows))+"\x00")
}

// Misplaced tells the statements of a history that a replica ran though they write, by a judge of the caller's.
func Misplaced(history []Execution, writes func(string) bool) (out []Execution) {
	for _, r := range history {
		if !r.Primary && writes(r.Text) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b Execution) int { return cmp.Compare(a.Node, b.Node) })
	return out
}
