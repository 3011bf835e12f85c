package terms

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"eiderway/shape"
	"eiderway/splitter"
)

// This file owns our own settings, in YAML: one section a subsystem, a section that is not there is off. What is
// wrong is told as one line with file, line, column and what would do. It must never choose a value: defaults stand
// in defaults below, as the example deploy/eiderway.yaml shows them.

// Own is what our own file says.
type Own struct {
	Classing *Classing
	Admin    *Admin
	Gossip   *Gossip
	Knowing  *Knowing
	Lease    *Lease
	Zones    *Zones
}

// Gossip is the section of the talk among instances. Members and Networks change on SIGHUP, the key too.
type Gossip struct {
	Name     string
	Listen   netip.AddrPort
	Key      string // path of this instance's key
	Seeds    []netip.AddrPort
	Members  map[string][]ed25519.PublicKey // who may speak, by name; several keys while they are changed
	Networks []netip.Prefix
	Bytes    int // a second
	Tell     bool
}

// Classing is the section that has statements without our comment classed.
type Classing struct {
	Shape         shape.Terms
	Types         []splitter.TxnType // by shape.Kind
	Several       bool               // strings of several statements are served, as one, at the primary
	Sessions      bool               // statements that leave state on a connection are served, and the connection closed
	LongestAnswer int                // bytes
}

// Admin is the section of the Unix socket that operators ask on.
type Admin struct {
	Socket string
}

// Knowing is the section of what the routers of a tier tell each other of nodes, where the configuration names peers.
type Knowing struct {
	Tell bool // false: this router neither tells nor listens
}

// Zones is the section that has routers leave a zone together whose nodes fail, and return at a pace.
type Zones struct {
	Every   float64           // s between the words of the one that numbers the steps; 0: each goes by its own sums
	Regions map[string]string // by zone; a zone that is not named is a region of its own
}

type zonesFile struct {
	Steps *struct {
		Every string `yaml:"every"`
	} `yaml:"steps"`
	Regions map[string][]string `yaml:"regions"`
}

type ownFile struct {
	Classing *classingFile `yaml:"classing"`
	Admin    *struct {
		Socket string `yaml:"socket"`
	} `yaml:"admin"`
	Gossip  *gossipFile `yaml:"gossip"`
	Knowing *struct {
		Tell *bool `yaml:"tell"`
	} `yaml:"knowing"`
	Lease *leaseFile `yaml:"lease"`
	Zones *zonesFile `yaml:"zones"`
}

type gossipFile struct {
	Name    string   `yaml:"name"`
	Listen  string   `yaml:"listen"`
	Key     string   `yaml:"key"`
	Seeds   []string `yaml:"seeds"`
	Members []struct {
		Name string   `yaml:"name"`
		Keys []string `yaml:"keys"`
	} `yaml:"members"`
	Networks []string `yaml:"networks"`
	Bytes    string   `yaml:"bytes"`
	Tell     *bool    `yaml:"tell"`
}

type classingFile struct {
	OldStrings    bool           `yaml:"old_strings"`
	Several       string         `yaml:"several"`
	Sessions      string         `yaml:"sessions"`
	Memory        string         `yaml:"memory"`
	ParseRate     string         `yaml:"parse_rate"`
	LongestAnswer string         `yaml:"longest_answer"`
	Types         []typeFile     `yaml:"types"`
	Read          string         `yaml:"read"`
	Volatile      string         `yaml:"volatile"`
	Write         string         `yaml:"write"`
	Functions     []functionFile `yaml:"functions"`
	Casts         []string       `yaml:"casts"`
	Operators     []string       `yaml:"operators"`
	Writing       []string       `yaml:"writing"`
	Rules         []struct {
		Table    string `yaml:"table"`
		Function string `yaml:"function"`
		Shape    string `yaml:"shape"`
		Type     string `yaml:"type"`
	} `yaml:"rules"`
	Group  int `yaml:"group"`
	Places []struct {
		Table  string `yaml:"table"`
		Schema string `yaml:"schema"`
		Group  *int   `yaml:"group"`
		Key    string `yaml:"key"`
		Groups []int  `yaml:"groups"`
		Ranges []struct {
			Below string `yaml:"below"`
			Group int    `yaml:"group"`
		} `yaml:"ranges"`
	} `yaml:"places"`
}

