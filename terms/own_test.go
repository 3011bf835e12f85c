package terms

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"eiderway/splitter"
)

func readOwn(t *testing.T, text string) (*Own, error) {
	path := filepath.Join(t.TempDir(), "own.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return ReadOwn(path, 5)
}

func TestOwn(t *testing.T) {
	own, err := readOwn(t, "")
	require.NoError(t, err)
	require.Equal(t, &Own{}, own, "what is not there is off")
	own, err = readOwn(t, "classing: {}\n")
	require.NoError(t, err)
	example, err := ReadOwn("../deploy/eiderway.yaml", 5)
	require.NoError(t, err)
	require.Equal(t, own.Classing, example.Classing, "the example shows the defaults")
	require.Nil(t, example.Admin)

	own, err = readOwn(t, `
classing:
  several: refuse
  sessions: close
  memory: 1.5MiB
  types:
    - {name: look, need: any, effect: repeatable, sla: 400ms, expiry: 2s, value: 1}
    - {name: dice, need: current, effect: once-only, sla: 1s, expiry: 2s, value: 1}
    - {name: other, need: primary, effect: once-only, sla: 1s, expiry: 3s, value: 6, late_value: 0.5}
    - {name: claim, need: primary, effect: referenced, mark: claim_id, window: 2s, sla: 1s, expiry: 3s, value: 6}
  read: look
  volatile: dice
  write: other
  functions: [{name: shop.total, does: reads}, {name: pay, does: writes}]
  rules: [{table: "refund*", type: claim}]
  group: 2
  places:
    - {table: objects, key: oid, groups: [0, 1]}
    - {table: rows, key: id, ranges: [{below: 100, group: 0}, {group: 1}]}
    - {schema: north, group: 3}
admin:
  socket: /run/eiderway.sock
`)
	require.NoError(t, err)
	c := own.Classing
	require.Equal(t, []any{false, true, 3 << 19, uint64(5), 2}, []any{c.Several, c.Sessions, c.Shape.Memory, c.Shape.Seed, c.Shape.Group})
	require.Equal(t, splitter.TxnType{Need: splitter.NeedPrimary, Effect: splitter.Referenced, Window: 2, SLA: 1, Value: 6}, c.Types[3])
	require.Equal(t, "100", c.Shape.Places[1].Below[0].Below)
	require.Equal(t, "/run/eiderway.sock", own.Admin.Socket)
}

// TestOwnRefuses: each thing that is wrong is one line with its place and what would do.
func TestOwnRefuses(t *testing.T) {
	for text, want := range map[string]string{
		"clasing: {}":                           "own.yaml:1:1: ",
		"classing:\n  memry: 1MiB":              "own.yaml:2:3: ",
		"classing:\n  memory: 1MB":              `own.yaml:2:11: classing.memory: "1MB" is no size`,
		"classing:\n  memory: 1KiB":             "own.yaml:2:11: classing.memory: \"1KiB\" is no size from 65536",
		"classing:\n  several: maybe":           "own.yaml:2:12: classing.several: \"maybe\" is neither refuse nor primary",
		"classing: [1]":                         "own.yaml:1:",
		"classing:\n  read: nosuch":             "own.yaml:2:9: classing.read: \"nosuch\" is none of the txn types",
		"classing:\n  write: read":              "own.yaml:2:10: classing.write: writes need a txn type with need: primary",
		"classing:\n  volatile: read":           "own.yaml:2:13: classing.volatile: ",
		"classing:\n  group: -1":                "own.yaml:2:10: classing.group: -1 is no group",
		"classing:\n  rules: [{type: read}]":    "own.yaml:2:11: classing.rules[0]: a rule needs one of",
		"classing:\n  places: [{table: a}]":     "own.yaml:2:12: classing.places[0]: a place without a key needs a group",
		"classing:\n  places: [{group: 1}]":     "classing.places[0]: a place needs a table or a schema",
		"classing:\n  functions: [{name: a}]":   "own.yaml:2:15: classing.functions[0].does: \"\" is none of reads",
		"classing:\n  writing: ['[']":           "classing: view \"[\": syntax error in pattern",
		"classing:\n  types:\n    - name: a":    "own.yaml:3:11: classing.types[0].need: \"\" is none of any",
		"admin: {}":                             "own.yaml:1:8: admin.socket: a path of 1 to 100 bytes is needed",
		"admin:\n\tsocket: a":                   "own.yaml:2:1: ",
		"classing:\n  several: a\n  several: b": "own.yaml:3:3: ",
	} {
		_, err := readOwn(t, text)
		require.Error(t, err, text)
		require.Contains(t, err.Error(), want, text)
		require.NotContains(t, err.Error(), "\n", text)
	}
	spoil := func(old, new string) string {
		return "classing:\n  types:\n" + strings.Replace(`    - {name: read, need: bounded, bound: 1s, effect: repeatable, sla: 1s, expiry: 2s, value: 1}
    - {name: volatile, need: any, effect: once-only, sla: 1s, expiry: 2s, value: 1}
    - {name: write, need: primary, effect: once-only, sla: 1s, expiry: 2s, value: 1}
`, old, new, 1)
	}
	_, err := readOwn(t, spoil("", ""))
	require.NoError(t, err)
	for _, x := range [][3]string{{"bound: 1s", "bound: 1", "bound: \"1\" is no duration"}, {"need: any", "need: any, bound: 1s", "only need: bounded"},
		{"sla: 1s", "sla: 3s", "is before the SLA time"}, {"value: 1", "value: 0", "value must be over 0"}, {"name: volatile", "name: read", "a name of its own"},
		{"once-only", "referenced", "is no duration"}, {"once-only", "referenced, window: 2s", "needs a mark"}, {"once-only", "once-only, mark: a", "only effect: referenced"}} {
		_, err := readOwn(t, spoil(x[0], x[1]))
		require.ErrorContains(t, err, x[2])
	}
}

const keyText = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=" // the first public key of RFC 8032's test vectors

func TestOwnGossip(t *testing.T) {
	text := `gossip:
  name: r1
  listen: 127.0.0.1:7946
  key: /k
  seeds: ["[::1]:7946"]
  members: [{name: r1, keys: [KEY]}, {name: r2, keys: [KEY, KEY]}]
  networks: [127.0.0.0/8]
  tell: false
`
	text = strings.ReplaceAll(text, "KEY", keyText)
	own, err := readOwn(t, text)
	require.NoError(t, err)
	g := own.Gossip
	require.Equal(t, []any{"r1", "127.0.0.1:7946", 8 << 10, false, 2, 2}, []any{g.Name, g.Listen.String(), g.Bytes, g.Tell, len(g.Members), len(g.Members["r2"])})
	for _, x := range [][3]string{{"name: r1\n", "name: r9\n", `2:9: gossip.name: "r9" is none of the members`}, {"127.0.0.1:7946", "localhost", "3:11: gossip.listen: "},
		{"key: /k", "key: ''", "4:8: gossip.key: "}, {"{name: r2", "{name: r1", "gossip.members[1]: a member needs a name of its own"},
		{keyText, "AAAA", "gossip.members[0].keys[0]: \"AAAA\" is no public key"}, {"[127.0.0.0/8]", "[all]", "gossip.networks[0]: "},
		{"tell: false", "bytes: 1", "gossip.bytes: "}, {"tell: false", "tel: false", "8:3: "}} {
		_, err := readOwn(t, strings.Replace(text, x[0], x[1], 1))
		require.ErrorContains(t, err, x[2])
	}
	_, err = readOwn(t, "gossip:\n")
	require.ErrorContains(t, err, "the section is empty")
}

// FuzzOwn: any file is read, or refused in one line with a place.
func FuzzOwn(f *testing.F) {
	example, err := os.ReadFile("../deploy/eiderway.yaml")
	require.NoError(f, err)
	f.Add(string(example))
	f.Add("classing: {types: [{name: a}], rules: [{table: b}]}")
	f.Add("classing: *x\n? - \n")
	f.Fuzz(func(t *testing.T, text string) {
		own, err := decodeOwn([]byte(text), 1)
		if err != nil {
			require.Regexp(t, `^\d+:\d+: [^\n]*$`, err.Error())
			return
		}
		require.NotNil(t, own)
	})
}

func TestLease(t *testing.T) {
	own, err := readOwn(t, "lease: {}\n")
	require.NoError(t, err)
	require.Equal(t, []any{3.0, 0.01, 5, 0, float64(64 << 10)}, []any{own.Lease.Terms.Span, own.Lease.Terms.Drift, own.Lease.Terms.Council,
		own.Lease.Terms.Routers, own.Lease.Terms.Bytes})
	require.Nil(t, own.Lease.List)
	text := `lease:
  span: 2s
  longest_way: 300ms
  council: 3
  list: {quiet: 3s, every: 500ms}
  drain: {slots: 2}
  tasks:
    - {name: reindex}
    - {name: beat, every: 100ms, standing: true, slots: 2}
`
	own, err = readOwn(t, text)
	require.NoError(t, err)
	require.Equal(t, []any{2.0, 3.0, 50.0, 2}, []any{own.Lease.Terms.Span, own.Lease.List.Quiet, own.Lease.List.Pace, own.Lease.Drain.Slots})
	require.Len(t, own.Lease.Terms.Tasks, 2)
	for _, x := range [][3]string{{"span: 2s", "span: 500ms", "2:9: lease.span: 500ms, counted as 0.49s"}, {"council: 3", "council: 4", "4:12: lease.council: 4 is no odd"},
		{"council: 3", "former: 5\n  routers: 5", "lease.former: the former set"}, {"name: beat", "name: reindex", "lease.tasks[1]: a task needs a name of its own"},
		{"quiet: 3s", "quiet: 600ms", "5:17: lease.list.quiet: shorter than two words"}, {"slots: 2}\n  tasks", "slots: 0}\n  tasks", "6:18: lease.drain.slots"},
		{"every: 100ms", "evry: 100ms", "9:"}, {"{slots: 2}\n  tasks", "\n  tasks", "lease.drain: the section is empty"},
		{"council: 3", "drift: 0.5", "lease.drift"}, {"every: 100ms", "every: 1us", "lease.tasks[1].every"}} {
		require.Contains(t, text, x[0])
		_, err := readOwn(t, strings.Replace(text, x[0], x[1], 1))
		require.ErrorContains(t, err, x[2])
	}
	own, err = readOwn(t, "zones: {}\n")
	require.NoError(t, err)
	require.NotNil(t, own.Zones)
	own, err = readOwn(t, "zones: {steps: {}, regions: {east: [a, b]}}\nlease: {}\n")
	require.NoError(t, err)
	require.Equal(t, &Zones{Every: 0.4, Regions: map[string]string{"a": "east", "b": "east"}}, own.Zones)
	for text, why := range map[string]string{
		"zones: {steps: {}}\n":                          "the section lease is needed",
		"zones:\n  steps:\nlease: {}\n":                 "2:9: zones.steps: the section is empty",
		"zones: {steps: {every: 9s}}\nlease: {}\n":      "is over 2s",
		"zones: {steps: {every: 1ms}}\nlease: {}\n":     "zones.steps.every",
		"zones: {regions: {east: [a, b], west: [b]}}\n": `"b" is in "east" already`,
		"zones: {steps: {each: 1s}}\nlease: {}\n":       "each",
		"zones: {regions: {east: [\"\"]}}\n":            "has no name",
	} {
		_, err = readOwn(t, text)
		require.ErrorContains(t, err, why, text)
	}
	_, err = readOwn(t, "zones:\n")
	require.ErrorContains(t, err, "zones: the section is empty")
	_, err = readOwn(t, "lease:\n")
	require.ErrorContains(t, err, "lease: the section is empty")
}
