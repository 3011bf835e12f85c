package shape

// This file owns what is found in a statement while it is parsed: what writes, what nobody declared, what it reads,
// how heavy it looks. It must never forget a reason to count a statement as a write.

// name is a name in the text: its last part, and the part before it, schema being -1 where there is none.
type name struct {
	at, end           int
	schema, schemaEnd int
}

const (
	mostTables = 16 // of a statement that are told apart; one with more is routed by these and the default group
	mostKeys   = 4  // key columns of a statement that are compared with a literal
)

// ref is a table that a statement names.
type ref struct {
	name
	written bool
}

// keyRef is a key column compared with the literal of that number.
type keyRef struct {
	column string
	lit    int
}

// finding is what one statement string holds.
type finding struct {
	text  []byte // the shape
	rules *rules
	buf   []byte
	kind  int // the word of the grammar that begins the last statement

	statements int
	analyze    bool
	recursive  bool
	wrote      string // what writes, the first of it
	unsure     string // what nobody declared
	volatile   string // a call whose result differs from run to run
	pins       string // what it leaves on its connection, or needs there
	copies     bool   // it begins a copy
	shows      bool   // it only shows a setting

	selects, from, wheres, joins, groups, orders, limits, aggregates int

	tables []ref
	more   bool // tables beyond mostTables
	ctes   []name
	keys   []keyRef
	keyAt  int // a key column that was the last token, or the one before an operator; -1: none
	keyEnd int
	keyOp  bool
	marked [][]byte // names in a write, for its mark
	called []string // functions that rules name
}

func (f *finding) reset(text []byte, r *rules) {
	*f = finding{text: text, rules: r, buf: f.buf, tables: f.tables[:0], ctes: f.ctes[:0], keys: f.keys[:0],
		marked: f.marked[:0], called: f.called[:0], keyAt: -1}
}

// lower gives a piece of the text in lower case, without its quotes. A name in quotes keeps its case.
func (f *finding) lower(at, end int) string {
	if at >= end {
		return ""
	}
	b := f.text[at:end]
	switch b[0] {
	case '"':
		f.buf = f.buf[:0]
		for i := 1; i < len(b)-1; i++ {
			if b[i] == '"' {
				i++
			}
			f.buf = append(f.buf, b[i])
		}
		return string(f.buf)
	case 'U':
		if len(b) > 2 && b[1] == '&' && b[2] == '"' {
			return string(b) // escapes may spell anything: like no declared name
		}
	}
	return string(b) // the shape has words in lower case
}

func (f *finding) last(n name) string { return f.lower(n.at, n.end) }

func (f *finding) schema(n name) string {
	if n.schema < 0 {
		return ""
	}
	return f.lower(n.schema, n.schemaEnd)
}

func (f *finding) statement() { f.statements++ }

func (f *finding) qualify(a, b name) name {
	return name{at: b.at, end: b.end, schema: a.at, schemaEnd: a.end}
}

func (f *finding) writes(why string) {
	if f.wrote == "" {
		f.wrote = why
	}
}

func (f *finding) unknown(what, name string) {
	if f.unsure == "" {
		f.unsure = what + " " + name + " is not declared"
	}
}

// explained ends an EXPLAIN: without ANALYZE nothing was run.
func (f *finding) explained() {
	if !f.analyze {
		f.wrote = ""
	}
}

// define notes a name that WITH gives: it is no table.
func (f *finding) define(n name) {
	if len(f.ctes) < mostTables {
		f.ctes = append(f.ctes, n)
	}
}

func (f *finding) table(n name, written bool) {
	if n.schema < 0 {
		for _, c := range f.ctes {
			if string(f.text[c.at:c.end]) == string(f.text[n.at:n.end]) {
				return
			}
		}
	}
	if f.text[n.at] == 'U' && n.end-n.at > 2 && f.text[n.at+1] == '&' {
		f.unknown("the escaped name", f.last(n))
	}
	if full, ok := f.rules.writingView(f.schema(n), f.last(n)); ok {
		f.writes("view " + full + " writes")
	}
	if len(f.tables) < mostTables {
		f.tables = append(f.tables, ref{n, written})
	} else {
		f.more = true
	}
}

