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

// TestScenarios plays the files in testdata. Each has one session and its backend connections, and these lines:
//
//	backend NAME            the next statement runs on this connection
//	> TEXT                  the client sends a statement
//	run CLASS [first] TEXT  HandleQuery wants a statement run; TEXT is what is sent
//	step TEXT               a setup step that must run before the statement, in this order
//	answered ANSWER         the instance's answer: ROW and COMPLETE or ERROR, then "/ STATE POSITION"
//	stale ANSWER            the same, but the right to use the leader ended before the answer
//	lost | timedout | notrun | intact   other outcomes
//	= ANSWER                the answer to the client
//	fate keep|free|rollback|close   what to do with the backend connection
//	rollback                a local answer wants the transaction rolled back
//	rested                  the transaction is rolled back between statements
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { playScenario(t, path) })
	}
}

type scenarioPlayer struct {
	*testing.T
	location   string
	session    *Session
	backends   map[string]*Backend
	backend    *Backend
	decision   Decision
	steps      []Step
	resolution Resolution
	pending    map[string]bool // results that the scenario must still check
}

func playScenario(t *testing.T, path string) {
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	player := &scenarioPlayer{T: t, session: New(), backends: map[string]*Backend{}, pending: map[string]bool{}}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimRight(lines.Text(), "\n")
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		player.location = path + ":" + strconv.Itoa(number) + ": " + line
		word, fields, _ := strings.Cut(line, " ")
		player.runLine(word, fields)
	}
	player.checkNothingPending()
}

func (p *scenarioPlayer) runLine(word, fields string) {
	p.Helper()
	switch word {
	case "backend":
		p.useBackend(fields)
	case ">":
		p.query(fields)
	case "run":
		p.expectPending("run")
		p.checkRun(fields)
	case "step":
		p.checkStep(fields)
	case "answered":
		p.finish(Outcome{Kind: Answered, Answer: p.answer(fields)})
	case "stale":
		p.finish(Outcome{Kind: Answered, Answer: p.answer(fields), Stale: true})
	case "lost":
		p.finish(Outcome{Kind: Lost})
	case "timedout":
		p.finish(Outcome{Kind: TimedOut})
	case "notrun":
		p.finish(Outcome{Kind: NotRun, Reason: "reason"})
	case "intact":
		p.finish(Outcome{Kind: NotRun, Reason: "reason", Intact: true})
	case "=":
		p.expectPending("answer")
		p.checkAnswer(fields)
	case "fate":
		p.expectPending("fate")
		p.checkBackendAction(fields)
	case "rollback":
		p.expectPending("rollback")
		p.backend.EndTransaction(true)
	case "rested":
		p.checkNothingPending()
		p.session.HandleRollback()
		p.backend.EndTransaction(true)
	default:
		p.Fatalf("%s: unknown word", p.location)
	}
}

func (p *scenarioPlayer) expectPending(what string) {
	p.Helper()
	if !p.pending[what] {
		p.Fatalf("%s: unexpected check of %s", p.location, what)
	}
	delete(p.pending, what)
}

func (p *scenarioPlayer) checkNothingPending() {
	p.Helper()
	for what := range p.pending {
		p.Fatalf("%s: the scenario did not check the previous %s", p.location, what)
	}
	if len(p.steps) > 0 {
		p.Fatalf("%s: the scenario did not check the previous step %q", p.location, p.steps[0].Text)
	}
}

func (p *scenarioPlayer) useBackend(name string) {
	p.backend = p.backends[name]
	if p.backend == nil {
		p.backend = NewBackend()
		p.backends[name] = p.backend
	}
}

func (p *scenarioPlayer) query(text string) {
	p.Helper()
	p.checkNothingPending()
	p.decision = p.session.HandleQuery(text)
	if !p.decision.Local {
		p.pending["run"] = true
		p.steps = p.session.SetupSteps(p.backend, p.decision.Statement)
		return
	}
	p.resolution = Resolution{Answer: p.decision.Answer}
	p.pending["answer"] = true
	if p.decision.Rollback {
		p.pending["rollback"] = true
	}
}

var classNames = map[Class]string{Read: "read", Write: "write", Begin: "begin", Commit: "commit", Abort: "abort"}

func (p *scenarioPlayer) checkRun(want string) {
	p.Helper()
	got := classNames[p.decision.Statement.Class] + " "
	if p.decision.NeedsConnection {
		got += "first "
	}
	got += p.decision.Statement.BackendText()
	if got != want {
		p.Fatalf("%s: got run %s", p.location, got)
	}
}

func (p *scenarioPlayer) checkStep(want string) {
	p.Helper()
	if len(p.steps) == 0 || p.steps[0].Text != want {
		p.Fatalf("%s: got steps %+v", p.location, p.steps)
	}
	p.backend.RecordStep(p.steps[0], p.session.HasOpenTransaction())
	p.steps = p.steps[1:]
}

// answer parses an answer: "ROW r; COMPLETE stamp / T 3.1" or "ERROR code text / E -".
func (p *scenarioPlayer) answer(text string) wire.Answer {
	p.Helper()
	body, ready, found := strings.Cut(text, " / ")
	if !found {
		p.Fatalf("%s: the answer has no state", p.location)
	}
	message := strings.ReplaceAll(body, "; ", "\r\n") + "\r\nREADY " + ready + "\r\n"
	answer, err := wire.NewReader(strings.NewReader(message)).ReadAnswer()
	if err != nil {
		p.Fatalf("%s: %v", p.location, err)
	}
	return answer
}

func (p *scenarioPlayer) finish(outcome Outcome) {
	p.Helper()
	if len(p.steps) > 0 && outcome.Kind != NotRun {
		p.Fatalf("%s: the step %q was not run", p.location, p.steps[0].Text)
	}
	p.steps = nil
	p.resolution = p.session.HandleOutcome(p.decision.Statement, outcome)
	if p.resolution.Answer.State != p.session.State() {
		p.Fatalf("%s: the client is told state %c, but the session is in %c", p.location, p.resolution.Answer.State, p.session.State())
	}
	switch p.resolution.Action {
	case FreeBackend:
		p.backend.EndTransaction(p.resolution.RolledBack)
	case RollbackBackend:
		p.backend.EndTransaction(true)
	}
	p.pending["answer"], p.pending["fate"] = true, true
}

func (p *scenarioPlayer) checkAnswer(want string) {
	p.Helper()
	got := string(wire.AppendAnswer(nil, p.resolution.Answer))
	got = strings.TrimSuffix(got, "\r\n")
	body, ready, _ := strings.Cut(got, "\r\nREADY ")
	got = strings.ReplaceAll(body, "\r\n", "; ") + " / " + ready
	if got != want {
		p.Fatalf("%s: got answer %s", p.location, got)
	}
}

var backendActionNames = map[BackendAction]string{KeepBackend: "keep", FreeBackend: "free", RollbackBackend: "rollback", CloseBackend: "close"}

func (p *scenarioPlayer) checkBackendAction(want string) {
	p.Helper()
	if got := backendActionNames[p.resolution.Action]; got != want {
		p.Fatalf("%s: got fate %s", p.location, got)
	}
}
