package shape

import (
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"eiderway/splitter"
)

// This file owns the rules of the settings in the form that classing uses, and applies them. It must never let a
// rule make a read of what was found to write.

type rules struct {
	Terms
	functions map[string]Function
	casts     map[string]bool
	operators map[string]bool
	keys      map[string]bool // key columns
	marks     map[string]bool
	shapes    map[string]int // kinds by shape
}

// Check says what is wrong with terms.
func (t *Terms) Check() error {
	if len(t.Kinds) == 0 {
		return fmt.Errorf("no txn types")
	}
	for what, k := range map[string]int{"read": t.Read, "volatile": t.Volatile, "write": t.Write} {
		if k < 0 || k >= len(t.Kinds) {
			return fmt.Errorf("no txn type for %s", what)
		}
	}
	if k := t.Kinds[t.Write]; k.Need != splitter.NeedPrimary {
		return fmt.Errorf("txn type %q is for writes but need not be at the primary", k.Name)
	}
	if k := t.Kinds[t.Volatile]; k.Effect == splitter.Repeatable {
		return fmt.Errorf("txn type %q is for volatile reads but may run again", k.Name)
	}
	for _, r := range t.Rules {
		if r.Kind < 0 || r.Kind >= len(t.Kinds) || r.Table == "" && r.Function == "" && r.Shape == "" {
			return fmt.Errorf("a rule without a txn type, or without a table, function or shape")
		}
		if _, err := path.Match(r.Table, ""); err != nil {
			return fmt.Errorf("table %q: %w", r.Table, err)
		}
	}
	for _, p := range t.Places {
		for _, pattern := range []string{p.Table, p.Schema} {
			if _, err := path.Match(pattern, ""); err != nil {
				return fmt.Errorf("%q: %w", pattern, err)
			}
		}
		if p.Key != "" && len(p.Groups) == 0 && len(p.Below) == 0 {
			return fmt.Errorf("key %q: neither groups nor ranges", p.Key)
		}
	}
	for _, w := range t.Writing {
		if _, err := path.Match(w, ""); err != nil {
			return fmt.Errorf("view %q: %w", w, err)
		}
	}
	return nil
}

func compile(t Terms) (*rules, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	catalogue()
	r := &rules{Terms: t, functions: map[string]Function{}, casts: map[string]bool{}, operators: map[string]bool{},
		keys: map[string]bool{}, marks: map[string]bool{}, shapes: map[string]int{}}
	for _, f := range t.Functions {
		r.functions[f.Name] = f
	}
	for _, c := range t.Casts {
		r.casts[c] = true
	}
	for _, o := range t.Operators {
		r.operators[o] = true
	}
	for _, p := range t.Places {
		if p.Key != "" {
			r.keys[p.Key] = true
		}
	}
	for _, k := range t.Kinds {
		if k.Mark != "" {
			r.marks[k.Mark] = true
		}
	}
	s := Scratch{old: t.OldStrings}
	for i, u := range t.Rules {
		if u.Shape == "" {
			continue
		}
		if s.Read([]byte(u.Shape)); s.Bad || s.Empty {
			return nil, fmt.Errorf("rule %d: the shape is no statement", i+1)
		}
		r.shapes[string(s.Norm)] = u.Kind
	}
	return r, nil
}

// function finds a declared function. One declared without a schema stands for that name in any; one declared with a
// schema is also meant by the bare name, since a search path may lead there.
func (r *rules) function(schema, name string) (Function, bool) {
	if schema != "" {
		if f, ok := r.functions[schema+"."+name]; ok {
			return f, ok
		}
	}
	f, ok := r.functions[name]
	if ok || schema != "" {
		return f, ok
	}
	var found Function
	for full, f := range r.functions {
		if _, bare, dotted := strings.Cut(full, "."); dotted && bare == name {
			// Of several the most careful counts, whatever the order.
			found.Name = max(found.Name, f.Name)
			found.Writes = found.Writes || f.Writes
			found.Volatile = found.Volatile || f.Volatile
			ok = true
		}
	}
	return found, ok
}

