package testserver

import (
	"fmt"
	"strings"
)

// This file generates random statements for experiments: reads, and reads with a hidden write. The generator knows which
// kind it produced but not how a router classifies it.

// Writer generates random statements. Draw returns a random number from 0 to n-1.
type Writer struct {
	Draw       func(n int) int
	hideWrite  bool // one of the values still has to be a write
	valuesLeft int  // values before the hidden write
	depth      int  // nesting of the value being generated
}

// pick returns one of the choices.
func (w *Writer) pick(choices ...string) string { return choices[w.Draw(len(choices))] }

// gap returns white space, a comment or a hint, as SQL allows between any two tokens.
func (w *Writer) gap() string {
	return w.pick(" ", " ", " ", " ", "\n", "\t ", " /* plain */ ", "/* a /* nested */ one */", " -- to the end\n", "/*+ Hint(t) */")
}

// changeCase returns a word in upper case, in lower case or capitalized.
func (w *Writer) changeCase(word string) string {
	switch w.Draw(3) {
	case 0:
		return strings.ToUpper(word)
	case 1:
		return strings.ToLower(word)
	}
	return strings.ToUpper(word[:1]) + word[1:]
}

// hiddenWrite returns an expression that writes, or that may write because it isn't known to be harmless, in a random disguise.
func (w *Writer) hiddenWrite() string {
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
		fn = w.changeCase(fn)
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

// value returns a random expression, which is the hidden write if its turn has come.
func (w *Writer) value() string {
	if w.hideWrite {
		if w.valuesLeft--; w.valuesLeft < 0 {
			w.hideWrite = false
			return w.hiddenWrite()
		}
	}
	w.depth++
	defer func() { w.depth-- }()
	n := 14
	if w.depth > 4 {
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

// query returns a random SELECT.
func (w *Writer) query() string {
	var b strings.Builder
	b.WriteString(w.changeCase("select") + w.gap() + w.value())
	for range w.Draw(3) {
		b.WriteString("," + w.gap() + w.value())
	}
	b.WriteString(w.gap() + w.changeCase("from") + " " + w.pick("t", "public.t", `"T"`, "ONLY t", "t AS x", "generate_series(1, 3) g",
		"t JOIN u USING (id)", "t LEFT JOIN u ON t.a = u.a", "(VALUES (1, 2), (3, 4)) v"))
	if w.Draw(2) == 0 {
		b.WriteString(w.gap() + w.changeCase("where") + " " + w.value() + w.gap() + "= " + w.value())
	}
	if w.Draw(3) == 0 {
		b.WriteString(" GROUP BY " + w.value() + " HAVING count(*) > " + w.value())
	}
	if w.Draw(3) == 0 {
		b.WriteString(" ORDER BY " + w.value() + " DESC LIMIT 3")
	}
	if w.depth == 0 && w.Draw(4) == 0 {
		w.depth++
		b.WriteString(" UNION ALL " + w.query())
		w.depth--
	}
	return b.String()
}

// Statement returns a read, or with hide a statement that hides one write.
func (w *Writer) Statement(hide bool) string {
	form := 0
	if hide {
		form = w.Draw(10)
	}
	w.hideWrite, w.valuesLeft = hide && form < 5, w.Draw(6)
	q := w.query()
	if w.hideWrite { // the query had too few values to reach the write
		w.hideWrite = false
		q = "SELECT " + w.hiddenWrite() + ", (" + q + ") FROM t"
	}
	switch form {
	case 5:
		return "WITH x AS" + w.gap() + "(" + w.pick("DELETE FROM t", "INSERT INTO t VALUES (1)", "UPDATE t SET a = 2") +
			w.gap() + "RETURNING *) " + q
	case 6:
		return q + w.gap() + ";" + w.gap() + w.pick("DELETE FROM t", "DROP TABLE t", "SELECT pay_out(1)", "commit")
	case 7:
		return w.changeCase("explain") + w.gap() + w.pick("ANALYZE ", "(ANALYZE) ", "(COSTS off, ANALYSE) ", "analyze verbose ") +
			w.pick("DELETE FROM t", "UPDATE t SET a = 1", "INSERT INTO t SELECT 1")
	case 8:
		return q + " FOR" + w.gap() + w.pick("UPDATE", "SHARE", "NO KEY UPDATE", "KEY SHARE")
	case 9:
		return w.gap() + w.pick("DO $$ BEGIN DELETE FROM t; END $$", "CALL pay()", "MERGE INTO t USING u ON true WHEN MATCHED THEN DELETE",
			"SELECT 1 INTO kept FROM t", "COPY t FROM STDIN", "EXECUTE q", "LOCK t")
	}
	return q
}
