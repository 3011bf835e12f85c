// Package shape decides what a statement is: whether it writes, how fresh its data must be, what a second run would
// do, which group it belongs to and what it costs, and remembers the shapes it has met.
//
// How to call it: New makes a Book from Terms; a caller lexes its statement with a Scratch of its own (Read), which
// is pure, and hands it to the Book (Class), which is stepped by one goroutine; Took tells what a submission of that
// shape took, Refused that a replica called it a write. Time (seconds) is handed in. The Book holds no more than its
// memory whatever comes. Ways weighed and what was measured: docs/classing.md.
package shape

import "eiderway/splitter"

//go:generate go tool goyacc -v "" -p shape -o grammar.go grammar.y
//go:generate gofmt -w grammar.go

// Kind is a txn type that statements are classed as.
type Kind struct {
	Name   string
	Need   splitter.Need
	Effect splitter.Effect
	Bound  float64 // s, of NeedBounded
	Expiry float64 // s a client waits where it does not say
	Mark   string  // a referenced write's statement must name this column, by which its repeat is known
}

// Function is one of the user's functions.
type Function struct {
	Name     string // with its schema or without
	Writes   bool
	Volatile bool
}

// Rule gives statements a kind: those that name a table (a pattern with * and ?, schema included where it has a dot),
// call a function, or have a shape.
type Rule struct {
	Table, Function, Shape string
	Kind                   int // index into Terms.Kinds
}

// Place gives statements a group: by table or schema, or by the value that a key column is compared with.
type Place struct {
	Table, Schema string // patterns; empty: any
	Group         int    // where Key is empty
	Key           string // a column
	Groups        []int  // the value's hash spreads over these, where Below is empty
	Below         []Range
}

// Range gives the key values below a bound a group; an empty bound has no end.
type Range struct {
	Below string
	Group int
}

// Terms are what a Book is told at start.
type Terms struct {
	Seed       uint64
	OldStrings bool    // the nodes have standard_conforming_strings off
	Memory     int     // bytes of shapes
	ParseRate  float64 // bytes of new shapes parsed a second, of which a second's worth at once
	Kinds      []Kind
	Read       int // the kind of reads that no rule gives another
	Volatile   int // of reads with a volatile call
	Write      int // of writes
	Functions  []Function
	Casts      []string // types of the user that come to be without a call of a function that writes
	Operators  []string // operators of the user that do not write
	Writing    []string // views, and tables with rules, that write when they are read: patterns
	Rules      []Rule
	Places     []Place
	Group      int // of statements that no place claims
}

// Class is what a statement is.
type Class struct {
	Kind   int // index into Terms.Kinds
	Need   splitter.Need
	Effect splitter.Effect
	Group  int     // -1: its tables lie in several groups
	Writes bool    // or nobody knows that it does not
	Pins   bool    // leaves state on its connection, or needs what is left there: that connection serves nothing else
	Copies bool    // begins a copy, which simple results have no place for
	Many   int     // statements in the string
	Cost   float64 // s, expected: learned, or the grammar's guess
	Reason string  // the rule or token that decided
	Shape  int     // for Took and Refused; -1: it is not remembered
	Known  bool    // it was remembered already
	Over   bool    // too many new shapes came to parse this one
}

// Comeback is when, in s, a statement may come again that was turned away because too many new shapes came: the
// budget of parsing is full again by then.
const Comeback = hurry

const (
	horizon      = 1000.0  // submissions a quantile looks back to: fewer jump about, more miss a change of plan
	enough       = 5       // submissions of a shape from which what they took says more than the grammar's guess
	hurry        = 1.0     // s of parse rate that may be spent at once: a start, or a new release, brings shapes at once
	longestShape = 8 << 10 // bytes of a shape that is remembered: longer ones hardly come twice
	entryBytes   = 480     // bytes an entry takes beside its text and reason, measured by TestMemory
	sampleWidth  = 8       // shapes that compete for the place of one: the loser of eight is close to the least used
	sketchRows   = 4       // counters a hash has in the sketch of uses
	sketchPer    = 8       // counters a row has for each shape that finds room
	sketchAge    = 5       // uses counted for each shape that finds room until all counts halve
	usedTwice    = 2       // uses from which a shape may take another's place: one that comes once never does
	leastShapes  = 16      // that a Book holds at least
	guessLeast   = 0.002   // s, a look-up by key
	guessScan    = 0.010   // s more without a predicate or a limit: all of a table is read
	guessJoin    = 0.004   // s more for each join
	guessGroup   = 0.005   // s more for each sort, grouping or aggregate
	refusedWrite = "a replica refused it as a write"
)
