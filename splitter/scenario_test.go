package splitter

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"eiderway/testing/scenario"
)

// world is the Host of a scenario: it keeps what the router did and plays what is said of the nodes.
type world struct {
	t      *testing.T
	where  string
	now    float64
	router *Router
	names  []string
	roles  map[string][]string // what a node tells when probed; none: it does not answer
	then   map[int]func(Result)
	sent   map[int]float64
	cut    map[int]float64 // how long a submission may take
	over   map[int]bool
	timers []timer
	did    []string
}

type timer struct {
	at   float64
	then func()
}

func (w *world) Now() float64 { return w.now }

func (w *world) Submit(txn, node int, until float64, then func(Result)) {
	require.Nil(w.t, w.then[txn], "%s: two submissions of %d out", w.where, txn)
	require.False(w.t, w.over[txn], "%s: %d submitted after its end", w.where, txn)
	w.then[txn], w.sent[txn], w.cut[txn] = then, w.now, until-w.now
	w.do("submit %d %s", txn, w.names[node])
}

func (w *world) end(txn int, how string) {
	require.False(w.t, w.over[txn], "%s: %d answered twice", w.where, txn)
	w.over[txn] = true
	w.do("%s %d", how, txn)
}

func (w *world) Cancel(txn int)                { w.do("cancel %d", txn) }
func (w *world) Decline(txn int, _ float64)    { w.end(txn, "decline") }
func (w *world) RollBack(txn int)              { w.end(txn, "rollback") }
func (w *world) CloseIdle(node int)            { w.do("close %s", w.names[node]) }
func (w *world) Forget(node int)               { w.do("forget %s", w.names[node]) }
func (w *world) Watch()                        { w.do("watch") }
func (w *world) After(at float64, then func()) { w.timers = append(w.timers, timer{at, then}) }
func (w *world) Note(string)                   {}
func (w *world) do(f string, args ...any)      { w.did = append(w.did, fmt.Sprintf(f, args...)) }

func (w *world) Want(int) { w.do("want") }

func (w *world) Count(what What, why Cause) { w.do("count %s %s", what, why) }

func (w *world) Probe(node int, why Cause, then func(Report)) {
	name := w.names[node]
	w.do("probe %s %s", name, why)
	w.After(w.now+0.001, func() {
		if role := w.roles[name]; role != nil {
			then(w.report(role))
		} else {
			then(Report{Load: -1})
		}
	})
}

// report reads "primary", or "replica LAG", or "unclear".
func (w *world) report(words []string) Report {
	r := Report{OK: true, Load: -1}
	if len(words) > 0 {
		switch words[0] {
		case "primary":
			r.Role, r.Pos = RolePrimary, w.now
		case "replica":
			r.Role, r.Pos = RoleReplica, w.now-w.number(words[1])
		}
	}
	return r
}

func (w *world) number(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	require.NoError(w.t, err, w.where)
	return x
}

func (w *world) pass(span float64) {
	for end := w.now + span; ; {
		i := -1
		for k, t := range w.timers {
			if t.at <= end && (i < 0 || t.at < w.timers[i].at) {
				i = k
			}
		}
		if i < 0 {
			w.now = end
			return
		}
		t := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		w.now = max(w.now, t.at)
		t.then()
	}
}

var types = []TxnType{
	{Need: NeedBounded, Bound: 0.2, SLA: 0.4, Value: 1},
	{Need: NeedPrimary, Effect: Referenced, Window: 2, SLA: 1, Value: 6, LateValue: 0.5},
	{Need: NeedPrimary, Effect: OnceOnly, SLA: 1, Value: 6, LateValue: 0.5},
	{Need: NeedAny, SLA: 0.5, Value: 1},
	{Need: NeedAny, SLA: 5, Value: 6},
	{Need: NeedSession, SLA: 0.4, Value: 1},
	{Need: NeedCurrent, SLA: 0.4, Value: 1},
	{Need: NeedAny, SLA: 0.5, Value: 1, LateValue: 0.5},
	{Need: NeedAny, SLA: 0.5, Value: 1, LateValue: 0.2},
}

var typeNames = []string{"read", "write", "once", "any", "long", "session", "current", "late", "stale"}

var outcomeNames = map[string]Outcome{"committed": Committed, "failed": Failed, "timedout": TimedOut,
	"broken": Broken, "cancelled": Cancelled, "missed": Missed, "full": Full, "noconn": NoConn, "unknown": Unknown, "answered": Answered}

