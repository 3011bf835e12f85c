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

// fakeHost is the Host of a scenario: it records the actions of the router and answers for the nodes.
type fakeHost struct {
	t       *testing.T
	place   string
	now     float64
	router  *Router
	names   []string
	reports map[string][]string // what a node reports when probed; none: it does not answer
	results map[int]func(Result)
	sentAt  map[int]float64
	allowed map[int]float64 // time allowed for a submission
	ended   map[int]bool
	timers  []timer
	actions []string
}

type timer struct {
	at   float64
	then func()
}

func (h *fakeHost) Now() float64 { return h.now }

func (h *fakeHost) Submit(txn, node int, until float64, then func(Result)) {
	require.Nil(h.t, h.results[txn], "%s: two submissions of txn %d in flight", h.place, txn)
	require.False(h.t, h.ended[txn], "%s: txn %d submitted after its end", h.place, txn)
	h.results[txn], h.sentAt[txn], h.allowed[txn] = then, h.now, until-h.now
	h.record("submit %d %s", txn, h.names[node])
}

func (h *fakeHost) finish(txn int, how string) {
	require.False(h.t, h.ended[txn], "%s: txn %d answered twice", h.place, txn)
	h.ended[txn] = true
	h.record("%s %d", how, txn)
}

func (h *fakeHost) Cancel(txn int)                { h.record("cancel %d", txn) }
func (h *fakeHost) Decline(txn int, _ float64)    { h.finish(txn, "decline") }
func (h *fakeHost) RollBack(txn int)              { h.finish(txn, "rollback") }
func (h *fakeHost) CloseIdle(node int)            { h.record("close %s", h.names[node]) }
func (h *fakeHost) Forget(node int)               { h.record("forget %s", h.names[node]) }
func (h *fakeHost) Watch()                        { h.record("watch") }
func (h *fakeHost) After(at float64, then func()) { h.timers = append(h.timers, timer{at, then}) }
func (h *fakeHost) Note(string)                   {}
func (h *fakeHost) record(f string, args ...any) {
	h.actions = append(h.actions, fmt.Sprintf(f, args...))
}

func (h *fakeHost) RequestPeerProbes(int) { h.record("want") }

func (h *fakeHost) Count(what Counter, why Cause) { h.record("count %s %s", what, why) }

func (h *fakeHost) Probe(node int, why Cause, then func(Report)) {
	name := h.names[node]
	h.record("probe %s %s", name, why)
	h.After(h.now+0.001, func() {
		if role := h.reports[name]; role != nil {
			then(h.report(role))
		} else {
			then(Report{Load: -1})
		}
	})
}

// report parses "primary", "replica LAG" or "unclear".
func (h *fakeHost) report(words []string) Report {
	r := Report{OK: true, Load: -1}
	if len(words) > 0 {
		switch words[0] {
		case "primary":
			r.Role, r.Pos = RolePrimary, h.now
		case "replica":
			r.Role, r.Pos = RoleReplica, h.now-h.number(words[1])
		}
	}
	return r
}

func (h *fakeHost) number(s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	require.NoError(h.t, err, h.place)
	return x
}

func (h *fakeHost) advance(span float64) {
	for end := h.now + span; ; {
		i := -1
		for k, t := range h.timers {
			if t.at <= end && (i < 0 || t.at < h.timers[i].at) {
				i = k
			}
		}
		if i < 0 {
			h.now = end
			return
		}
		t := h.timers[i]
		h.timers = slices.Delete(h.timers, i, i+1)
		h.now = max(h.now, t.at)
		t.then()
	}
}

