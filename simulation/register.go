package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerHistory is the history of orders and fetches, each with the moments of its call and its end.
type registerHistory struct {
	operations []registerOperation
}

type registerOperation struct {
	client  int
	isOrder bool
	number  int64
	content string
	valid   bool
	called  time.Duration
	ended   time.Duration
	outcome registerOutcome
}

// registerOutcome says what the caller knows.
type registerOutcome int

const (
	outcomeOpen     registerOutcome = iota // no end was seen
	outcomeTaken                           // order: acknowledged
	outcomeConflict                        // order: refused because the number is taken by another content
	outcomeRead                            // fetch: number and content came; zero: none
	outcomeNothing                         // had no effect and told nothing
)

func (h *registerHistory) orderBegun(now time.Duration, one *order) int {
	h.operations = append(h.operations, registerOperation{
		client: len(h.operations), isOrder: true, number: one.number, content: one.content, valid: one.valid(), called: now,
	})
	return len(h.operations) - 1
}

func (h *registerHistory) orderEnded(attempt int, now time.Duration, result callResult) {
	one := &h.operations[attempt]
	one.ended = now
	switch {
	case result.outcome == callRefused:
		one.outcome = outcomeNothing
	case result.outcome != callAnswered, result.reply.Status >= 500, result.reply.Status < 200, result.reply.Status == 307:
		one.outcome = outcomeOpen
	case result.reply.Status/100 == 2:
		one.outcome = outcomeTaken
	case result.reply.Status == 409:
		one.outcome = outcomeConflict
	default:
		one.outcome = outcomeNothing
	}
}

func (h *registerHistory) fetchBegun(now time.Duration) int {
	h.operations = append(h.operations, registerOperation{client: len(h.operations), called: now})
	return len(h.operations) - 1
}

func (h *registerHistory) fetchEnded(attempt int, now time.Duration, told bool, number int64, content string) {
	one := &h.operations[attempt]
	one.ended = now
	one.outcome = outcomeNothing
	if told {
		one.outcome, one.number, one.content = outcomeRead, number, content
	}
}

// registerState is the model: which content each number was taken with. The highest number is in force. It is written
// as text, sorted by number, so that states can be compared.
type registerState string

func (s registerState) taken(number int64) (content string, found bool) {
	key := fmt.Sprintf("%012d=", number)
	at := strings.Index(string(s), key)
	if at < 0 {
		return "", false
	}
	rest := string(s)[at+len(key):]
	return rest[:strings.IndexByte(rest, ';')], true
}

func (s registerState) with(number int64, content string) registerState {
	items := strings.SplitAfter(string(s), ";")
	items = append(items[:len(items)-1], fmt.Sprintf("%012d=%s;", number, content))
	sort.Strings(items)
	return registerState(strings.Join(items, ""))
}

func (s registerState) newest() (number int64, content string) {
	items := strings.Split(strings.TrimSuffix(string(s), ";"), ";")
	last := items[len(items)-1]
	if last == "" {
		return 0, ""
	}
	text, content, _ := strings.Cut(last, "=")
	_, _ = fmt.Sscanf(text, "%d", &number)
	return number, content
}

func stepRegister(state registerState, one registerOperation) (bool, registerState) {
	if !one.isOrder {
		number, content := state.newest()
		return number == one.number && content == one.content, state
	}
	content, found := state.taken(one.number)
	switch one.outcome {
	case outcomeTaken:
		if found {
			return content == one.content, state
		}
		return true, state.with(one.number, one.content)
	case outcomeConflict:
		return found && content != one.content, state
	}
	if found {
		return true, state
	}
	return true, state.with(one.number, one.content)
}

var registerModel = porcupine.Model{
	Init: func() any { return registerState("") },
	Step: func(state, input, _ any) (bool, any) {
		fits, next := stepRegister(state.(registerState), input.(registerOperation))
		return fits, next
	},
	Equal: func(one, other any) bool { return one.(registerState) == other.(registerState) },
}

// linearizeTime bounds the search of one history.
const linearizeTime = 5 * time.Second

// judgeRegister looks whether the history can be put in an order in which each operation takes effect at one moment
// between its call and its end. Operations without an end may take effect at any time later, or never.
func (j *Judge) judgeRegister() {
	history := j.register.porcupine(j.world.now())
	if porcupine.CheckOperationsTimeout(registerModel, history, linearizeTime) == porcupine.Illegal {
		j.broken(ruleLinear, "the history of orders and fetches is not that of one register")
	}
}

// porcupine gives the operations that tell something. Of tries without an end only the first of each order can matter,
// and only if its effect was seen: by an acknowledgement, a refusal or a fetch of its number.
func (h *registerHistory) porcupine(end time.Duration) []porcupine.Operation {
	shown := map[int64]bool{}
	for _, one := range h.operations {
		if one.outcome == outcomeConflict || one.outcome == outcomeRead || one.outcome == outcomeTaken {
			shown[one.number] = true
		}
	}
	var operations []porcupine.Operation
	firstOpen := map[string]bool{}
	for _, one := range h.operations {
		if one.outcome == outcomeNothing || !one.isOrder && one.outcome != outcomeRead {
			continue
		}
		ended := one.ended
		if one.outcome == outcomeOpen {
			key := fmt.Sprint(one.number, " ", one.content)
			if !one.valid || !shown[one.number] || firstOpen[key] {
				continue
			}
			firstOpen[key] = true
			ended = end + time.Hour
		}
		operations = append(operations, porcupine.Operation{
			ClientId: one.client, Input: one, Call: int64(one.called), Return: int64(ended),
		})
	}
	return operations
}
