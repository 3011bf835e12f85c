package state

import "math"

// MarkInstancesDraining marks all present instances as draining, until each shows by a new life that it doesn't: the state was brought back from a
// dump, and a drain that was acknowledged since isn't in it. The highest callSeq has every beat count as late, so that only a new count of
// calls with a beat in it that says that the instance is warming up ends the drain.
func (t *Transaction) MarkInstancesDraining() {
	for _, instance := range PresentInstances(t) {
		instance.Draining = true
		instance.CallSeq = math.MaxUint64
		t.PutInstance(instance)
	}
}
