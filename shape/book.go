package shape

import (
	"bytes"
	"cmp"
	"math/rand"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"eiderway/splitter"
)

// This file owns the memory of shapes. Its bound is Terms.Memory: a new shape takes a place only from one that is
// used less, by a sketch of all uses, so that a flood of shapes that come once pushes nothing out, and one that is
// turned away leaves nothing to clean up. It must never hand out a class for a shape whose text differs.

// Book classes statements and remembers their shapes. Its tables: slots and index are emptied by eviction, within
// the memory; nothing else grows.
type Book struct {
	rules   *rules
	rng     *rand.Rand
	hash    func([]byte) uint64
	slots   []slot
	free    []int32
	index   map[uint64]int32
	bytes   int
	uses    sketch
	epoch   int     // of the rules
	credit  float64 // bytes that may be parsed
	at      float64 // when credit was last counted
	feed    feed
	parser  shapeParserImpl
	quick   lexer
	Counted Counts
}

// Counts tell what a Book has done.
type Counts struct {
	Hits, Misses, Bad, Parsed, Over, Turned, Evicted, Refused int64
}

// slot holds a shape.
type slot struct {
	hash  uint64
	text  string
	class Class
	home  home
	epoch int // rules that it was judged by
	gen   int // times the slot was given away
	count int64
	took  quantiles
	work  float64 // s in all
}

// New makes a Book.
func New(t Terms) (*Book, error) {
	r, err := compile(t)
	if err != nil {
		return nil, err
	}
	room := max(leastShapes, t.Memory/entryBytes)
	b := &Book{rules: r, rng: rand.New(rand.NewSource(int64(t.Seed))), index: map[uint64]int32{}, credit: t.ParseRate * hurry}
	seed := t.Seed
	var mixer xxhash.Digest
	b.hash = func(text []byte) uint64 { // mixed by the seed: collisions can't be prepared for all instances
		mixer.ResetWithSeed(seed)
		mixer.Write(text)
		return mixer.Sum64()
	}
	b.uses = newSketch(room*sketchPer, room*sketchAge)
	return b, nil
}

// Scratch makes what a caller lexes with.
func (b *Book) Scratch() *Scratch { return NewScratch(b.rules.OldStrings) }

// Hash is the stable hash of a shape's text, the same at every instance.
func Hash(shape []byte) uint64 { return xxhash.Sum64(shape) }

// Take takes new rules. Shapes and what was learned of them stay; each is judged anew when it next comes.
func (b *Book) Take(t Terms) error {
	r, err := compile(t)
	if err != nil {
		return err
	}
	old := b.rules.Terms
	t.Seed, old.Memory, old.ParseRate = old.Seed, t.Memory, t.ParseRate
	if !reflect.DeepEqual(t, old) {
		b.epoch++
	}
	b.rules = r
	b.makeRoom(0)
	return nil
}

// Class tells what a statement is that was read into s at a time.
func (b *Book) Class(s *Scratch, now float64) Class {
	b.credit = min(b.rules.ParseRate*hurry, b.credit+b.rules.ParseRate*max(0, now-b.at))
	b.at = now
	if s.Bad {
		b.Counted.Bad++
		return b.unknown("the lexer can't tell what it says")
	}
	h := b.hash(s.Norm)
	b.uses.add(h)
	if i, ok := b.index[h]; ok && string(s.Norm) == b.slots[i].text {
		e := &b.slots[i]
		e.count++
		if e.epoch != b.epoch {
			refused := e.class.Reason == refusedWrite
			e.class, e.home = b.judge(s.Norm)
			e.epoch = b.epoch
			if refused {
				b.refuse(e)
			}
		}
		b.Counted.Hits++
		return b.tell(e, int(i), s, true)
	}
	b.Counted.Misses++
	if float64(len(s.Norm)) > b.credit {
		b.Counted.Over++
		return b.hurried(s)
	}
	b.credit -= float64(len(s.Norm))
	b.Counted.Parsed++
	e := slot{hash: h, epoch: b.epoch, count: 1}
	e.class, e.home = b.judge(s.Norm)
	if i := b.admit(&e, s.Norm); i >= 0 {
		return b.tell(&b.slots[i], i, s, false)
	}
	return b.tell(&e, -1, s, false)
}

// tell hands out the class of a shape for one statement of it.
func (b *Book) tell(e *slot, i int, s *Scratch, known bool) Class {
	c := e.class
	c.Known = known
	if c.Group = b.rules.group(&e.home, s); c.Group < 0 {
		c.Reason = "its group can't be told"
	}
	if i >= 0 {
		c.Shape = e.gen<<slotBits | i
	}
	if e.took.total >= enough {
		c.Cost = e.took.at(0.5)
	}
	return c
}

const slotBits = 24