type typeFile struct {
	Name      string  `yaml:"name"`
	Need      string  `yaml:"need"`
	Bound     string  `yaml:"bound"`
	Effect    string  `yaml:"effect"`
	Mark      string  `yaml:"mark"`
	Window    string  `yaml:"window"`
	SLA       string  `yaml:"sla"`
	Expiry    string  `yaml:"expiry"`
	Value     float64 `yaml:"value"`
	LateValue float64 `yaml:"late_value"`
}

type functionFile struct {
	Name string `yaml:"name"`
	Does string `yaml:"does"`
}

// defaults of the section classing.
func defaults() classingFile {
	return classingFile{Several: "primary", Sessions: "refuse", Memory: "4MiB", ParseRate: "4MiB", LongestAnswer: "1MiB",
		Types: []typeFile{
			{Name: "read", Need: "bounded", Bound: "500ms", Effect: "repeatable", SLA: "1s", Expiry: "5s", Value: 1, LateValue: 0.5},
			{Name: "volatile", Need: "bounded", Bound: "500ms", Effect: "once-only", SLA: "1s", Expiry: "5s", Value: 1, LateValue: 0.5},
			{Name: "write", Need: "primary", Effect: "once-only", SLA: "1s", Expiry: "5s", Value: 6, LateValue: 0.5}},
		Read: "read", Volatile: "volatile", Write: "write"}
}

// ReadOwn reads our own settings from a file.
func ReadOwn(path string, seed uint64) (*Own, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	own, err := decodeOwn(text, seed)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return own, nil
}

// DefaultOwn gives the settings with every section that stands on defaults alone.
func DefaultOwn() (*Own, error) { return decodeOwn([]byte("classing: {}\n"), 0) }

// doc is a file that is being decoded, to tell where in it something stands.
type doc struct {
	file *ast.File
	err  error // the first thing that is wrong
}

// wrong notes what is wrong at a path.
func (d *doc) wrong(path, format string, args ...any) {
	if d.err != nil {
		return
	}
	line, column := 1, 1
	for p := path; ; {
		at, err := yaml.PathString("$" + p)
		if err == nil {
			if node, err := at.FilterFile(d.file); err == nil && node != nil && node.GetToken() != nil {
				line, column = node.GetToken().Position.Line, node.GetToken().Position.Column
				break
			}
		}
		i := strings.LastIndexAny(p, ".[") // it is not there: its parent is
		if i < 0 {
			break
		}
		p = p[:i]
	}
	d.err = fmt.Errorf("%d:%d: %s: %s", line, column, strings.TrimPrefix(path, "."), fmt.Sprintf(format, args...))
}

func decodeOwn(text []byte, seed uint64) (*Own, error) {
	var f ownFile
	f.Classing = &classingFile{}
	*f.Classing = defaults()
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&f); err != nil && len(bytes.TrimSpace(text)) > 0 {
		var at yaml.Error
		if errors.As(err, &at) && at.GetToken() != nil {
			p := at.GetToken().Position
			return nil, fmt.Errorf("%d:%d: %s", p.Line, p.Column, strings.ReplaceAll(at.GetMessage(), "\n", " "))
		}
		return nil, fmt.Errorf("1:1: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, fmt.Errorf("1:1: %w", err)
	}
	d := &doc{file: file}
	own := &Own{}
	if d.has(".classing") && f.Classing == nil {
		d.wrong(".classing", "the section is empty; {} stands for its defaults")
	} else if d.has(".classing") {
		own.Classing = d.classing(f.Classing, seed)
	}
	if f.Admin != nil {
		own.Admin = &Admin{Socket: f.Admin.Socket}
		if f.Admin.Socket == "" || len(f.Admin.Socket) > longestSocket {
			d.wrong(".admin.socket", "a path of 1 to %d bytes is needed", longestSocket)
		}
	}
	if f.Gossip != nil {
		own.Gossip = d.gossip(f.Gossip)
	} else if d.has(".gossip") {
		d.wrong(".gossip", "the section is empty; it needs at least name, listen, key and members")
	}
	if f.Knowing != nil {
		own.Knowing = &Knowing{Tell: f.Knowing.Tell == nil || *f.Knowing.Tell}
	} else if d.has(".knowing") {
		d.wrong(".knowing", "the section is empty; tell: true stands for its default")
	}
	if f.Zones != nil {
		own.Zones = d.zones(f.Zones, f.Lease != nil)
	} else if d.has(".zones") {
		d.wrong(".zones", "the section is empty; {} turns it on")
	}
	if f.Lease != nil {
		own.Lease = d.lease(f.Lease)
	} else if d.has(".lease") {
		d.wrong(".lease", "the section is empty; {} stands for its defaults")
	}
	return own, d.err
}