// match tells whether a pattern means a table; one with a dot stands for schema and table. A table named without its
// schema may be any schema's of that name, but no schema's "*".
func match(pattern, schema, table string) bool {
	if strings.Contains(pattern, ".") {
		if schema == "" {
			if _, pattern, _ = strings.Cut(pattern, "."); pattern == "*" {
				return false
			}
		} else {
			table = schema + "." + table
		}
	}
	ok, _ := path.Match(pattern, table)
	return ok
}

// sameName tells whether two names may mean one thing: with a schema on one side only, the rest decides.
func sameName(a, b string) bool {
	_, bareA, dottedA := strings.Cut(a, ".")
	_, bareB, dottedB := strings.Cut(b, ".")
	return a == b || dottedA && !dottedB && bareA == b || dottedB && !dottedA && bareB == a
}

func (r *rules) writingView(schema, table string) (string, bool) {
	for _, w := range r.Writing {
		if match(w, schema, table) {
			return w, true
		}
	}
	return "", false
}

// stricter orders needs: of two kinds that rules give a read, the stricter counts.
func stricter(a, b Kind) bool {
	if a.Need != b.Need {
		return a.Need > b.Need
	}
	return a.Bound < b.Bound
}

// judge classes what was found in a shape.
func (r *rules) judge(f *finding, shape string, failed bool) Class {
	c := Class{Many: f.statements, Pins: f.pins != "", Copies: f.copies, Shape: -1}
	switch {
	case failed:
		c.Writes, c.Pins, c.Reason = true, true, "not understood"
	case f.unsure != "":
		c.Writes, c.Reason = true, f.unsure
	case f.wrote != "":
		c.Writes, c.Reason = true, f.wrote
	case f.statements > 1:
		c.Writes, c.Reason = true, "several statements"
	case f.pins != "":
		c.Writes, c.Reason = true, f.pins
	}
	c.Pins = c.Pins || c.Many > 1
	switch {
	case c.Writes:
		c.Kind = r.Write
	case f.volatile != "":
		c.Kind, c.Reason = r.Volatile, f.volatile
	case f.shows:
		c.Kind, c.Reason = r.Read, "show"
	default:
		c.Kind, c.Reason = r.Read, "only reads"
	}
	if !failed && c.Many == 1 {
		r.rule(f, shape, &c)
	}
	k := r.Kinds[c.Kind]
	c.Need, c.Effect = k.Need, k.Effect
	c.Writes = c.Writes || k.Need == splitter.NeedPrimary && k.Effect != splitter.Repeatable
	if f.volatile != "" && c.Effect == splitter.Repeatable {
		c.Effect = splitter.OnceOnly
	}
	c.Cost = f.guess()
	return c
}

// rule applies the rules: the first that fits a write, of those that fit a read the strictest.
func (r *rules) rule(f *finding, shape string, c *Class) {
	try := func(k int, why string) {
		kind := r.Kinds[k]
		switch {
		case c.Writes:
			if kind.Need != splitter.NeedPrimary || c.Kind != r.Write || k == r.Write {
				return
			}
			if kind.Mark != "" && !slices.ContainsFunc(f.marked, func(m []byte) bool { return string(m) == kind.Mark }) {
				return
			}
			c.Kind = k
			c.Reason += "; " + why
		case c.Kind == r.Read || c.Kind == r.Volatile || stricter(kind, r.Kinds[c.Kind]):
			c.Kind, c.Reason = k, why
		}
	}
	if k, ok := r.shapes[shape]; ok {
		try(k, "the rule for this shape")
	}
	for _, u := range r.Rules {
		for _, t := range f.tables {
			if u.Table != "" && match(u.Table, f.schema(t.name), f.last(t.name)) {
				try(u.Kind, "the rule for table "+u.Table)
				break
			}
		}
		if u.Function != "" && slices.ContainsFunc(f.called, func(c string) bool { return sameName(u.Function, c) }) {
			try(u.Kind, "the rule for function "+u.Function)
		}
	}
}