// play runs one line of a scenario. The notation:
//
//	router [check] [drainonly] [ask] [noprobes] [kept] [of=N] [me=N]  a new router
//	list|news NAME[=draining|gone|cold] ...   the full list, or changes of it
//	refused, moved                            a watch was refused; the list is to be had elsewhere
//	node NAME primary|replica LAG|unclear|silent    what it tells from now on when probed
//	txn ID TYPE [EXPIRY [COST]]               a txn of session 7 arrives
//	again ID TYPE [EXPIRY [COST]]             the same, tried again by its client
//	answer ID OUTCOME [as=TYPE] [primary|replica LAG]   its submission ends; it proved to be of that type
//	cut ID SECONDS                            its submission is waited for as long
//	wait SECONDS, stall SECONDS               time passes, the second without the router being run
//	doubt NAME SECONDS                        peers doubt it for as long
//	told SECONDS [[primary:]NAME[=LOAD] AGE] ...  peers look at the group for as long; what they say of positions; a
//	                                          load has as many letters as submissions are out there
//	look NAME                                 they want to know of it
//	expect WHAT                               it did this since the last expect; names may be A|B
//	never WHAT                                it did not
//	most N WHAT                               it did this N times at most
//	held ID ...                               txns neither out nor over
func (w *world) play(f []string) {
	switch f[0] {
	case "router":
		t := Terms{Seed: 1, Routers: 1, Types: types, Probes: true, ProbeRoles: true, Cancels: true,
			MaxSubmissions: 8, MaxPause: 1, ColdFrom: 0.2, WarmAfter: 16, Overload: 3, Fall: 2, ConnectIn: 0.25, IdleClose: 15}
		for _, o := range f[1:] {
			name, n, _ := strings.Cut(o, "=")
			switch name {
			case "check":
				t.NodesCheck = true
			case "ask":
				t.AskList = true
			case "noprobes":
				t.Probes, t.ProbeRoles = false, false
			case "drainonly":
				t.OnlyDrainBinds = true
			case "kept":
				t.SessionsKept = true
			case "me":
				t.Me = int(w.number(n))
			case "of":
				t.Routers = int(w.number(n))
			default:
				require.Fail(w.t, "unknown option", "%s: %s", w.where, o)
			}
		}
		w.router = New(t, w)
	case "list", "news":
		var list []Member
		for _, m := range f[1:] {
			name, state, _ := strings.Cut(m, "=")
			i := slices.Index(w.names, name)
			if i < 0 {
				i = len(w.names)
				w.names = append(w.names, name)
			}
			e := Member{Node: i, Name: name, State: map[string]State{"draining": Draining, "gone": Gone}[state]}
			if state == "cold" {
				e.Born = w.now
			}
			list = append(list, e)
		}
		w.router.Members(map[string]ListKind{"list": ListAll, "news": ListChanges}[f[0]], list)
	case "refused", "moved":
		w.router.Members(map[string]ListKind{"refused": ListRefused, "moved": ListMoved}[f[0]], nil)
	case "node":
		w.roles[f[1]] = f[2:]
		if f[2] == "silent" {
			delete(w.roles, f[1])
		}
	case "txn", "again":
		typ := slices.Index(typeNames, f[2])
		require.GreaterOrEqual(w.t, typ, 0, w.where)
		x := Txn{ID: int(w.number(f[1])), Type: typ, Until: w.now + 10, Session: 7, Again: f[0] == "again"}
		if len(f) > 3 {
			x.Until = w.now + w.number(f[3])
		}
		if len(f) > 4 {
			x.Cost = w.number(f[4])
		}
		w.router.Arrive(x)
	case "answer":
		id := int(w.number(f[1]))
		then := w.then[id]
		require.NotNil(w.t, then, "%s: %d is not out", w.where, id)
		delete(w.then, id)
		outcome, ok := outcomeNames[f[2]]
		require.True(w.t, ok, w.where)
		w.over[id] = w.over[id] || outcome == Committed || outcome == Answered
		f, as := f[3:], 0
		if len(f) > 0 && strings.HasPrefix(f[0], "as=") {
			as = 1 + slices.Index(typeNames, f[0][len("as="):])
			require.Positive(w.t, as, w.where)
			f = f[1:]
		}
		then(Result{Outcome: outcome, Latency: w.now - w.sent[id], Ended: w.over[id], As: as, Report: w.report(f)})
	case "doubt":
		w.router.Doubt(slices.Index(w.names, f[1]), w.now+w.number(f[2]))
	case "told": // until, then words
		var words []Word
		for i := 2; i < len(f); i += 2 {
			name, primary := strings.CutPrefix(f[i], "primary:")
			name, load, _ := strings.Cut(name, "=")
			words = append(words, Word{Node: slices.Index(w.names, name), Pos: w.now - w.number(f[i+1]), Primary: primary, Load: len(load)})
		}
		w.router.Told(0, w.now+w.number(f[1]), len(words) > 0, words)
	case "look":
		w.router.Look(slices.Index(w.names, f[1]), ForAll)
	case "cut":
		require.InDelta(w.t, w.number(f[2]), w.cut[int(w.number(f[1]))], 0.01, w.where)
	case "wait":
		w.pass(w.number(f[1]))
	case "stall":
		w.now += w.number(f[1])
	case "expect":
		i := slices.IndexFunc(w.did, func(s string) bool { return matches(s, f[1:]) })
		require.GreaterOrEqual(w.t, i, 0, "%s: wanted %v in %v", w.where, f[1:], w.did)
		w.did = w.did[i+1:]
	case "never":
		i := slices.IndexFunc(w.did, func(s string) bool { return matches(s, f[1:]) })
		require.Less(w.t, i, 0, "%s: %v in %v", w.where, f[1:], w.did)
	case "most":
		count := 0
		for _, s := range w.did {
			if matches(s, f[2:]) {
				count++
			}
		}
		require.LessOrEqual(w.t, float64(count), w.number(f[1]), "%s: %v", w.where, w.did)
	case "held":
		for _, s := range f[1:] {
			id := int(w.number(s))
			require.True(w.t, w.then[id] == nil && !w.over[id], "%s: %d is not held; %v", w.where, id, w.did)
		}
	default:
		require.Fail(w.t, "unknown line", "%s: %v", w.where, f)
	}
}

// matches compares an act with a pattern word by word; a pattern may be shorter.
func matches(act string, pattern []string) bool {
	words := strings.Fields(act)
	if len(pattern) > len(words) {
		return false
	}
	for i, p := range pattern {
		if !slices.Contains(strings.Split(p, "|"), words[i]) {
			return false
		}
	}
	return true
}

func TestScenarios(t *testing.T) {
	scenario.Each(t, func(t *testing.T, path string) {
		w := &world{t: t, now: 1000, roles: map[string][]string{}, then: map[int]func(Result){},
			sent: map[int]float64{}, cut: map[int]float64{}, over: map[int]bool{}}
		for _, line := range scenario.MustRead(t, path) {
			w.where = line.Location
			w.play(line.Words)
		}
	})
}
