package shape

// This file owns the words: which of them the grammar takes as key words, by what stands around them. It must never
// turn a word that writes into a name, except behind a dot or AS, where SQL has nothing but names.

// words that the grammar knows, in lower case. What is not here is a name.
var words = map[string]int{"select": SELECT, "values": VALUES, "table": TABLE, "with": WITH, "from": FROM, "into": INTO,
	"where": WHERE, "group": GROUP, "having": HAVING, "window": WINDOW, "order": ORDER, "limit": LIMIT, "offset": OFFSET,
	"fetch": FETCH, "for": FOR, "union": SETOP, "intersect": SETOP, "except": SETOP, "recursive": RECURSIVE, "as": AS,
	"on": ON, "using": USING, "join": JOIN, "inner": JOINKIND, "left": JOINKIND, "right": JOINKIND, "full": JOINKIND,
	"outer": JOINKIND, "cross": JOINKIND, "natural": JOINKIND, "lateral": LATERAL, "only": ONLY, "insert": INSERT,
	"update": UPDATE, "delete": DELETE, "merge": MERGE, "explain": EXPLAIN, "analyze": ANALYZE, "analyse": ANALYZE,
	"verbose": VERBOSE, "by": BY}

// plain are words of expressions that take no part in calls: one before "(" calls nothing.
var plain = func() map[string]bool {
	m := map[string]bool{}
	for _, w := range []string{"and", "or", "not", "is", "isnull", "notnull", "null", "true", "false", "like", "ilike",
		"similar", "to", "between", "symmetric", "asymmetric", "in", "exists", "any", "some", "all", "array", "case",
		"when", "then", "else", "end", "distinct", "asc", "desc", "nulls", "collate", "escape", "placing", "variadic",
		"both", "leading", "trailing", "tablesample", "default"} {
		m[w] = true
	}
	return m
}()

// starts are the words that begin a statement which the grammar looks into.
var starts = map[string]bool{"select": true, "values": true, "table": true, "with": true, "insert": true,
	"update": true, "delete": true, "merge": true, "explain": true}

// feed hands the grammar the tokens of a shape, and gathers what it finds.
type feed struct {
	finding
	lex    lexer
	cur    token // the token that the grammar gets now
	ahead  token // the one after it
	prev   token // the one before
	prevID int   // what the grammar took it for
	first  bool  // cur begins a statement
	raw    bool  // the rest of a statement is not looked into
	deep   int   // open parentheses
	consts int   // literals so far
	ins    insert
	base   int // the depth of a row of VALUES
	failed bool

	grouped bool // within GROUP BY
}

func found(l shapeLexer) *finding { return &l.(*feed).finding }

// Error is called by the grammar for what it does not accept.
func (f *feed) Error(string) { f.failed = true }

// Lex hands out the next token.
func (f *feed) Lex(v *shapeSymType) int {
	f.prev, f.cur, f.ahead = f.cur, f.ahead, f.lex.next()
	t := f.cur
	raw := f.raw
	id := f.id(t)
	if raw && id != ';' && id != 0 {
		id = ANY
	}
	v.name = name{at: t.at, end: t.end, schema: -1}
	f.watch(t, id)
	f.first = id == ';'
	f.prevID = id
	return id
}

// insert follows an INSERT up to its first row: which column is a key, and which literal stands in its place.
type insert struct {
	step  int // 1: behind INSERT, 2: among its columns, 3: behind them, 4: in the first row
	at    int // columns, or values, so far
	names [mostKeys]struct {
		column string
		at     int
	}
	count int
	lit   int // the literal that is all of this value so far, -1: none
}

func (f *feed) inserting(t token, id int) {
	n := &f.ins
	switch {
	case id == INSERT:
		*n = insert{step: 1, lit: -1}
	case n.step == 1 && id == '(':
		n.step, n.at = 2, 0
	case n.step == 2 && id == NAME:
		if w := f.lower(t.at, t.end); f.rules.keys[w] && n.count < mostKeys {
			n.names[n.count].column, n.names[n.count].at = w, n.at
			n.count++
		}
	case n.step == 2 && id == ',':
		n.at++
	case n.step == 2 && id == ')':
		n.step = 3
	case n.step == 3 && id == '(' && f.prevID == VALUES:
		n.step, n.at, n.lit = 4, 0, -1
		f.base = f.deep
	case n.step == 4 && (f.deep == f.base && id == ',' || f.deep < f.base):
		for _, k := range n.names[:n.count] {
			if k.at == n.at && n.lit >= 0 {
				f.key(k.column, n.lit)
			}
		}
		n.at++
		n.lit = -1
		if id == ')' {
			n.step = 0
		}
	case n.step == 4 && f.deep == f.base && id == CONST && (f.prevID == ',' || f.prevID == '('):
		n.lit = f.consts
	case n.step == 4:
		n.lit = -1
	}
}