const (
	leastWords = 0.05 // s
	mostWords  = 2.0
)

// zones reads the section zones.
func (d *doc) zones(f *zonesFile, leases bool) *Zones {
	z := &Zones{Regions: map[string]string{}}
	switch {
	case f.Steps != nil:
		if z.Every = d.span(".zones.steps.every", cmp.Or(f.Steps.Every, "400ms"), leastWords); z.Every > mostWords {
			d.wrong(".zones.steps.every", "%s is over %gs: routers would go by old steps", f.Steps.Every, mostWords)
		}
		if !leases {
			d.wrong(".zones.steps", "the steps are numbered by who holds a lease: the section lease is needed; {} stands for its defaults")
		}
	case d.has(".zones.steps"):
		d.wrong(".zones.steps", "the section is empty; {} stands for its defaults")
	}
	for _, region := range slices.Sorted(maps.Keys(f.Regions)) {
		for _, name := range f.Regions[region] {
			if was := z.Regions[name]; was != "" || name == "" {
				d.wrong(".zones.regions."+region, "%q is in %q already, or has no name", name, was)
			}
			z.Regions[name] = region
		}
	}
	return z
}

// gossip reads the section gossip.
func (d *doc) gossip(f *gossipFile) *Gossip {
	g := &Gossip{Name: f.Name, Key: f.Key, Members: map[string][]ed25519.PublicKey{}, Tell: f.Tell == nil || *f.Tell}
	g.Bytes = d.size(".gossip.bytes", cmp.Or(f.Bytes, "8KiB"), leastGossip, mostGossip)
	addr := func(path, text string) netip.AddrPort {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			d.wrong(path, "%q is no address with a port, such as 10.0.0.4:7946", text)
		}
		return a
	}
	g.Listen = addr(".gossip.listen", f.Listen)
	for i, s := range f.Seeds {
		g.Seeds = append(g.Seeds, addr(fmt.Sprintf(".gossip.seeds[%d]", i), s))
	}
	if f.Key == "" {
		d.wrong(".gossip.key", "the path of a key is needed; `eiderway key new` makes one")
	}
	for i, m := range f.Members {
		at := fmt.Sprintf(".gossip.members[%d]", i)
		if _, twice := g.Members[m.Name]; twice || m.Name == "" || len(m.Name) > longestName {
			d.wrong(at, "a member needs a name of its own, of at most %d bytes", longestName)
		}
		if len(m.Keys) == 0 {
			d.wrong(at, "a member needs a key")
		}
		for j, text := range m.Keys {
			key, err := base64.StdEncoding.DecodeString(text)
			if err != nil || len(key) != ed25519.PublicKeySize {
				d.wrong(fmt.Sprintf("%s.keys[%d]", at, j), "%q is no public key as `eiderway key show` prints it", text)
			}
			g.Members[m.Name] = append(g.Members[m.Name], key)
		}
	}
	if _, ok := g.Members[g.Name]; !ok && d.err == nil {
		d.wrong(".gossip.name", "%q is none of the members", g.Name)
	}
	if len(g.Members) > mostMembers {
		d.wrong(".gossip.members", "at most %d members", mostMembers)
	}
	for i, text := range f.Networks {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			d.wrong(fmt.Sprintf(".gossip.networks[%d]", i), "%q is no network such as 10.0.0.0/8", text)
		}
		g.Networks = append(g.Networks, p)
	}
	return g
}

const (
	leastGossip   = 1 << 10 // bytes a second: a sign of life of each of a few
	mostGossip    = 1 << 20
	longestName   = 64        // bytes, of an instance
	mostMembers   = 4096      // instances that a peer remembers
	longestSocket = 100       // bytes, of a Unix socket's path
	leastMemory   = 64 << 10  // bytes: some dozens of shapes
	mostMemory    = 1 << 30   // bytes
	mostAnswer    = 256 << 20 // bytes
	mostSpan      = 24 * 3600 // s, of any duration
	mostGroups    = 1 << 20   // groups
)

