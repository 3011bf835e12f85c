package systemtest

import (
	"fmt"
	"math"
	"net/http"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

// numberInput is the input of an operation on a configuration number: an order, or a read that found the number in force.
type numberInput struct {
	number  int64
	content string
	isRead  bool
}

// numberModel is the sequential model of one configuration number: the first content accepted takes it forever. A status of 0
// is an order without a clear answer; it may have taken the number at any time since it was sent, or never.
func numberModel() porcupine.Model {
	return porcupine.Model{
		Partition: byNumber,
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			taken, asked, status := state.(string), input.(numberInput), output.(int)
			switch {
			case asked.isRead:
				return taken == asked.content, taken
			case taken == "" && status != http.StatusConflict:
				return true, asked.content
			case status == http.StatusOK:
				return taken == asked.content, taken
			case status == http.StatusConflict:
				return taken != "" && taken != asked.content, taken
			}
			return true, taken
		},
	}
}

func byNumber(history []porcupine.Operation) [][]porcupine.Operation {
	places := map[int64]int{}
	var parts [][]porcupine.Operation
	for _, operation := range history {
		number := operation.Input.(numberInput).number
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

// areLinearizable reports whether each number behaves as if a single process decided on it, one call at a time.
func areLinearizable(orders *workload.Orders) bool {
	var history []porcupine.Operation
	for _, order := range orders.Completed() {
		operation := porcupine.Operation{
			ClientId: len(history),
			Input:    numberInput{number: order.Number, content: order.Content},
			Call:     order.Sent.UnixNano(),
			Output:   order.Status,
			Return:   order.Answered.UnixNano(),
		}
		if order.Status == 0 {
			operation.Return = math.MaxInt64
		}
		history = append(history, operation)
	}
	for _, read := range orders.Fetched() {
		history = append(history, porcupine.Operation{
			ClientId: len(history),
			Input:    numberInput{number: read.Number, content: read.Content, isRead: true},
			Call:     read.Sent.UnixNano(),
			Output:   http.StatusOK,
			Return:   read.Answered.UnixNano(),
		})
	}
	return porcupine.CheckOperations(numberModel(), history)
}

// judgeFences checks that no two holders use the same fence.
func judgeFences(calls []testinstance.FailoverCall) []string {
	var broken []string
	holders := map[uint64]string{}
	for _, call := range calls {
		if holder, used := holders[call.Fence]; used && holder != call.Holder {
			broken = append(broken, fmt.Sprintf("DUTY: fence %d of %s and of %s", call.Fence, holder, call.Holder))
		}
		holders[call.Fence] = call.Holder
	}
	return broken
}

// The checks of orders and fences must report histories that break the rules.
func TestOrderChecksSeeFaults(t *testing.T) {
	is := is.New(t)
	order := func(call int64, content string, status int) porcupine.Operation {
		return porcupine.Operation{Input: numberInput{number: 1, content: content}, Output: status, Call: call, Return: call + 1}
	}
	read := func(call int64, content string) porcupine.Operation {
		return porcupine.Operation{Input: numberInput{number: 1, content: content, isRead: true}, Output: 200, Call: call, Return: call + 1}
	}
	open := porcupine.Operation{Input: numberInput{number: 1, content: "z"}, Output: 0, Call: 1, Return: math.MaxInt64}
	for name, one := range map[string]struct {
		history []porcupine.Operation
		lawful  bool
	}{
		"taken, refused, again":  {[]porcupine.Operation{order(1, "x", 200), order(3, "y", 409), order(5, "x", 200), read(7, "x")}, true},
		"two contents taken":     {[]porcupine.Operation{order(1, "x", 200), order(3, "y", 200)}, false},
		"refused though unused":  {[]porcupine.Operation{order(1, "x", 409), order(3, "x", 200)}, false},
		"refused though its own": {[]porcupine.Operation{order(1, "x", 200), order(3, "x", 409)}, false},
		"read before it is sent": {[]porcupine.Operation{read(1, "x"), order(3, "x", 200)}, false},
		"an open one took it":    {[]porcupine.Operation{open, order(3, "x", 409), read(5, "z")}, true},
		"an open one, too late":  {[]porcupine.Operation{open, order(3, "x", 200), read(5, "z")}, false},
	} {
		if porcupine.CheckOperations(numberModel(), one.history) != one.lawful {
			t.Errorf("%s: lawful is %t", name, !one.lawful)
		}
	}
	calls := []testinstance.FailoverCall{{Holder: "a", Fence: 1}, {Holder: "a", Fence: 2}, {Holder: "b", Fence: 3}}
	is.Equal(len(judgeFences(calls)), 0)
	is.Equal(len(judgeFences(append(calls, testinstance.FailoverCall{Holder: "c", Fence: 3}))), 1)
}
