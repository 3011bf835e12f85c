package controller

import (
	"math"
	"net/http"
	"testing"

	"github.com/anishathalye/porcupine"

	"eiderway/control/configuration"
)

// numberOperation is an order, or a fetch that found the number in force.
type numberOperation struct {
	number  int64
	content string
	fetched bool
}

// numberModel is one configuration number: the first content takes it, for ever. A status of 0 stands for an order
// whose outcome its sender doesn't know; it may take effect at any time from its sending on, or never.
func numberModel() porcupine.Model {
	return porcupine.Model{
		Partition: byNumber,
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			taken, asked, status := state.(string), input.(numberOperation), output.(int)
			switch {
			case asked.fetched, taken != "":
				isSame := taken == asked.content
				return status == 0 || isSame == (status == http.StatusOK), taken
			default:
				return status != http.StatusConflict, asked.content
			}
		},
	}
}

func byNumber(history []porcupine.Operation) [][]porcupine.Operation {
	places := map[int64]int{}
	var parts [][]porcupine.Operation
	for _, operation := range history {
		number := operation.Input.(numberOperation).number
		place, found := places[number]
		if !found {
			place = len(parts)
			places[number] = place
			parts = append(parts, nil)
		}
		parts[place] = append(parts[place], operation)
	}
	return parts
}

// operations are all orders that were placed and all fetches that were answered.
func (w *world) operations() []porcupine.Operation {
	var history []porcupine.Operation
	for number := range w.lastCall + 1 {
		if made := w.calls[number]; made != nil {
			if operation, counts := made.operation(); counts {
				operation.ClientId = int(number)
				history = append(history, operation)
			}
		}
	}
	return history
}

func (c *call) operation() (porcupine.Operation, bool) {
	operation := porcupine.Operation{Call: int64(c.sent), Return: math.MaxInt64, Output: 0}
	if c.reply != nil && (c.reply.Status == http.StatusOK || c.reply.Status == http.StatusConflict) {
		operation.Return, operation.Output = int64(c.answered), c.reply.Status
	}
	if c.number != 0 {
		operation.Input = numberOperation{number: c.number, content: c.content}
		return operation, c.reply == nil || c.reply.Status != http.StatusTemporaryRedirect
	}
	if !c.fetch || operation.Output != http.StatusOK {
		return operation, false
	}
	order, err := configuration.Parse(c.reply.Body)
	if err != nil {
		return operation, false
	}
	operation.Input = numberOperation{number: order.Number, content: order.Contents.Routes[0].Host, fetched: true}
	return operation, true
}

// TestHistoriesAreLinearizable checks that each number behaves as if it were decided on at one place, one call at a time.
func TestHistoriesAreLinearizable(t *testing.T) {
	const histories = 15
	for seed := range int64(histories) {
		w, broken := playSearch(1000+seed, disabledGuards{})
		if broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
		if !porcupine.CheckOperations(numberModel(), w.operations()) {
			t.Fatalf("seed %d: not linearizable", seed)
		}
	}
}

// The model itself must refuse what may not happen.
func TestNumberModelRefuses(t *testing.T) {
	order := func(at int64, content string, status int) porcupine.Operation {
		return porcupine.Operation{
			Input: numberOperation{number: 1, content: content}, Output: status, Call: at, Return: at + 1,
		}
	}
	fetch := func(at int64, content string) porcupine.Operation {
		return porcupine.Operation{
			Input: numberOperation{number: 1, content: content, fetched: true}, Output: http.StatusOK, Call: at, Return: at + 1,
		}
	}
	unknown := porcupine.Operation{Input: numberOperation{number: 1, content: "y"}, Output: 0, Call: 1, Return: math.MaxInt64}
	for name, one := range map[string]struct {
		history []porcupine.Operation
		lawful  bool
	}{
		"again":               {[]porcupine.Operation{order(1, "x", 200), order(3, "y", 409), order(5, "x", 200), fetch(7, "x")}, true},
		"two contents":        {[]porcupine.Operation{order(1, "x", 200), order(3, "y", 200)}, false},
		"refused, not taken":  {[]porcupine.Operation{order(1, "x", 409)}, false},
		"refused again":       {[]porcupine.Operation{order(1, "x", 200), order(3, "x", 409)}, false},
		"fetched, not placed": {[]porcupine.Operation{fetch(1, "x"), order(3, "x", 200)}, false},
		"unknown took it":     {[]porcupine.Operation{unknown, order(3, "x", 409), fetch(5, "y")}, true},
		"unknown took none":   {[]porcupine.Operation{unknown, order(3, "x", 200), fetch(5, "x")}, true},
		"unknown too late":    {[]porcupine.Operation{unknown, order(3, "x", 200), fetch(5, "y")}, false},
	} {
		if porcupine.CheckOperations(numberModel(), one.history) != one.lawful {
			t.Errorf("%s: lawful is %t", name, !one.lawful)
		}
	}
}
