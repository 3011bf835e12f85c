package main

import (
	"runtime"
	"runtime/debug"

	"eiderway/system"
)

const (
	maxProcs       = 1    // machines have one core; more threads of Go code would only take turns on it
	memoryShare    = 0.6  // of the machine's limit; the rest is for stacks, socket buffers and the garbage of a burst
	gcPercent      = 200  // half as many collections as with the default of 100, while memory use is far from the limit
	bytesPerMb     = 1e6  // a megabyte may be 1e6 or 2^20 bytes; the smaller one is the safe reading
	minMemoryLimit = 32e6 // bytes; with less the collector would run all the time
)

// applyLimits configures the Go runtime for the machine's processors and memory.
func applyLimits(limits system.Limits) {
	runtime.GOMAXPROCS(maxProcs)
	debug.SetGCPercent(gcPercent)
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(max(memoryShare*limits.MemoryMb*bytesPerMb, minMemoryLimit)))
	}
}