func (d *doc) has(path string) bool {
	at, err := yaml.PathString("$" + path)
	if err != nil {
		return false
	}
	node, err := at.FilterFile(d.file)
	return err == nil && node != nil
}

// span reads a duration with its unit, in s.
func (d *doc) span(path, text string, least float64) float64 {
	v, err := time.ParseDuration(text)
	if err != nil || v.Seconds() < least || v.Seconds() > mostSpan {
		d.wrong(path, "%q is no duration from %gs to 24h with a unit, such as 250ms", text, least)
	}
	return v.Seconds()
}

// size reads a number of bytes with its unit.
func (d *doc) size(path, text string, least, most int) int {
	number, unit := text, 1
	for name, factor := range map[string]int{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
		if n, ok := strings.CutSuffix(text, name); ok {
			number, unit = n, factor
		}
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if size := v * float64(unit); err != nil || math.IsNaN(size) || size < float64(least) || size > float64(most) {
		d.wrong(path, "%q is no size from %d to %d bytes, such as 4MiB", text, least, most)
		return least
	}
	return int(v * float64(unit))
}

// choice reads one of two words.
func (d *doc) choice(path, text, no, yes string) bool {
	if text != no && text != yes {
		d.wrong(path, "%q is neither %s nor %s", text, no, yes)
	}
	return text == yes
}

func (d *doc) classing(f *classingFile, seed uint64) *Classing {
	c := &Classing{Several: d.choice(".classing.several", f.Several, "refuse", "primary"),
		Sessions:      d.choice(".classing.sessions", f.Sessions, "refuse", "close"),
		LongestAnswer: d.size(".classing.longest_answer", f.LongestAnswer, 1<<10, mostAnswer)}
	s := &c.Shape
	s.Seed, s.OldStrings, s.Group = seed, f.OldStrings, f.Group
	s.Memory = d.size(".classing.memory", f.Memory, leastMemory, mostMemory)
	s.ParseRate = float64(d.size(".classing.parse_rate", f.ParseRate, leastMemory, mostMemory))
	s.Casts, s.Operators, s.Writing = slices.Concat(f.Casts), slices.Concat(f.Operators), slices.Concat(f.Writing)
	kinds := map[string]int{}
	for i, t := range f.Types {
		d.kind(fmt.Sprintf(".classing.types[%d]", i), t, kinds, c)
	}
	named := func(path, name string) int {
		k, ok := kinds[name]
		if !ok {
			d.wrong(path, "%q is none of the txn types", name)
		}
		return k
	}
	s.Read = named(".classing.read", f.Read)
	s.Volatile = named(".classing.volatile", f.Volatile)
	s.Write = named(".classing.write", f.Write)
	if d.err == nil && s.Kinds[s.Write].Need != splitter.NeedPrimary {
		d.wrong(".classing.write", "writes need a txn type with need: primary")
	}
	if d.err == nil && s.Kinds[s.Write].Effect != splitter.OnceOnly {
		d.wrong(".classing.write", "writes that no rule knows need a txn type with effect: once-only")
	}
	if d.err == nil && s.Kinds[s.Volatile].Effect == splitter.Repeatable {
		d.wrong(".classing.volatile", "reads with volatile calls need a txn type with effect: once-only")
	}
	for i, fn := range f.Functions {
		at := fmt.Sprintf(".classing.functions[%d]", i)
		if fn.Name == "" {
			d.wrong(at, "a function without a name")
		}
		switch fn.Does {
		case "reads", "volatile", "writes":
		default:
			d.wrong(at+".does", "%q is none of reads, volatile, writes", fn.Does)
		}
		s.Functions = append(s.Functions, shape.Function{Name: fn.Name, Writes: fn.Does == "writes", Volatile: fn.Does == "volatile"})
	}
	for i, r := range f.Rules {
		at := fmt.Sprintf(".classing.rules[%d]", i)
		if n := count(r.Table != "", r.Function != "", r.Shape != ""); n != 1 {
			d.wrong(at, "a rule needs one of table, function and shape; this one has %d", n)
		}
		s.Rules = append(s.Rules, shape.Rule{Table: r.Table, Function: r.Function, Shape: r.Shape, Kind: named(at+".type", r.Type)})
	}
	d.group(".classing.group", f.Group)
	for i, p := range f.Places {
		at := fmt.Sprintf(".classing.places[%d]", i)
		place := shape.Place{Table: p.Table, Schema: p.Schema, Key: p.Key, Groups: p.Groups}
		switch {
		case p.Table == "" && p.Schema == "":
			d.wrong(at, "a place needs a table or a schema")
		case p.Key == "" && (p.Group == nil || len(p.Groups)+len(p.Ranges) > 0):
			d.wrong(at, "a place without a key needs a group, and no groups or ranges")
		case p.Key != "" && (p.Group != nil || count(len(p.Groups) > 0, len(p.Ranges) > 0) != 1):
			d.wrong(at, "a key needs either groups or ranges, and no group")
		}
		if p.Group != nil {
			place.Group = *p.Group
			d.group(at+".group", *p.Group)
		}
		for j, g := range p.Groups {
			d.group(fmt.Sprintf("%s.groups[%d]", at, j), g)
		}
		for j, r := range p.Ranges {
			d.group(fmt.Sprintf("%s.ranges[%d].group", at, j), r.Group)
			if r.Below == "" && j < len(p.Ranges)-1 {
				d.wrong(fmt.Sprintf("%s.ranges[%d]", at, j), "only the last range may be without below")
			}
			place.Below = append(place.Below, shape.Range{Below: r.Below, Group: r.Group})
		}
		s.Places = append(s.Places, place)
	}
	if d.err == nil {
		if _, err := shape.New(c.Shape); err != nil {
			d.wrong(".classing", "%v", err)
		}
	}
	return c
}

func (d *doc) group(path string, g int) {
	if g < 0 || g > mostGroups {
		d.wrong(path, "%d is no group from 0 to %d", g, mostGroups)
	}
}

func (d *doc) kind(at string, t typeFile, kinds map[string]int, c *Classing) {
	if _, twice := kinds[t.Name]; twice || t.Name == "" {
		d.wrong(at+".name", "a txn type needs a name of its own")
	}
	need, ok := shape.NeedOf(t.Need)
	if !ok || need == splitter.NeedSession {
		d.wrong(at+".need", "%q is none of any, bounded, current, primary", t.Need)
	}
	effect, ok := shape.EffectOf(t.Effect)
	if !ok {
		d.wrong(at+".effect", "%q is none of repeatable, referenced, once-only", t.Effect)
	}
	k := shape.Kind{Name: t.Name, Need: need, Effect: effect, Mark: t.Mark}
	x := splitter.TxnType{Need: need, Effect: effect, Value: t.Value, LateValue: t.LateValue}
	if need == splitter.NeedBounded {
		k.Bound = d.span(at+".bound", t.Bound, 0.001)
		x.Bound = k.Bound
	} else if t.Bound != "" {
		d.wrong(at+".bound", "only need: bounded has a bound")
	}
	if effect == splitter.Referenced {
		x.Window = d.span(at+".window", t.Window, 0.001)
		if t.Mark == "" {
			d.wrong(at, "effect: referenced needs a mark, the column by which a repeat is known")
		}
	} else if t.Window != "" || t.Mark != "" {
		d.wrong(at, "only effect: referenced has a mark and a window")
	}
	x.SLA = d.span(at+".sla", t.SLA, 0.001)
	k.Expiry = d.span(at+".expiry", t.Expiry, 0.001)
	if d.err == nil && k.Expiry < x.SLA {
		d.wrong(at+".expiry", "%s is before the SLA time, %s", t.Expiry, t.SLA)
	}
	if !(t.Value > 0) || math.IsInf(t.Value, 0) || t.LateValue < 0 || t.LateValue > 1 {
		d.wrong(at, "value must be over 0, late_value a share from 0 to 1")
	}
	kinds[t.Name] = len(c.Types)
	c.Types = append(c.Types, x)
	c.Shape.Kinds = append(c.Shape.Kinds, k)
}

func count(of ...bool) (n int) {
	for _, b := range of {
		if b {
			n++
		}
	}
	return n
}