// call judges a function by the settings, then by the catalogue; what is in neither counts as one that writes.
func (f *finding) call(n name) {
	schema, fn := f.schema(n), f.last(n)
	if len(f.called) < mostTables && len(f.rules.Rules) > 0 {
		if schema != "" {
			fn = schema + "." + fn
		}
		f.called = append(f.called, fn)
		fn = f.last(n)
	}
	if d, ok := f.rules.function(schema, fn); ok {
		switch {
		case d.Writes:
			f.writes("function " + d.Name + " writes")
		case d.Volatile && f.volatile == "":
			f.volatile = "function " + d.Name + " is volatile"
		}
		return
	}
	k := builtin[fn]
	if schema != "" && schema != "pg_catalog" && schema != "information_schema" {
		k = 0
	}
	if k&fnPins != 0 && f.pins == "" {
		f.pins = "function " + fn
	}
	switch {
	case k == 0:
		f.unknown("function", fn)
	case k&fnWrites != 0:
		f.writes("function " + fn + " writes")
	case k&fnVolatile != 0 && f.volatile == "":
		f.volatile = "function " + fn + " is volatile"
	case k&fnAggregate != 0:
		f.aggregates++
	}
}

// cast judges a type by name: one that nobody declared may call any function to come to be.
func (f *finding) cast(n name) {
	schema, t := f.schema(n), f.last(n)
	if f.rules.casts[t] || (schema == "" || schema == "pg_catalog") && builtin[t]&fnType != 0 {
		return
	}
	f.unknown("type", t)
}

func (f *finding) operator(n name) {
	op := string(f.text[n.at:n.end])
	if !operators[op] && !f.rules.operators[op] {
		f.unknown("operator", op)
	}
}

// column takes a name in an expression. Behind a dot it may be a function in the notation of a column.
func (f *finding) column(n name) {
	if n.schema >= 0 {
		f.field(n)
	}
}

func (f *finding) field(n name) {
	fn := f.last(n)
	if d, ok := f.rules.function("", fn); ok && d.Writes {
		f.writes("function " + d.Name + " writes, called as a column")
	}
	if builtin[fn]&fnPins != 0 && f.pins == "" {
		f.pins = "function " + fn
	}
	if f.rules.marks[fn] && len(f.marked) < mostKeys {
		f.marked = append(f.marked, f.text[n.at:n.end])
	}
}

func (f *finding) key(column string, lit int) {
	if len(f.keys) < mostKeys {
		f.keys = append(f.keys, keyRef{column, lit})
	}
}

// verbs class the statements that are not looked into, by their first word. What is not here writes, and may leave
// anything on its connection.
var verbs = map[string]struct{ writes, pins, shows, copies bool }{
	"show": {shows: true}, "checkpoint": {writes: true}, "vacuum": {writes: true}, "analyze": {writes: true},
	"cluster": {writes: true}, "reindex": {writes: true}, "refresh": {writes: true}, "truncate": {writes: true},
	"create": {writes: true}, "alter": {writes: true}, "drop": {writes: true}, "comment": {writes: true},
	"grant": {writes: true}, "revoke": {writes: true}, "security": {writes: true}, "reassign": {writes: true},
	"import": {writes: true}, "notify": {writes: true}, "copy": {writes: true, copies: true},
	"call": {writes: true, pins: true}, "do": {writes: true, pins: true},
	"lock": {writes: true, pins: true}, "listen": {writes: true, pins: true}, "unlisten": {writes: true, pins: true},
	"set": {writes: true, pins: true}, "reset": {writes: true, pins: true}, "discard": {writes: true, pins: true},
	"begin": {writes: true, pins: true}, "start": {writes: true, pins: true}, "commit": {writes: true, pins: true},
	"end": {writes: true, pins: true}, "rollback": {writes: true, pins: true}, "abort": {writes: true, pins: true},
	"savepoint": {writes: true, pins: true}, "release": {writes: true, pins: true},
	"prepare": {writes: true, pins: true}, "execute": {writes: true, pins: true},
	"deallocate": {writes: true, pins: true}, "declare": {writes: true, pins: true}, "move": {writes: true, pins: true},
	"close": {writes: true, pins: true}, "fetch": {writes: true, pins: true}, "load": {writes: true, pins: true}}

func (f *finding) verb(first, second string) {
	v, ok := verbs[first]
	if !ok {
		f.unknown("statement", first)
		f.pin(first)
		return
	}
	f.shows, f.copies = v.shows, f.copies || v.copies
	if v.writes {
		f.writes(first)
	}
	if v.pins || first == "create" && (second == "temp" || second == "temporary" || second == "local" || second == "global") {
		f.pin(first)
	}
}

func (f *finding) pin(what string) {
	if f.pins == "" {
		f.pins = what
	}
}
