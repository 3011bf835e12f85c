package main

import (
	"runtime"
	"runtime/debug"

	"eiderway/system"
)

const (
	processors    = 1    // machines have one core; more threads of Go code would only take turns on it
	memoryShare   = 0.6  // of the machine's limit: the rest is for stacks, buffers of sockets and the garbage of a burst
	garbageTarget = 200  // percent: half as many collections as by default, while the memory is small
	bytesPerMb    = 1e6  // the smaller of the two readings of the limit's unit
	leastMemory   = 32e6 // bytes: less makes the collector run all the time
)

// applyLimits fits the Go runtime to the machine.
func applyLimits(limits system.Limits) {
	runtime.GOMAXPROCS(processors)
	debug.SetGCPercent(garbageTarget)
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(max(memoryShare*limits.MemoryMb*bytesPerMb, leastMemory)))
	}
}
