package session

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"eiderway/wire"
)

// A scenario is a text file with one session and its backend connections. Its lines:
//
//	backend NAME            the connection that the next statement runs on
//	> TEXT                  the client asks
//	run CLASS [first] TEXT  HandleQuery wants this run, and this is the text that is sent
//	step TEXT               a step that must be run before, in this order
//	answered ANSWER         how it ends: ROW and COMPLETE or ERROR, then "/ STATE POSITION"
//	stale ANSWER            the same, and the right to the leader didn't last
//	lost | timedout | notrun | intact
//	= ANSWER                what the client is told
//	fate keep|free|rollback|close
//	rollback                a local answer wants the transaction rolled back
//	rested                  the transaction is rolled back while nothing is asked
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { playScenario(t, path) })
	}
}

type player struct {
	*testing.T
	place    string
	session  *Session
	backends map[string]*Backend
	backend  *Backend
	decision Decision
	steps    []Step
	verdict  Resolution
	open     map[string]bool // what must still be named in the scenario
}

func playScenario(t *testing.T, path string) {
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	play := &player{T: t, session: New(), backends: map[string]*Backend{}, open: map[string]bool{}}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimRight(lines.Text(), "\n")
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		play.place = path + ":" + strconv.Itoa(number) + ": " + line
		word, fields, _ := strings.Cut(line, " ")
		play.line(word, fields)
	}
	play.allNamed()
}

func (p *player) line(word, fields string) {
	p.Helper()
	switch word {
	case "backend":
		p.pick(fields)
	case ">":
		p.ask(fields)
	case "run":
		p.named("run")
		p.checkRun(fields)
	case "step":
		p.checkStep(fields)
	case "answered":
		p.end(Outcome{Kind: Answered, Answer: p.answer(fields)})
	case "stale":
		p.end(Outcome{Kind: Answered, Answer: p.answer(fields), Stale: true})
	case "lost":
		p.end(Outcome{Kind: Lost})
	case "timedout":
		p.end(Outcome{Kind: TimedOut})
	case "notrun":
		p.end(Outcome{Kind: NotRun, Reason: "reason"})
	case "intact":
		p.end(Outcome{Kind: NotRun, Reason: "reason", Intact: true})
	case "=":
		p.named("answer")
		p.checkAnswer(fields)
	case "fate":
		p.named("fate")
		p.checkFate(fields)
	case "rollback":
		p.named("rollback")
		p.backend.EndTransaction(true)
	case "rested":
		p.allNamed()
		p.session.HandleRollback()
		p.backend.EndTransaction(true)
	default:
		p.Fatalf("%s: unknown word", p.place)
	}
}

func (p *player) named(what string) {
	p.Helper()
	if !p.open[what] {
		p.Fatalf("%s: there is no %s now", p.place, what)
	}
	delete(p.open, what)
}

func (p *player) allNamed() {
	p.Helper()
	for what := range p.open {
		p.Fatalf("%s: the %s before wasn't named", p.place, what)
	}
	if len(p.steps) > 0 {
		p.Fatalf("%s: the step %q before wasn't named", p.place, p.steps[0].Text)
	}
}

func (p *player) pick(name string) {
	p.backend = p.backends[name]
	if p.backend == nil {
		p.backend = NewBackend()
		p.backends[name] = p.backend
	}
}

func (p *player) ask(text string) {
	p.Helper()
	p.allNamed()
	p.decision = p.session.HandleQuery(text)
	if !p.decision.Local {
		p.open["run"] = true
		p.steps = p.session.SetupSteps(p.backend, p.decision.Statement)
		return
	}
	p.verdict = Resolution{Answer: p.decision.Answer}
	p.open["answer"] = true
	if p.decision.Rollback {
		p.open["rollback"] = true
	}
}

var classNames = map[Class]string{Read: "read", Write: "write", Begin: "begin", Commit: "commit", Abort: "abort"}

func (p *player) checkRun(want string) {
	p.Helper()
	got := classNames[p.decision.Statement.Class] + " "
	if p.decision.NeedsConnection {
		got += "first "
	}
	got += p.decision.Statement.BackendText()
	if got != want {
		p.Fatalf("%s: run %s", p.place, got)
	}
}

func (p *player) checkStep(want string) {
	p.Helper()
	if len(p.steps) == 0 || p.steps[0].Text != want {
		p.Fatalf("%s: steps %+v", p.place, p.steps)
	}
	p.backend.RecordStep(p.steps[0], p.session.HasOpenTransaction())
	p.steps = p.steps[1:]
}

// answer reads an answer: "ROW r; COMPLETE stamp / T 3.1" or "ERROR code text / E -".
func (p *player) answer(text string) wire.Answer {
	p.Helper()
	body, ready, found := strings.Cut(text, " / ")
	if !found {
		p.Fatalf("%s: no state", p.place)
	}
	message := strings.ReplaceAll(body, "; ", "\r\n") + "\r\nREADY " + ready + "\r\n"
	answer, err := wire.NewReader(strings.NewReader(message)).ReadAnswer()
	if err != nil {
		p.Fatalf("%s: %v", p.place, err)
	}
	return answer
}

func (p *player) end(outcome Outcome) {
	p.Helper()
	if len(p.steps) > 0 && outcome.Kind != NotRun {
		p.Fatalf("%s: the step %q wasn't run", p.place, p.steps[0].Text)
	}
	p.steps = nil
	p.verdict = p.session.HandleOutcome(p.decision.Statement, outcome)
	if p.verdict.Answer.State != p.session.State() {
		p.Fatalf("%s: the client is told %c and the session is in %c", p.place, p.verdict.Answer.State, p.session.State())
	}
	switch p.verdict.Action {
	case FreeBackend:
		p.backend.EndTransaction(p.verdict.RolledBack)
	case RollbackBackend:
		p.backend.EndTransaction(true)
	}
	p.open["answer"], p.open["fate"] = true, true
}

func (p *player) checkAnswer(want string) {
	p.Helper()
	got := string(wire.AppendAnswer(nil, p.verdict.Answer))
	got = strings.TrimSuffix(got, "\r\n")
	body, ready, _ := strings.Cut(got, "\r\nREADY ")
	got = strings.ReplaceAll(body, "\r\n", "; ") + " / " + ready
	if got != want {
		p.Fatalf("%s: the client is told %s", p.place, got)
	}
}

var fateNames = map[BackendAction]string{KeepBackend: "keep", FreeBackend: "free", RollbackBackend: "rollback", CloseBackend: "close"}

func (p *player) checkFate(want string) {
	p.Helper()
	if got := fateNames[p.verdict.Action]; got != want {
		p.Fatalf("%s: fate %s", p.place, got)
	}
}