var txnTypes = []TxnType{
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

// runLine runs one line of a scenario. The notation:
//
//	router [check] [drainonly] [ask] [noprobes] [kept] [of=N] [me=N]  a new router
//	list|news NAME[=draining|gone|cold] ...   the full list, or changes of it
//	refused, moved                            a watch was refused; the list is served elsewhere
//	node NAME primary|replica LAG|unclear|silent    what it reports from now on when probed
//	txn ID TYPE [EXPIRY [COST]]               a txn of session 7 arrives
//	again ID TYPE [EXPIRY [COST]]             the same, marked by its client as a retry
//	answer ID OUTCOME [as=TYPE] [primary|replica LAG]   its submission ends; it proved to be of that type
//	cut ID SECONDS                            its submission was allowed this time
//	wait SECONDS, stall SECONDS               time passes, the second without the router being run
//	doubt NAME SECONDS                        peers doubt the node for this time
//	told SECONDS [[primary:]NAME[=LOAD] AGE] ...  peers probe the group for this time, and report positions of this age;
//	                                          a load has as many letters as submissions are in flight there
//	look NAME                                 peers want to know the state of the node
//	expect WHAT                               the router did this since the last expect; names may be A|B
//	never WHAT                                it did not
//	most N WHAT                               it did this at most N times
//	held ID ...                               these txns are neither in flight nor ended
func (h *fakeHost) runLine(fields []string) {
	switch fields[0] {
	case "router":
		t := Terms{Seed: 1, Routers: 1, Types: txnTypes, CanProbe: true, ProbeRoles: true, CanCancel: true,
			MaxSubmissions: 8, MaxPause: 1, ColdFrom: 0.2, WarmAfter: 16, Overload: 3, OverloadOutage: 2, ConnectTimeout: 0.25, IdleTimeout: 15}
		for _, o := range fields[1:] {
			name, n, _ := strings.Cut(o, "=")
			switch name {
			case "check":
				t.NodesCheckFreshness = true
			case "ask":
				t.WatchList = true
			case "noprobes":
				t.CanProbe, t.ProbeRoles = false, false
			case "drainonly":
				t.OnlyDrainExcludes = true
			case "kept":
				t.TrackSessions = true
			case "me":
				t.Self = int(h.number(n))
			case "of":
				t.Routers = int(h.number(n))
			default:
				require.Fail(h.t, "unknown option", "%s: %s", h.place, o)
			}
		}
		h.router = New(t, h)
	case "list", "news":
		var list []Member
		for _, m := range fields[1:] {
			name, state, _ := strings.Cut(m, "=")
			i := slices.Index(h.names, name)
			if i < 0 {
				i = len(h.names)
				h.names = append(h.names, name)
			}
			e := Member{Node: i, Name: name, State: map[string]State{"draining": Draining, "gone": Gone}[state]}
			if state == "cold" {
				e.StartedAt = h.now
			}
			list = append(list, e)
		}
		h.router.UpdateMembers(map[string]ListKind{"list": ListAll, "news": ListChanges}[fields[0]], list)
	case "refused", "moved":
		h.router.UpdateMembers(map[string]ListKind{"refused": ListRefused, "moved": ListMoved}[fields[0]], nil)
	case "node":
		h.reports[fields[1]] = fields[2:]
		if fields[2] == "silent" {
			delete(h.reports, fields[1])
		}
	case "txn", "again":
		typ := slices.Index(typeNames, fields[2])
		require.GreaterOrEqual(h.t, typ, 0, h.place)
		x := Txn{ID: int(h.number(fields[1])), Type: typ, Deadline: h.now + 10, Session: 7, IsRetry: fields[0] == "again"}
		if len(fields) > 3 {
			x.Deadline = h.now + h.number(fields[3])
		}
		if len(fields) > 4 {
			x.Cost = h.number(fields[4])
		}
		h.router.Arrive(x)
	case "answer":
		id := int(h.number(fields[1]))
		then := h.results[id]
		require.NotNil(h.t, then, "%s: txn %d is not in flight", h.place, id)
		delete(h.results, id)
		outcome, ok := outcomeNames[fields[2]]
		require.True(h.t, ok, h.place)
		h.ended[id] = h.ended[id] || outcome == Committed || outcome == Answered
		f, as := fields[3:], 0
		if len(f) > 0 && strings.HasPrefix(f[0], "as=") {
			as = 1 + slices.Index(typeNames, f[0][len("as="):])
			require.Positive(h.t, as, h.place)
			f = f[1:]
		}
		then(Result{Outcome: outcome, Latency: h.now - h.sentAt[id], Ended: h.ended[id], ProvedType: as, Report: h.report(f)})
	case "doubt":
		h.router.Doubt(slices.Index(h.names, fields[1]), h.now+h.number(fields[2]))
	case "told": // the time, then the reports
		var reports []PeerReport
		for i := 2; i < len(fields); i += 2 {
			name, primary := strings.CutPrefix(fields[i], "primary:")
			name, load, _ := strings.Cut(name, "=")
			reports = append(reports, PeerReport{Node: slices.Index(h.names, name), Pos: h.now - h.number(fields[i+1]), Primary: primary, Load: len(load)})
		}
		h.router.ApplyPeerReports(0, h.now+h.number(fields[1]), len(reports) > 0, reports)
	case "look":
		h.router.ProbeMember(slices.Index(h.names, fields[1]), ForAll)
	case "cut":
		require.InDelta(h.t, h.number(fields[2]), h.allowed[int(h.number(fields[1]))], 0.01, h.place)
	case "wait":
		h.advance(h.number(fields[1]))
	case "stall":
		h.now += h.number(fields[1])
	case "expect":
		i := slices.IndexFunc(h.actions, func(s string) bool { return matches(s, fields[1:]) })
		require.GreaterOrEqual(h.t, i, 0, "%s: wanted %v in %v", h.place, fields[1:], h.actions)
		h.actions = h.actions[i+1:]
	case "never":
		i := slices.IndexFunc(h.actions, func(s string) bool { return matches(s, fields[1:]) })
		require.Less(h.t, i, 0, "%s: %v in %v", h.place, fields[1:], h.actions)
	case "most":
		count := 0
		for _, s := range h.actions {
			if matches(s, fields[2:]) {
				count++
			}
		}
		require.LessOrEqual(h.t, float64(count), h.number(fields[1]), "%s: %v", h.place, h.actions)
	case "held":
		for _, s := range fields[1:] {
			id := int(h.number(s))
			require.True(h.t, h.results[id] == nil && !h.ended[id], "%s: txn %d is not held; %v", h.place, id, h.actions)
		}
	default:
		require.Fail(h.t, "unknown line", "%s: %v", h.place, fields)
	}
}

// matches compares an action with a pattern word by word; the pattern may be shorter.
func matches(action string, pattern []string) bool {
	words := strings.Fields(action)
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
		h := &fakeHost{t: t, now: 1000, reports: map[string][]string{}, results: map[int]func(Result){},
			sentAt: map[int]float64{}, allowed: map[int]float64{}, ended: map[int]bool{}}
		for _, line := range scenario.MustRead(t, path) {
			h.place = line.Location
			h.runLine(line.Words)
		}
	})
}