func (b *Book) unknown(why string) Class {
	k := b.rules.Kinds[b.rules.Write]
	return Class{Kind: b.rules.Write, Need: k.Need, Effect: k.Effect, Group: b.rules.Group, Writes: true, Pins: true,
		Many: 1, Cost: guessLeast, Reason: why, Shape: -1}
}

// judge parses a shape.
func (b *Book) judge(norm []byte) (Class, home) {
	f := &b.feed
	f.reset(norm, b.rules)
	f.start()
	b.parser = shapeParserImpl{}
	failed := b.parser.Parse(f) != 0 || f.failed
	c := b.rules.judge(&f.finding, string(norm), failed)
	return c, b.rules.place(&f.finding)
}

func (f *feed) start() {
	f.lex = lexer{text: f.text}
	f.prev, f.cur, f.prevID = token{}, token{}, 0
	f.first, f.raw, f.deep, f.consts, f.failed, f.ins = true, false, 0, 0, false, insert{}
	f.ahead = f.lex.next()
}

// admit gives a shape a place, unless those it would take it from are used more. -1: none.
func (b *Book) admit(e *slot, norm []byte) int {
	need := entryBytes + len(norm) + len(e.class.Reason)
	if len(norm) > longestShape || need > b.rules.Memory {
		return -1
	}
	if old, ok := b.index[e.hash]; ok { // another text with this hash: the one used now stays
		b.drop(old)
	}
	mine := b.uses.count(e.hash)
	for b.bytes+need > b.rules.Memory {
		v := b.loser()
		if v < 0 || mine < usedTwice || b.uses.count(b.slots[v].hash) >= mine {
			b.Counted.Turned++
			return -1
		}
		b.drop(v)
		b.Counted.Evicted++
	}
	var i int32
	if k := len(b.free); k > 0 {
		i, b.free = b.free[k-1], b.free[:k-1]
	} else {
		i = int32(len(b.slots))
		b.slots = append(b.slots, slot{})
	}
	e.gen, e.text = b.slots[i].gen, string(norm)
	b.slots[i] = *e
	b.index[e.hash] = i
	b.bytes += need
	return int(i)
}

// loser is the least used of some shapes drawn by chance.
func (b *Book) loser() int32 {
	worst, least := int32(-1), 0
	for n, tries := 0, 0; n < sampleWidth && tries < 4*sampleWidth && len(b.index) > 0; tries++ {
		i := int32(b.rng.Intn(len(b.slots)))
		if b.slots[i].text == "" {
			continue
		}
		n++
		if u := b.uses.count(b.slots[i].hash); worst < 0 || u < least {
			worst, least = i, u
		}
	}
	return worst
}

func (b *Book) drop(i int32) {
	e := &b.slots[i]
	b.bytes -= entryBytes + len(e.text) + len(e.class.Reason)
	delete(b.index, e.hash)
	gen := (e.gen + 1) & (1<<(62-slotBits) - 1)
	*e = slot{gen: gen}
	b.free = append(b.free, i)
}

// makeRoom keeps the bound after something grew.
func (b *Book) makeRoom(need int) {
	for b.bytes+need > b.rules.Memory && len(b.index) > 0 {
		if v := b.loser(); v >= 0 {
			b.drop(v)
			b.Counted.Evicted++
		}
	}
}

func (b *Book) held(shape int) *slot {
	if shape < 0 || shape&(1<<slotBits-1) >= len(b.slots) {
		return nil
	}
	e := &b.slots[shape&(1<<slotBits-1)]
	if e.gen != shape>>slotBits || e.text == "" {
		return nil
	}
	return e
}

// Took tells what a submission of a shape took, in s.
func (b *Book) Took(shape int, seconds float64) {
	if e := b.held(shape); e != nil && seconds >= 0 {
		e.took.add(seconds)
		e.work += seconds
	}
}

// Refused tells that a replica turned a statement of this shape away as a write. It is one from now on: functions in
// the notation of columns, overloads and rules that nobody declared show here first, before any harm was done.
func (b *Book) Refused(shape int) {
	if e := b.held(shape); e != nil && e.class.Reason != refusedWrite {
		b.Counted.Refused++
		b.refuse(e)
		b.makeRoom(0)
	}
}

func (b *Book) refuse(e *slot) {
	c := b.unknown(refusedWrite)
	b.bytes += len(c.Reason) - len(e.class.Reason)
	c.Many, c.Pins, c.Cost = e.class.Many, e.class.Pins, e.class.Cost
	e.class = c
}

