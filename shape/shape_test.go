package shape

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"eiderway/splitter"
)

func shapeOf(s *Scratch, text string) string {
	if s.Read([]byte(text)); s.Bad {
		return "bad"
	}
	return string(s.Norm)
}

// TestShapes: what has one shape, and what must not.
func TestShapes(t *testing.T) {
	var s Scratch
	for _, same := range [][]string{
		{"select a from t where b = 1", "SELECT  a\nFROM t WHERE b='x''y';", "/* c */ Select a from T where B = $7 -- d",
			"select a from t where b = $$x$$", "select a from t where b=-1.5e-3", "select a from t where b = 'a'\n  'b'",
			"select a from t where b = E'\\''", "select a from t where b = U&'d\\0061'", "select a from t where b = 0xFF"},
		{"select 1 where a in (1)", "select 1 where a in ('a', 'b', -3, $4)"},
		{"insert into t values (1, 2)", "insert into t values (1,2), (3,4),(5,6)"},
		{`select u&"a"`, `select U&"a"`},
	} {
		for _, text := range same {
			require.Equal(t, shapeOf(&s, same[0]), shapeOf(&s, text), text)
		}
	}
	for _, differ := range [][2]string{{`select "a"`, `select "A"`}, {"select a", `select "a"`}, {"select f(1)", "select f(1, 2)"},
		{"select a - 1", "select a, -1"}, {"values (1), (2, 3)", "values (1)"}, {"select 1", "select 1; select 1"},
		{"select a.b", "select a . \"b\""}, {"select a+b", "select a + + b"}, {"select array[1]", "select array[1, 2]"}} {
		require.NotEqual(t, shapeOf(&s, differ[0]), shapeOf(&s, differ[1]))
	}
	for _, bad := range []string{"select 'a", `select "a`, "select $a$ b", "select /* /* */", "select 1a", "select $1a",
		"select 'a\x00'", "select \x00", `select ""`, `select 'a\' or 1 = 1 --'`, "select E'\\", "select 1 -- \x00"} {
		require.Equal(t, "bad", shapeOf(&s, bad), bad)
	}
	old := Scratch{old: true}
	require.Equal(t, "select $0", shapeOf(&old, `select 'a\' or 1 = 1 --'`), "the nodes' setting is known to be the old one")
	require.NotEqual(t, "bad", shapeOf(&s, "select '\xff\xfe', \xe9t\xe9"), "bytes that are no UTF-8 are the node's matter")
	for _, empty := range []string{"", " ", "-- a", "/* a */;", ";;"} {
		shapeOf(&s, empty)
		require.True(t, s.Empty, empty)
	}
}

// TestLarge: depth and length cost bounded time and no stack.
func TestLarge(t *testing.T) {
	b, s := newBook(t, plainTerms())
	for text, writes := range map[string]bool{
		"select " + strings.Repeat("(", 10_000) + "1" + strings.Repeat(")", 10_000):             false,
		"select " + strings.Repeat("(select ", 10_000) + "1" + strings.Repeat(")", 10_000):      false,
		"select " + strings.Repeat("lower(", 10_000) + "pay()" + strings.Repeat(")", 10_000):    true,
		"select " + strings.Repeat("case when a then ", 9000) + "1" + strings.Repeat(" end", 1): false,
		strings.Repeat("/*", 10_000) + strings.Repeat("*/", 10_000) + "select 1":                false,
		"select '" + strings.Repeat("x", 256<<10) + "'":                                         false,
		"select a in (" + strings.Repeat("1,", 100_000) + "2)":                                  false,
		"insert into t values (1)" + strings.Repeat(",(2)", 60_000):                             true,
		strings.Repeat("select 1;", 25_000):                                                     true,
		"select " + strings.Repeat("a,", 120_000) + "pay(1)":                                    true,
	} {
		s.Read([]byte(text))
		c := b.Class(s, 0)
		require.Equal(t, writes, c.Writes, "%.40s: %s", text, c.Reason)
		require.Equal(t, len(s.Norm) <= longestShape, c.Shape >= 0, "%.40s", text)
	}
}

// rich terms have rules of every kind.
func richTerms() Terms {
	t := plainTerms()
	t.Kinds = append(t.Kinds, Kind{Name: "fresh", Need: splitter.NeedCurrent}, Kind{Name: "claim", Need: splitter.NeedPrimary,
		Effect: splitter.Referenced, Mark: "claim_id"}, Kind{Name: "treat-as-write", Need: splitter.NeedPrimary, Effect: splitter.OnceOnly})
	t.Functions = []Function{{Name: "shop.score"}, {Name: "pay_out", Writes: true}, {Name: "lower", Writes: true},
		{Name: "roll", Volatile: true}}
	t.Casts, t.Operators, t.Writing = []string{"mood"}, []string{"<!!>"}, []string{"audit.*", "spy"}
	t.Rules = []Rule{{Table: "balance*", Kind: 3}, {Table: "refunds", Kind: 4}, {Function: "shop.score", Kind: 3},
		{Shape: "select x from poll where y = 1", Kind: 5}, {Table: "tills", Kind: 5}}
	t.Places = []Place{{Table: "ranged", Key: "k", Below: []Range{{"100", 1}, {"m", 2}, {"", 3}}},
		{Table: "objects", Key: "oid", Groups: []int{0, 1, 2, 3}}, {Schema: "north", Group: 1}, {Table: "south.*", Group: 2},
		{Table: "south_*", Group: 2}}
	t.Group = 7
	return t
}

