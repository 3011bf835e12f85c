package shape

import (
	"bytes"
	"slices"
)

// This file owns the shape of a statement: its text with literals and parameters folded, lists of them too, and
// everything outside quotes in one case and spacing. It must never fold what could change a class: the arguments
// of a function are counted, names in quotes are kept to the byte.

// span is a piece of a statement.
type span struct{ at, end int }

// maxConsts bounds the literals of a statement that are remembered with their place; a key stands among the first.
const maxConsts = 32

// Scratch is what one caller reuses from statement to statement. Norm holds the shape's text after Read.
type Scratch struct {
	Norm   []byte
	Bad    bool // the lexer did not understand it, or it is open to two readings: it has no shape
	Empty  bool
	text   []byte
	consts [maxConsts]span // of the literals left in Norm, in their order
	count  int             // of the literals left in Norm
	marks  [maxDeep]mark   // open parentheses
	lead   int             // bytes at the start of Norm that the owner uses
	old    bool

	rowsFolded bool // rows of VALUES with literals of their own are one in Norm
}

// NewScratch makes a Scratch; old: the nodes have standard_conforming_strings off.
func NewScratch(old bool) *Scratch { return &Scratch{old: old} }

// Old tells how it reads.
func (s *Scratch) Old() bool { return s.old }

const maxDeep = 64 // parentheses deeper than this fold no lists: few statements nest as deep

// mark is an open parenthesis: what it opens, and where it and the row before it begin in Norm.
type mark struct {
	list        bool // of IN: constants fold to one
	rows        bool // of VALUES: equal rows fold to one
	at          int
	before      int // where the row before begins, -1: none
	count       int // literals when it opened
	beforeCount int
}

const folded = "$0"

// Read lexes a statement and forms its shape.
func (s *Scratch) Read(text []byte) {
	s.Norm = slices.Grow(s.Norm[:s.lead], 3*len(text)) // "1" becomes " $0", nothing grows by more
	s.text, s.Bad, s.Empty, s.count, s.rowsFolded = text, false, true, 0, false
	l := lexer{text: text, oldRule: s.old}
	var prev token // the token before
	var last token // and the one before that, where prev is an operator
	deep := 0
	values := false // VALUES, or a row of it, has just ended
	prevRow, prevCount := -1, 0
	for {
		t := l.next()
		switch t.kind {
		case kEnd:
			// A semicolon at the end says nothing.
			for bytes.HasSuffix(s.Norm[s.lead:], []byte(" ;")) {
				s.Norm = s.Norm[:len(s.Norm)-2]
			}
			return
		case kBad:
			s.Bad, s.Empty = true, false
			return
		case kString, kNumber, kParam:
			s.Empty = false
			if t.kind == kNumber && prev.kind == kOp && t.at > 0 && s.sign(prev, last) {
				s.Norm = s.Norm[:len(s.Norm)-2]
				t.at = prev.at
			}
			s.constant(t, deep)
		case kPunct:
			switch t.punct {
			case '(', '[':
				if deep < maxDeep {
					m := mark{at: len(s.Norm), before: -1, count: s.count}
					if t.punct == '(' {
						m.list = isWord(text, prev, "in")
						m.rows = isWord(text, prev, "values") || values && prev.punct == ','
						if m.rows && prev.punct == ',' {
							m.before, m.beforeCount = prevRow, prevCount
						}
					}
					s.marks[deep] = m
				}
				deep++
				s.add(text[t.at:t.end])
			case ')', ']':
				s.add(text[t.at:t.end])
				values = false
				if deep > 0 {
					deep--
					if deep < maxDeep && s.marks[deep].rows {
						values = true
						prevRow, prevCount = s.marks[deep].at, s.marks[deep].count
						s.row(&s.marks[deep], &prevRow, &prevCount)
					}
				}
			case ';':
				if s.Empty || len(s.Norm) > s.lead && s.Norm[len(s.Norm)-1] == ';' {
					break // an empty statement
				}
				s.add(text[t.at:t.end])
			default:
				if s.Empty {
					s.Empty = false
				}
				s.add(text[t.at:t.end])
			}
			if t.punct != ';' {
				s.Empty = false
			}
			if t.punct != ',' && t.punct != ')' {
				values = false
			}
		case kWord:
			s.Empty, values = false, false
			src := text[t.at:t.end]
			word := s.more(len(src))
			for i, c := range src {
				word[i] = lowers[c]
			}
		case kUnicode:
			s.Empty, values = false, false
			s.add(text[t.at:t.end])
			s.Norm[len(s.Norm)-(t.end-t.at)] = 'U'
		default:
			s.Empty, values = false, false
			s.add(text[t.at:t.end])
		}
		if t.kind == kOp {
			last = prev
		}
		prev = t
	}
}

func (s *Scratch) space() {
	if len(s.Norm) > s.lead {
		s.Norm = append(s.Norm, ' ')
	}
}

// more makes room for a token of a length behind what there is; Read has seen to it that Norm need not move.
func (s *Scratch) more(length int) []byte {
	n := len(s.Norm)
	if n > s.lead {
		s.Norm = s.Norm[:n+1+length]
		s.Norm[n] = ' '
		return s.Norm[n+1:]
	}
	s.Norm = s.Norm[:n+length]
	return s.Norm[n:]
}

func (s *Scratch) add(b []byte) {
	if room := s.more(len(b)); len(b) == 1 {
		room[0] = b[0]
	} else {
		copy(room, b)
	}
}

// sign tells whether the operator before a number is its sign: nothing that has a value stands before it.
func (s *Scratch) sign(op, before token) bool {
	if op.end-op.at != 1 || s.text[op.at] != '-' && s.text[op.at] != '+' {
		return false
	}
	switch before.kind {
	case kOp, kAssign:
		return true
	case kPunct:
		return before.punct == '(' || before.punct == ',' || before.punct == '['
	}
	return false
}

// constant adds a literal, unless a list of them folds it into the one before.
func (s *Scratch) constant(t token, deep int) {
	s.space()
	s.Norm = append(s.Norm, folded...)
	if deep > 0 && deep <= maxDeep && s.marks[deep-1].list {
		if string(s.Norm[s.marks[deep-1].at:]) == " ( $0 , $0" {
			s.Norm = s.Norm[:len(s.Norm)-len(" , $0")]
			return
		}
	}
	if s.count < maxConsts {
		s.consts[s.count] = span{t.at, t.end}
	}
	s.count++
}

// row folds a row of VALUES into an equal one before it.
func (s *Scratch) row(m *mark, prevRow, prevCount *int) {
	if m.before < 0 {
		return
	}
	one, two := bytes.TrimSuffix(s.Norm[m.before:m.at], []byte(" ,")), s.Norm[m.at:]
	if bytes.Equal(one, two) {
		s.Norm = bytes.TrimSuffix(s.Norm[:m.at], []byte(" ,"))
		s.count, s.rowsFolded = m.count, true
		*prevRow, *prevCount = m.before, m.beforeCount
	}
}

// isWord tells whether a token is a word, given in lower case.
func isWord(text []byte, t token, word string) bool {
	if t.kind != kWord || t.end-t.at != len(word) {
		return false
	}
	for i := range len(word) {
		if lower(text[t.at+i]) != word[i] {
			return false
		}
	}
	return true
}

var lowers = func() (t [256]byte) {
	for c := range t {
		t[c] = lower(byte(c))
	}
	return t
}()

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c | 0x20
	}
	return c
}
