package testserver

import (
	"fmt"
	"strings"
)

// This file owns the random statements that experiments send: reads, and reads that a write is hidden in. It knows what
// it wrote, and nothing of how a router reads it.

// Writer makes random statements. Draw gives a number below n.
type Writer struct {
	Draw func(n int) int
	hide bool // one of the values is to be a write
	left int  // values until the write, once hide is set
	deep int
}

func (w *Writer) pick(of ...string) string { return of[w.Draw(len(of))] }

// gap is white space, a comment or a hint, as SQL allows between any two tokens.
func (w *Writer) gap() string {
	return w.pick(" ", " ", " ", " ", "\n", "\t ", " /* plain */ ", "/* a /* nested */ one */", " -- to the end\n", "/*+ Hint(t) */")
}

func (w *Writer) spell(word string) string {
	switch w.Draw(3) {
	case 0:
		return strings.ToUpper(word)
	case 1:
		return strings.ToLower(word)
	}
	return strings.ToUpper(word[:1]) + word[1:]
}

// write is an expression that writes, in one of many disguises.
func (w *Writer) write() string {
	fn := w.pick("nextval", "setval", "set_config", "pg_notify", "lo_unlink", "dblink_exec", "pay_out", "txid_current",
		"pg_advisory_xact_lock", "query_to_xml", "pg_terminate_backend", "lastval", "nobody_declared_this")
	switch w.Draw(6) {
	case 0:
		fn = `"` + fn + `"`
	case 1:
		fn = "pg_catalog" + w.pick(".", " . ", "./* */") + fn
	case 2:
		fn = `U&"` + fmt.Sprintf(`\%04x`, fn[0]) + fn[1:] + `"`
	case 3:
		fn = w.pick("shop", "public", `"Evil"`) + "." + w.pick("lower", "now", "count", "refund")
	default:
		fn = w.spell(fn)
	}
	call := fn + w.pick("", " ", "/* */", " -- x\n") + "(" + w.pick("", "'s'", "1, 2", "(SELECT 1)", "$$x$$") + ")"
	switch w.Draw(5) {
	case 0:
		return "lower(" + call + ")"
	case 1:
		return "(" + call + ")"
	case 2:
		return "coalesce(1," + w.gap() + call + ")"
	case 3:
		return w.pick("'x'::own_type", "CAST(a AS own.kind)", "a <!!> b", "own_type 'x'", "(SELECT pay_out(1))")
	}
	return call
}

func (w *Writer) value() string {
	if w.hide {
		if w.left--; w.left < 0 {
			w.hide = false
			return w.write()
		}
	}
	w.deep++
	defer func() { w.deep-- }()
	n := 14
	if w.deep > 4 {
		n = 9
	}
	switch w.Draw(n) {
	case 0:
		return w.pick("1", "-2.5e3", "0x1F", "1_000", ".5")
	case 1:
		return w.pick("'text'", "'it''s'", `E'a\'b'`, "$q$ DELETE FROM t $q$", "U&'d\\0061t'", "B'101'", "N'x'")
	case 2:
		return "$" + w.pick("1", "2", "13")
	case 3, 4, 5:
		return w.pick("a", "t.b", `"Select"`, "schema1.t.c", "value", `"naïve"`, "größe")
	case 6:
		return "now()"
	case 7:
		return w.pick("NULL", "true", "date '2026-01-01'", "'1'::int", "current_date")
	case 8:
		return w.pick("'a'", "ARRAY[1, 2]")
	case 9:
		return "(" + w.value() + w.gap() + w.pick("+", "-", "||", "->>", "=", "AND", "<=", "IS DISTINCT FROM") + w.gap() + w.value() + ")"
	case 10:
		return w.pick("lower", "UPPER", "Coalesce", "pg_catalog.length", `"abs"`) + "(" + w.value() + ")"
	case 11:
		return "CASE WHEN" + w.gap() + w.value() + w.gap() + "THEN " + w.value() + " ELSE " + w.value() + " END"
	case 12:
		return "CAST(" + w.value() + " AS " + w.pick("text", "numeric(10,2)", "pg_catalog.int4") + ")"
	}
	return "(" + w.query() + ")"
}

func (w *Writer) query() string {
	var b strings.Builder
	b.WriteString(w.spell("select") + w.gap() + w.value())
	for range w.Draw(3) {
		b.WriteString("," + w.gap() + w.value())
	}
	b.WriteString(w.gap() + w.spell("from") + " " + w.pick("t", "public.t", `"T"`, "ONLY t", "t AS x", "generate_series(1, 3) g",
		"t JOIN u USING (id)", "t LEFT JOIN u ON t.a = u.a", "(VALUES (1, 2), (3, 4)) v"))
	if w.Draw(2) == 0 {
		b.WriteString(w.gap() + w.spell("where") + " " + w.value() + w.gap() + "= " + w.value())
	}
	if w.Draw(3) == 0 {
		b.WriteString(" GROUP BY " + w.value() + " HAVING count(*) > " + w.value())
	}
	if w.Draw(3) == 0 {
		b.WriteString(" ORDER BY " + w.value() + " DESC LIMIT 3")
	}
	if w.deep == 0 && w.Draw(4) == 0 {
		w.deep++
		b.WriteString(" UNION ALL " + w.query())
		w.deep--
	}
	return b.String()
}

// Statement gives a read, or a statement with one write hidden in it.
func (w *Writer) Statement(hide bool) string {
	form := 0
	if hide {
		form = w.Draw(10)
	}
	w.hide, w.left = hide && form < 5, w.Draw(6)
	q := w.query()
	if w.hide { // the query had fewer values than that
		w.hide = false
		q = "SELECT " + w.write() + ", (" + q + ") FROM t"
	}
	switch form {
	case 5:
		return "WITH x AS" + w.gap() + "(" + w.pick("DELETE FROM t", "INSERT INTO t VALUES (1)", "UPDATE t SET a = 2") +
			w.gap() + "RETURNING *) " + q
	case 6:
		return q + w.gap() + ";" + w.gap() + w.pick("DELETE FROM t", "DROP TABLE t", "SELECT pay_out(1)", "commit")
	case 7:
		return w.spell("explain") + w.gap() + w.pick("ANALYZE ", "(ANALYZE) ", "(COSTS off, ANALYSE) ", "analyze verbose ") +
			w.pick("DELETE FROM t", "UPDATE t SET a = 1", "INSERT INTO t SELECT 1")
	case 8:
		return q + " FOR" + w.gap() + w.pick("UPDATE", "SHARE", "NO KEY UPDATE", "KEY SHARE")
	case 9:
		return w.gap() + w.pick("DO $$ BEGIN DELETE FROM t; END $$", "CALL pay()", "MERGE INTO t USING u ON true WHEN MATCHED THEN DELETE",
			"SELECT 1 INTO kept FROM t", "COPY t FROM STDIN", "EXECUTE q", "LOCK t")
	}
	return q
}
