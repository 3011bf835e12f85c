package controller

import (
	"math"
	"net/http"
	"testing"

	"github.com/anishathalye/porcupine"

	"eiderway/control/configuration"
)

// numberOperation is a POST /config/replace of a configuration number, or a fetch that returned it.
type numberOperation struct {
	number  int64
	content string
	isFetch bool
}

// numberModel models one configuration number: the first content accepted under it keeps it. A status of 0 stands for a
// replace whose outcome its sender doesn't know. It may take effect at any time after it was sent, or never.
func numberModel() porcupine.Model {
	return porcupine.Model{
		Partition: byNumber,
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			content, operation, status := state.(string), input.(numberOperation), output.(int)
			switch {
			case operation.isFetch, content != "":
				isSame := content == operation.content
				return status == 0 || isSame == (status == http.StatusOK), content
			default:
				return status != http.StatusConflict, operation.content
			}
		},
	}
}

func byNumber(history []porcupine.Operation) [][]porcupine.Operation {
	partIndex := map[int64]int{}
	var parts [][]porcupine.Operation
	for _, operation := range history {
		number := operation.Input.(numberOperation).number
		index, found := partIndex[number]
		if !found {
			index = len(parts)
			partIndex[number] = index
			parts = append(parts, nil)
		}
		parts[index] = append(parts[index], operation)
	}
	return parts
}

// operations returns all replaces that may have taken effect or were refused, and all fetches that returned a configuration.
func (d *deployment) operations() []porcupine.Operation {
	var history []porcupine.Operation
	for number := range d.lastCall + 1 {
		if call := d.calls[number]; call != nil {
			if operation, isRelevant := call.operation(); isRelevant {
				operation.ClientId = int(number)
				history = append(history, operation)
			}
		}
	}
	return history
}

// operation returns the call as an operation of the model, and whether it is one.
func (c *testCall) operation() (porcupine.Operation, bool) {
	operation := porcupine.Operation{Call: int64(c.sentAt), Return: math.MaxInt64, Output: 0}
	if c.reply != nil && (c.reply.Status == http.StatusOK || c.reply.Status == http.StatusConflict) {
		operation.Return, operation.Output = int64(c.answeredAt), c.reply.Status
	}
	if c.number != 0 {
		operation.Input = numberOperation{number: c.number, content: c.content}
		return operation, c.reply == nil || c.reply.Status != http.StatusTemporaryRedirect
	}
	if !c.isFetch || operation.Output != http.StatusOK {
		return operation, false
	}
	order, err := configuration.Parse(c.reply.Body)
	if err != nil {
		return operation, false
	}
	operation.Input = numberOperation{number: order.Number, content: order.Contents.Routes[0].Host, isFetch: true}
	return operation, true
}

// TestHistoriesAreLinearizable checks that each number behaves as if a single process decided on it, one call at a time.
func TestHistoriesAreLinearizable(t *testing.T) {
	const histories = 15
	for seed := range int64(histories) {
		d, violation := playRandomFaults(1000+seed, disabledGuards{})
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		if !porcupine.CheckOperations(numberModel(), d.operations()) {
			t.Fatalf("seed %d: not linearizable", seed)
		}
	}
}

// TestNumberModelRejectsInvalidHistories shows that TestHistoriesAreLinearizable can fail.
func TestNumberModelRejectsInvalidHistories(t *testing.T) {
	replace := func(at int64, content string, status int) porcupine.Operation {
		return porcupine.Operation{
			Input: numberOperation{number: 1, content: content}, Output: status, Call: at, Return: at + 1,
		}
	}
	fetch := func(at int64, content string) porcupine.Operation {
		return porcupine.Operation{
			Input: numberOperation{number: 1, content: content, isFetch: true}, Output: http.StatusOK, Call: at, Return: at + 1,
		}
	}
	unknown := porcupine.Operation{Input: numberOperation{number: 1, content: "y"}, Output: 0, Call: 1, Return: math.MaxInt64}
	for name, test := range map[string]struct {
		history []porcupine.Operation
		isValid bool
	}{
		"again":              {[]porcupine.Operation{replace(1, "x", 200), replace(3, "y", 409), replace(5, "x", 200), fetch(7, "x")}, true},
		"two contents":       {[]porcupine.Operation{replace(1, "x", 200), replace(3, "y", 200)}, false},
		"refused, not taken": {[]porcupine.Operation{replace(1, "x", 409)}, false},
		"refused again":      {[]porcupine.Operation{replace(1, "x", 200), replace(3, "x", 409)}, false},
		"fetched, not sent":  {[]porcupine.Operation{fetch(1, "x"), replace(3, "x", 200)}, false},
		"unknown took it":    {[]porcupine.Operation{unknown, replace(3, "x", 409), fetch(5, "y")}, true},
		"unknown took none":  {[]porcupine.Operation{unknown, replace(3, "x", 200), fetch(5, "x")}, true},
		"unknown too late":   {[]porcupine.Operation{unknown, replace(3, "x", 200), fetch(5, "y")}, false},
	} {
		if porcupine.CheckOperations(numberModel(), test.history) != test.isValid {
			t.Errorf("%s: valid is %t", name, !test.isValid)
		}
	}
}
