package state_test

import (
	"fmt"
	"strings"
	"testing"

	"eiderway/control/configuration"
	"eiderway/control/state"
	"eiderway/control/state/statetest"
)

// grownState returns a state with present and departed instances, three to a service.
func grownState(present, departed int) *statetest.Memory {
	memory := statetest.NewMemory()
	transaction := state.NewTransaction(memory)
	for index := range present {
		transaction.PutInstance(instance(fmt.Sprintf("here%04d", index), fmt.Sprintf("s%d", index/3)))
	}
	memory.Commit(transaction)
	for index := range departed {
		put(memory, left(fmt.Sprintf("gone%04d", index), fmt.Sprintf("s%d", index/3)))
	}
	return memory
}

func BenchmarkServices(b *testing.B) {
	for _, departed := range []int{0, 1910} {
		memory := grownState(90, departed)
		b.Run(fmt.Sprintf("departed=%d", departed), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				state.Services(memory)
			}
		})
	}
}

// manyRoutes returns the body of a configuration with many routes, as operators send it.
func manyRoutes(number int64, routes int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"configRevision":%d,"routeTable":[`, number)
	for index := range routes {
		if index > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name":"r%d","host":"db%d.example","pathPrefix":"/","routeClass":"bounded_stale","timeoutMs":%d,`+
			`"targetLatencyMs":%d,"priority":%d,"targetService":"s%d","maxAttempts":2,"maxStalenessMs":%d}`,
			index, index, 1000+index%7*100, 50+index%11*10, index%5, index*7919%97, 500+index%13*100)
	}
	text.WriteString(`],"serviceTable":[],"limits":{}}`)
	return text.String()
}

// BenchmarkPlaceOrder replaces a configuration of a thousand routes by one that differs in one number.
func BenchmarkPlaceOrder(b *testing.B) {
	memory := statetest.NewMemory()
	place(memory, orderOf(1, manyRoutes(1, 1000)))
	next := configuration.Document{Number: 2, Digest: "2", Body: []byte(manyRoutes(2, 1000))}
	written := 0
	b.ReportAllocs()
	for b.Loop() {
		transaction := state.NewTransaction(memory)
		transaction.PlaceOrder(next)
		written = mutationBytes(transaction)
	}
	b.ReportMetric(float64(len(next.Body)), "body-bytes")
	b.ReportMetric(float64(written), "change-bytes")
	b.ReportMetric(float64(entryBytes(memory, "configuration/body/")), "stored-bytes")
}

func BenchmarkConfiguration(b *testing.B) {
	memory := statetest.NewMemory()
	place(memory, orderOf(1, manyRoutes(1, 1000)))
	b.ReportAllocs()
	for b.Loop() {
		state.Configuration(memory)
	}
}

func mutationBytes(transaction *state.Transaction) int {
	total := 0
	for _, mutation := range transaction.Mutations() {
		total += len(mutation.Value)
	}
	return total
}

func entryBytes(memory *statetest.Memory, prefix string) int {
	total := 0
	for _, entry := range memory.Entries(prefix) {
		total += len(entry.Value)
	}
	return total
}