// home is where a shape's statements belong, as far as the shape tells.
type home struct {
	group int
	fixed bool // by a table or schema; else group is the default
	lost  bool // its tables lie in several groups, or a key that decides is not there
	keys  [mostKeys]keyed
	count int // of keys
}

// keyed is a literal whose value decides, and by which place.
type keyed struct{ place, lit int }

// place finds where a shape belongs. The first place that claims a table counts.
func (r *rules) place(f *finding) home {
	h := home{group: r.Group}
	for _, t := range f.tables {
		schema, table := f.schema(t.name), f.last(t.name)
		keyless := false
		for i := range r.Places {
			p := &r.Places[i]
			if p.Table != "" && !match(p.Table, schema, table) {
				continue
			}
			if ok, _ := path.Match(p.Schema, schema); p.Schema != "" && !ok {
				continue
			}
			if p.Key == "" {
				h.lost = h.lost || h.fixed && h.group != p.Group
				h.group, h.fixed, keyless = p.Group, true, false
				break
			}
			keyless = true
			for _, k := range f.keys {
				if k.column == p.Key && h.count < mostKeys {
					h.keys[h.count] = keyed{i, k.lit}
					h.count++
					keyless = false
				}
			}
			if !keyless {
				break
			}
		}
		h.lost = h.lost || keyless
	}
	h.lost = h.lost || f.more && len(r.Places) > 0
	return h
}

// group finds the group of a statement: by the shape, and by the values of its keys. -1: it can't be told.
func (r *rules) group(h *home, s *Scratch) int {
	if h.lost || h.count > 0 && s.rowsFolded {
		return -1
	}
	group, fixed := h.group, h.fixed
	for _, k := range h.keys[:h.count] {
		if k.lit >= min(s.count, maxConsts) {
			return -1
		}
		v, ok := value(s.text[s.consts[k.lit].at:s.consts[k.lit].end])
		if !ok {
			return -1
		}
		g, ok := r.Places[k.place].byKey(v)
		if !ok || fixed && g != group {
			return -1
		}
		group, fixed = g, true
	}
	return group
}

// byKey gives the group of a key's value.
func (p *Place) byKey(value string) (int, bool) {
	if len(p.Below) == 0 {
		return p.Groups[xxhash.Sum64String(value)%uint64(len(p.Groups))], true
	}
	number, err := strconv.ParseFloat(value, 64)
	for _, r := range p.Below {
		bound, berr := strconv.ParseFloat(r.Below, 64)
		switch {
		case r.Below == "", err == nil && berr == nil && number < bound, (err != nil || berr != nil) && value < r.Below:
			return r.Group, true
		}
	}
	return 0, false
}

// value gives a literal as the node would read it, where that takes no more than its quotes.
func value(lit []byte) (string, bool) {
	switch {
	case len(lit) == 0 || lit[0] == '$' && (len(lit) < 2 || lit[1] != '$'):
		return "", false // a parameter, or a dollar tag
	case lit[0] == '\'' && lit[len(lit)-1] == '\'' && len(lit) > 1:
		inner := string(lit[1 : len(lit)-1])
		if strings.Contains(strings.ReplaceAll(inner, "''", ""), "'") || strings.Contains(inner, "\\") {
			return "", false // it goes on on another line, or escapes
		}
		return strings.ReplaceAll(inner, "''", "'"), true
	case lit[0] >= '0' && lit[0] <= '9' || lit[0] == '-' || lit[0] == '.':
		return string(lit), true
	}
	return "", false
}

// guess is a cost, in s, from the grammar alone.
func (f *finding) guess() float64 {
	cost := guessLeast + guessJoin*float64(f.joins) + guessGroup*float64(f.groups+f.orders+min(f.aggregates, 1))
	if f.from > f.wheres && f.limits == 0 || f.recursive {
		cost += guessScan
	}
	return cost
}
