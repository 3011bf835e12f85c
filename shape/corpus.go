package shape

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"unicode"

	"eiderway/splitter"
)

// This file owns the notation of a corpus: SQL, in which a statement ends where a line ends with a semicolon outside
// quotes, so that several on a line are one string, and "-- expect:" lines, each of which holds up to the next. It
// must never class by itself.

// Sample is a statement of a corpus with what is expected of it.
type Sample struct {
	Line   int
	Text   string
	Expect []string // name=value, a value in quotes may hold blanks; or the words pins, reads
}

// Told is what is told of a statement. Its names are those of `eiderway class --json`.
type Told struct {
	Line      int     `json:"line"`
	Statement string  `json:"statement"`
	Shape     string  `json:"shape"`
	Hash      string  `json:"hash"`
	Need      string  `json:"need"`
	Effect    string  `json:"effect"`
	Type      string  `json:"type"`
	Group     int     `json:"group"`
	Cost      float64 `json:"cost"` // s
	Pins      bool    `json:"pins,omitempty"`
	Reason    string  `json:"reason"`
}

// Names of needs and effects, in their order.
var (
	Needs   = [...]string{"any", "bounded", "session", "current", "primary"}
	Effects = [...]string{"repeatable", "referenced", "once-only"}
)

const longestLine = 1 << 20 // bytes of a corpus' line

// ReadCorpus reads a corpus.
func ReadCorpus(src io.Reader) ([]Sample, error) {
	var out []Sample
	var expect []string
	var pending strings.Builder
	from := 0
	flush := func() {
		text := strings.TrimSpace(pending.String())
		pending.Reset()
		if s := (&Scratch{}); text != "" {
			if s.Read([]byte(text)); s.Empty && !s.Bad {
				return
			}
			out = append(out, Sample{from, strings.TrimSuffix(text, ";"), expect})
		}
	}
	lines := bufio.NewScanner(src)
	lines.Buffer(nil, longestLine)
	n := 0
	for lines.Scan() {
		n++
		line := lines.Text()
		if strings.TrimSpace(pending.String()) == "" {
			pending.Reset()
			from = n
			if what, ok := strings.CutPrefix(strings.TrimSpace(line), "-- expect:"); ok {
				var err error
				if expect, err = expectations(what); err != nil {
					return out, fmt.Errorf("line %d: %w", n, err)
				}
				continue
			}
		}
		pending.WriteString(line)
		pending.WriteByte('\n')
		if strings.HasSuffix(strings.TrimRightFunc(line, unicode.IsSpace), ";") && ends([]byte(pending.String())) {
			flush()
		}
	}
	flush()
	return out, lines.Err()
}

// ends tells whether a text ends with a semicolon that is none of a literal, name or comment.
func ends(text []byte) bool {
	l := lexer{text: text, trust: true}
	for last := (token{}); ; {
		t := l.next()
		switch t.kind {
		case kEnd:
			return last.kind == kPunct && last.punct == ';'
		case kBad:
			// An open literal or comment may go on. What is bad in itself ends with the line.
			return t.at < len(text) && l.text[t.at] != '\'' && l.text[t.at] != '"' && l.text[t.at] != '$' && !strings.HasPrefix(string(text[t.at:]), "/*")
		}
		last = t
	}
}

func expectations(text string) ([]string, error) {
	var out []string
	quoted := false
	fields := strings.FieldsFunc(text, func(r rune) bool {
		if r == '"' {
			quoted = !quoted
		}
		return !quoted && unicode.IsSpace(r)
	})
	for _, f := range fields {
		name, value, ok := strings.Cut(f, "=")
		switch {
		case ok && (name == "need" || name == "effect" || name == "type" || name == "group" || name == "reason") && value != "":
		case !ok && (name == "pins" || name == "reads" || name == "nothing"):
		default:
			return nil, fmt.Errorf("%q is no expectation: need=, effect=, type=, group=, reason=, pins, reads, nothing", f)
		}
		out = append(out, strings.ReplaceAll(f, `"`, ""))
	}
	return out, nil
}

// Tell classes a statement at a time and says what it is.
func (b *Book) Tell(s *Scratch, sample Sample, now float64) Told {
	s.Read([]byte(sample.Text))
	c := b.Class(s, now)
	t := Told{Line: sample.Line, Statement: sample.Text, Shape: string(s.Norm), Need: Needs[c.Need],
		Effect: Effects[c.Effect], Type: b.rules.Kinds[c.Kind].Name, Group: c.Group, Cost: c.Cost, Pins: c.Pins,
		Reason: c.Reason}
	if s.Bad {
		t.Shape = ""
	}
	t.Hash = fmt.Sprintf("%016x", Hash([]byte(t.Shape)))
	return t
}

// Check holds what was told against what was expected.
func (s Sample) Check(t Told) error {
	for _, e := range s.Expect {
		name, want, _ := strings.Cut(e, "=")
		got := map[string]string{"need": t.Need, "effect": t.Effect, "type": t.Type, "group": fmt.Sprint(t.Group)}[name]
		switch {
		case name == "nothing" || name == "reads":
		case name == "pins" && !t.Pins:
			return fmt.Errorf("pins: expected, but it leaves nothing behind (%s)", t.Reason)
		case name == "pins":
		case name == "reason" && strings.Contains(t.Reason, want):
		case name == "reason":
			return fmt.Errorf("reason: %q expected, got %q", want, t.Reason)
		case got != want:
			return fmt.Errorf("%s: %s expected, got %s (%s)", name, want, got, t.Reason)
		}
	}
	return nil
}

// NeedOf and EffectOf find needs and effects by name.
func NeedOf(name string) (splitter.Need, bool) {
	for i, n := range Needs {
		if n == name {
			return splitter.Need(i), true
		}
	}
	return 0, false
}

func EffectOf(name string) (splitter.Effect, bool) {
	for i, n := range Effects {
		if n == name {
			return splitter.Effect(i), true
		}
	}
	return 0, false
}
