package state

import "math"

// UnknownCallSeq, in the record of an instance, is higher than the number of any call.
const UnknownCallSeq = math.MaxUint64

// MarkInstancesDraining marks all present instances as draining until each of them starts a new life. It is applied to a state
// restored from a dump, which lacks any drain that was acknowledged after the dump was made. With the highest CallSeq every
// heartbeat counts as late, so that the drain ends only when an instance counts its calls anew and reports that it is warming up.
func (t *Transaction) MarkInstancesDraining() {
	for _, instance := range PresentInstances(t) {
		instance.Draining = true
		instance.CallSeq = UnknownCallSeq
		t.PutInstance(instance)
	}
}