func TestRules(t *testing.T) {
	b, s := newBook(t, richTerms())
	class := func(text string) Class {
		s.Read([]byte(text))
		return b.Class(s, 0)
	}
	for text, kind := range map[string]int{
		"select a from t": 0, "select score(a) from t": 3, "select shop.score(a) from t": 3, "select shop.pay_out(1)": 2,
		"select a from balances": 3, "select random() from balances": 3, "select 'x'::mood, a <!!> b from t": 0,
		"select lower(a) from t": 2, "select x.pay_out from t x": 2, "select (x).pay_out from t x": 2, "select roll()": 1,
		"select * from audit.log": 2, "select * from spy": 2, "select * from public.spy": 2, "with spy as (select 1) select * from spy": 0,
		"select x from poll where y = 'other'": 5, "select * from tills": 5,
		"insert into refunds (claim_id, a) values ('k', 1)": 4, "update refunds set a = 1 where claim_id = 'k'": 4,
		"update refunds set a = 1": 2, "insert into t values (1)": 2, "delete from balances": 2,
		"explain select pay_out(1)": 0, "explain analyze select pay_out(1)": 2,
	} {
		c := class(text)
		require.Equal(t, kind, c.Kind, "%s: %s", text, c.Reason)
		require.Equal(t, kind == 2 || kind >= 4, c.Writes, text)
	}
	require.Equal(t, splitter.OnceOnly, class("select random() from balances").Effect)
	of := func(v string) int { // the group of a value, by its hash
		g, ok := richPlaces[1].byKey(v)
		require.True(t, ok)
		return g
	}
	for text, group := range map[string]int{
		"select 1": 7, "select * from north.t": 1, "select * from south.t": 2, "select * from south_x": 2,
		"select * from north.t, south.t": -1, "select * from t, north.t": 1,
		"select * from objects where oid = 'a'": of("a"), "select * from objects o where 1 = 1 and o.oid = 'it''s'": of("it's"),
		"select * from objects where oid = 17": of("17"), "select * from objects": -1, "select * from objects where oid > 'a'": -1,
		"select * from objects where oid = $1": -1, "select * from objects where oid = lower('a')": -1,
		"select * from objects where oid = E'a\\n'":               -1,
		"insert into objects (body, oid) values (lower('x'),'a')": of("a"), "insert into objects values ('a')": -1,
		"insert into objects (oid) values ('a'), ('b')": -1, "insert into objects (oid) values (lower('a'))": -1,
		"insert into objects (oid, body) values ('a' || 'b', 'c')": -1,
		"select * from ranged where k = 99":                        1, "select * from ranged where k = 'b'": 2, "select * from ranged where k = 'x'": 3,
		"select * from ranged where k = 99 or k = 'x'": -1, "select * from ranged where k = 1 or k = 2": 1,
	} {
		require.Equal(t, group, class(text).Group, text)
		require.Equal(t, group, class(text).Group, "known: %s", text)
	}
}

var richPlaces = richTerms().Places

func TestTermsChecked(t *testing.T) {
	for why, spoil := range map[string]func(*Terms){
		"no txn types":              func(t *Terms) { t.Kinds = nil },
		"no txn type for":           func(t *Terms) { t.Write = 9 },
		"need not be at":            func(t *Terms) { t.Write = 0 },
		"may run again":             func(t *Terms) { t.Volatile = 0 },
		"without a txn type":        func(t *Terms) { t.Rules = []Rule{{Kind: 0}} },
		"syntax error in pattern":   func(t *Terms) { t.Rules = []Rule{{Table: "[", Kind: 0}} },
		"neither groups nor ranges": func(t *Terms) { t.Places = []Place{{Key: "a"}} },
		"the shape is no statement": func(t *Terms) { t.Rules = []Rule{{Shape: "'", Kind: 0}} },
	} {
		terms := plainTerms()
		spoil(&terms)
		_, err := New(terms)
		require.ErrorContains(t, err, why)
	}
}

func FuzzShape(f *testing.F) {
	for _, seed := range []string{"select 1", "SELECT 'a' || E'\\'' FROM \"T\" WHERE a IN (1,-2)", "insert into t values (1,2),(3,4)",
		"select $a$b$a$, U&\"x\", 1.5e3 /* /* */ */ -- c", "with a as (delete from t) select 1; commit", "explain (analyze) select f(1)",
		"((select 1) union select 2) order by 1", "select a[1:2], b::int[], (c).d from t for update", "\xff'\x00"} {
		f.Add(seed)
	}
	b, s := newBook(f, plainTerms())
	again := b.Scratch()
	f.Fuzz(func(t *testing.T, text string) {
		s.Read([]byte(text))
		c := b.Class(s, 0)
		if s.Bad {
			require.True(t, c.Writes)
			return
		}
		again.Read(s.Norm)
		require.False(t, again.Bad)
		require.Equal(t, string(s.Norm), string(again.Norm), "lexing again gives the same")
		known := b.Class(again, 0)
		require.Equal(t, []any{c.Writes, c.Kind, c.Reason, c.Pins}, []any{known.Writes, known.Kind, known.Reason, known.Pins})
	})
}