// hurried classes a statement by its tokens alone, while too many new shapes come to parse them: a read only where
// nothing in it could be anything else. Where groups are told by tables or keys, nothing can be told without parsing.
func (b *Book) hurried(s *Scratch) Class {
	c := b.unknown("too many new shapes to parse them all")
	c.Over = true
	c.Pins = false
	if len(b.rules.Places) > 0 {
		c.Group = -1
		return c
	}
	if len(b.rules.Rules)+len(b.rules.Writing) > 0 || !b.surelyReads(s.Norm) {
		c.Pins = true
		return c
	}
	k := b.rules.Kinds[b.rules.Read]
	c.Kind, c.Need, c.Effect, c.Writes = b.rules.Read, k.Need, k.Effect, false
	c.Reason = "its tokens alone: only reads"
	return c
}

// surelyReads tells whether a shape is a SELECT without calls, casts, clauses that write, and dots that may call.
func (b *Book) surelyReads(norm []byte) bool {
	l := &b.quick
	*l = lexer{text: norm}
	var prev token
	for first := true; ; first = false {
		t := l.next()
		switch t.kind {
		case kEnd:
			return !first
		case kWord:
			w := norm[t.at:t.end]
			if first && string(w) != "select" {
				return false
			}
			switch words[string(w)] {
			case INTO, FOR, WITH, TABLE, VALUES, INSERT, UPDATE, DELETE, MERGE, EXPLAIN, FETCH, WINDOW, LATERAL:
				return false
			}
		case kParam:
			// A name before a literal would be a type.
			if prev.kind == kQuoted || prev.kind == kWord && !plain[string(norm[prev.at:prev.end])] &&
				words[string(norm[prev.at:prev.end])] == 0 {
				return false
			}
		case kOp:
			if !operators[string(norm[t.at:t.end])] {
				return false
			}
		case kQuoted:
			if first {
				return false
			}
		case kPunct:
			switch {
			case t.punct == ';' || t.punct == '.' && len(b.rules.functions) > 0:
				return false
			case t.punct == '(' && (prev.kind == kQuoted || prev.kind == kWord && !plain[string(norm[prev.at:prev.end])]):
				return false
			case first:
				return false
			}
		default:
			return false
		}
		prev = t
	}
}

// Line is what a Book tells of a shape.
type Line struct {
	Shape    string  `json:"shape"`
	Hash     uint64  `json:"hash,string"`
	Kind     string  `json:"type"`
	Reason   string  `json:"reason"`
	Count    int64   `json:"count"`
	P50, P99 float64 // s
	Work     float64 `json:"work"` // share of what all shapes took
}

// Lines tells the shapes that took most, the heaviest first.
func (b *Book) Lines(most int) []Line {
	total := 0.0
	var all []*slot
	for i := range b.slots {
		if e := &b.slots[i]; e.text != "" {
			total += e.work
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(x, y *slot) int {
		return cmp.Or(cmp.Compare(y.work, x.work), cmp.Compare(y.count, x.count), cmp.Compare(x.text, y.text))
	})
	var out []Line
	for _, e := range all[:min(most, len(all))] {
		l := Line{Shape: e.text, Hash: Hash([]byte(e.text)), Kind: b.rules.Kinds[e.class.Kind].Name, Reason: e.class.Reason,
			Count: e.count, P50: e.took.at(0.5), P99: e.took.at(0.99)}
		if total > 0 {
			l.Work = e.work / total
		}
		out = append(out, l)
	}
	return out
}

// Size tells how many shapes are held, and in how many bytes.
func (b *Book) Size() (shapes, size int) { return len(b.index), b.bytes }

// Turn says what a statement is turned away with, where it is: code and text; a code of "" is none. hurried ones may
// come again. several and sessions say whether such statements are served.
func (c *Class) Turn(several, sessions bool) (code, text string) {
	switch {
	case c.Copies:
		return "0A000", "COPY is not served here"
	case c.Many > 1 && !several:
		return "0A000", "several statements in one string are not served here"
	case c.Pins && c.Many <= 1 && !sessions:
		return "0A000", "this leaves state on its connection (" + c.Reason + "), which is not served here"
	case c.Group < 0 && c.Over:
		return "53300", "too many new statements at once, come back later"
	case c.Group < 0:
		return "0A000", "the group of this statement can't be told: name one table's key, or tables of one group"
	}
	return "", ""
}

// Reclass weighs what a statement's own comment says against what it is: one that is called a read and writes goes on
// as a write.
func (c *Class) Reclass(said splitter.Need) bool { return c.Writes && said != splitter.NeedPrimary }

// Answer tells whether an error, by its code, is the statement's own: the node answered it, another would say the
// same, and nothing of it stays. All others are troubles of the node or of the moment. Source: appendix A of the
// PostgreSQL documentation, by class.
func Answer(code string) bool {
	if len(code) != 5 || code == "25006" {
		return false
	}
	return bytes.Contains([]byte("03 0A 0B 0L 0P 0Z 20 21 22 23 24 25 26 27 28 2B 2D 2F 34 38 39 3B 3D 3F 40 42 44 P0 54"),
		[]byte(code[:2])) && code != "40003" || code == "57014"
}