// watch keeps the place of the literal that a key column is compared with.
func (f *feed) watch(t token, id int) {
	f.inserting(t, id)
	switch id {
	case NAME:
		f.keyAt = -1
		if f.rules.keys[f.lower(t.at, t.end)] {
			f.keyAt, f.keyEnd, f.keyOp = t.at, t.end, false
		}
	case OP:
		f.keyOp = f.keyAt >= 0 && t.end-t.at == 1 && f.text[t.at] == '='
	case CONST:
		if f.keyAt >= 0 && f.keyOp {
			f.key(f.lower(f.keyAt, f.keyEnd), f.consts)
		}
		f.consts++
		f.keyAt = -1
	default:
		f.keyAt = -1
	}
}

func (f *feed) id(t token) int {
	switch t.kind {
	case kEnd:
		return 0
	case kQuoted, kUnicode:
		if f.first && !f.raw {
			return f.other(t)
		}
		return NAME
	case kString, kNumber, kParam:
		return CONST
	case kOp:
		return OP
	case kCast:
		return CAST
	case kAssign:
		return ASSIGN
	case kPunct:
		switch t.punct {
		case '(':
			f.deep++
		case ')':
			f.deep--
		case ';':
			if f.deep <= 0 {
				f.raw, f.deep = false, 0
			}
		}
		return int(t.punct)
	case kWord:
		return f.word(t)
	}
	f.failed = true
	return ANY
}

// other begins a statement that is classed by its first words alone.
func (f *feed) other(t token) int {
	f.raw = true
	f.verb(f.lower(t.at, t.end), f.lower(f.ahead.at, f.ahead.end))
	return OTHER
}

func (f *feed) is(t token, words ...string) bool {
	for _, w := range words {
		if isWord(f.text, t, w) {
			return true
		}
	}
	return false
}

func (f *feed) word(t token) int {
	if f.raw {
		return ANY
	}
	w := f.lower(t.at, t.end)
	if f.first {
		if !starts[string(w)] {
			return f.other(t)
		}
		f.kind = words[string(w)]
		return f.kind
	}
	opens := f.ahead.kind == kPunct && f.ahead.punct == '('
	switch {
	case f.prev.kind == kPunct && f.prev.punct == '.':
		return NAME
	case f.prevID == AS && !(string(w) == "not" && f.is(f.ahead, "materialized")):
		return NAME
	case f.prevID == SETOP && (string(w) == "all" || string(w) == "distinct"):
		// UNION ALL is one word to the grammar.
		f.prev, f.cur, f.ahead = f.cur, f.ahead, f.lex.next()
		return f.id(f.cur)
	case f.is(f.prev, "tablesample"), f.prevID == FETCH && f.is(t, "first", "next"):
		return KW
	case f.ahead.kind != kWord && (f.is(t, "rows", "range", "groups", "preceding", "following")) &&
		(f.ahead.kind == kParam || f.ahead.kind == kNumber):
		return KW
	}
	if id, ok := words[string(w)]; ok {
		f.grouped = id == GROUP || f.grouped && id == BY
		switch {
		case id == JOINKIND && opens:
			return NAME // left(a, 2)
		case id == WITH && f.is(f.ahead, "ordinality", "ties", "time"):
			return KW
		case id == FROM && f.is(f.prev, "distinct"):
			return KW
		case id == ON && f.is(f.prev, "distinct"):
			return KW
		case id == GROUP && f.is(f.prev, "within"):
			return KW
		}
		return id
	}
	if plain[string(w)] {
		return KW
	}
	if t.end-t.at > len("partition") {
		return NAME
	}
	closed := f.prev.kind == kPunct && f.prev.punct == ')'
	switch string(w) {
	case "over", "filter":
		if closed && opens {
			return KW
		}
	case "within":
		if closed && f.is(f.ahead, "group") {
			return KW
		}
	case "time":
		if f.is(f.ahead, "zone") {
			return KW
		}
	case "zone":
		if f.is(f.prev, "time") {
			return KW
		}
	case "grouping":
		if f.is(f.ahead, "sets") {
			return KW
		}
	case "sets":
		if f.is(f.prev, "grouping") {
			return KW
		}
	case "cube", "rollup":
		if f.grouped && opens && (f.prevID == BY || f.prevID == ',') {
			return KW
		}
	}
	return NAME
}
