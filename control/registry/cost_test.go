package registry_test

import (
	"fmt"
	"testing"
	"time"

	"eiderway/control/registry"
	"eiderway/control/state"
	"eiderway/control/state/statetest"
)

// BenchmarkNewInstances registers a fleet of 1,074 instances that the controller doesn't know yet, each in its own transaction.
func BenchmarkNewInstances(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		memory := statetest.NewMemory()
		instances := registry.New(0, time.Minute)
		for index := range 1074 {
			transaction := state.NewTransaction(memory)
			instances.Heartbeat(0, transaction, registry.Heartbeat{
				InstanceID:    fmt.Sprintf("i%04d", index),
				TargetService: fmt.Sprintf("s%d", index/3),
				Address:       fmt.Sprintf("10.0.%d.%d:5432", index/250, index%250),
				OperState:     registry.Ready,
				CallSeq:       1,
			})
			memory.Commit(transaction)
		}
	}
}
