package workload

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/failover"
	"eiderway/testinstance"
)

// noon is the start of the history that the tests check.
var noon = time.Unix(1000, 0)

func at(second int) time.Time { return noon.Add(time.Duration(second) * time.Second) }

func entry(term, number uint64, id, data string) testinstance.Entry {
	return testinstance.Entry{
		Position: failover.Position{Term: term, Number: number},
		ID:       id,
		Writes:   []testinstance.Write{{Key: "t", Data: data}},
	}
}

// lawful returns a history that breaks no rule: a write in term 1, a promotion, a write in term 2, a read and a refused write.
func lawful() Evidence {
	first, second := entry(1, 1, "s1", "x"), entry(2, 2, "s2", "y")
	early := testinstance.Log{first}
	final := testinstance.Log{first, second}
	return Evidence{
		Statements: []Statement{
			{ID: "s1", Text: "PUT t x", Began: at(1), Answered: at(2), Outcome: Done, Stamp: "a", Writes: first.Writes},
			{ID: "s2", Text: "EXECUTE w t y", Began: at(4), Answered: at(5), Outcome: Done, Stamp: "b", Writes: second.Writes},
			{ID: "s3", Text: "FETCH t", Began: at(6), Answered: at(7), Outcome: Done, Stamp: "c", Rows: []string{"y"}},
			{ID: "s4", Text: "PUT t z", Began: at(6), Answered: at(7), Outcome: NoEffect, Code: "BUSY", Writes: entry(0, 0, "", "z").Writes},
		},
		Journal: testinstance.Journal{
			Promotions: []testinstance.Promotion{{Instance: "one", Term: 1, At: at(0)}, {Instance: "two", Term: 2, At: at(3), Log: early}},
			Executions: []testinstance.Execution{
				{ID: "s1", Text: "PUT t x", Instance: "one", Term: 1, Stamp: "a", Log: early, Wrote: true, At: at(1)},
				{ID: "s2", Text: "EXECUTE p7 t y", Instance: "two", Term: 2, Stamp: "b", Log: final, Wrote: true, At: at(4)},
				{ID: "s3", Text: "FETCH t", Instance: "two", Term: 2, Stamp: "c", Rows: []string{"y"}, Log: final, At: at(6)},
			},
		},
		Final:     final,
		DrainTime: 4 * time.Second,
	}
}

func TestJudgeSeesEachFault(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Judge(lawful())), 0)
	for name, one := range map[string]struct {
		rule  string
		spoil func(*Evidence)
	}{
		"a statement at one that has gone": {"DRAIN", func(e *Evidence) {
			e.Journal.Departures = []testinstance.Departure{{Instance: "two", At: at(1)}}
			e.Journal.Executions[2].First = true
		}},
		"an acknowledged write is gone":  {"LOST", func(e *Evidence) { e.Final = e.Final[:1] }},
		"a promote without it":           {"LOST", func(e *Evidence) { e.Journal.Promotions[1].Log = nil }},
		"a write is kept twice":          {"TWICE", func(e *Evidence) { e.Final = append(e.Final[:2:2], entry(2, 3, "s2", "y")) }},
		"a refused write is kept":        {"REFUSED", func(e *Evidence) { e.Final = append(e.Final[:2:2], entry(2, 3, "s4", "z")) }},
		"other data are kept":            {"UNASKED", func(e *Evidence) { e.Final = testinstance.Log{e.Final[0], entry(2, 2, "s2", "v")} }},
		"nobody asked for a commit":      {"UNASKED", func(e *Evidence) { e.Final = append(e.Final[:2:2], entry(2, 3, "s9", "v")) }},
		"a changed text is run":          {"UNASKED", func(e *Evidence) { e.Journal.Executions[1].Text = "EXECUTE p7 t z" }},
		"a success without a stamp":      {"MIXED", func(e *Evidence) { e.Statements[2].Stamp = "-" }},
		"a success with another's stamp": {"MIXED", func(e *Evidence) { e.Statements[2].Stamp = "b" }},
		"other rows":                     {"MIXED", func(e *Evidence) { e.Statements[2].Rows = []string{"x"} }},
		"an old read":                    {"STALE", func(e *Evidence) { e.Journal.Executions[2].Log = e.Final[:1] }},
		"an old primary's write":         {"ONE", func(e *Evidence) { e.Journal.Executions[0].At = at(4) }},
	} {
		evidence := lawful()
		one.spoil(&evidence)
		broken := Judge(evidence)
		if len(broken) == 0 || !strings.HasPrefix(strings.Join(broken, "\n")+"\n", one.rule+":") && !strings.Contains(strings.Join(broken, "\n"), "\n"+one.rule+":") {
			t.Errorf("%s: %q", name, broken)
		}
	}
}

func TestOrdersJudgeSeesEachFault(t *testing.T) {
	is := is.New(t)
	orders := &Orders{orders: []Order{{Number: 3, Content: "x", Status: 200}, {Number: 4, Content: "y", Status: 409}, {Number: 5, Content: "z"}}}
	is.Equal(len(orders.Judge(Fetched{Number: 3, Content: "x"})), 0)
	is.Equal(len(orders.Judge(Fetched{Number: 5, Content: "z"})), 0) // no clear answer: it may be in force
	is.Equal(len(orders.Judge(Fetched{Number: 2, Content: "x"})), 2)
	is.Equal(len(orders.Judge(Fetched{Number: 3, Content: "y"})), 1)

	orders.orders[0].Answered = at(1)
	orders.fetched = []Fetched{{Number: 2, Content: "w", Sent: at(2)}}
	is.Equal(len(orders.Judge(Fetched{Number: 3, Content: "x"})), 1) // read earlier, but after the acknowledgement
}
