package state

import (
	"cmp"
	"slices"

	"eiderway/control/guard"
	"eiderway/control/invariant"
	"eiderway/control/replication"
)

// MaxDepartures is the number of departed instances that are kept, the last ones to leave. Calls of theirs that were delayed by
// a minute or two may still arrive. At about 300 bytes each, the records take less than a megabyte.
const MaxDepartures = 2048

// instanceRecord is an instance as it is stored. Departed instances are stored under a prefix of their own, so that reading the
// present ones costs the same however many have departed.
type instanceRecord struct {
	Instance
	Departure uint64 // sequence number of the departure; 0 while the instance is present
}

// key returns the key of the entry that holds the record.
func (r instanceRecord) key() string {
	if r.Left {
		return departedKey(r.ID)
	}
	return instanceKey(r.ID)
}

// departureRecord maps the sequence number of a departure to the instance, so that the oldest departures are found.
type departureRecord struct {
	Departure  uint64
	InstanceID string
}

// PutInstance replaces the record of an instance. It refuses a record that would revoke a drain or a leave that may have been
// acknowledged, and notes the violation.
func (t *Transaction) PutInstance(instance Instance) {
	before, known := findRecord(t, instance.ID)
	if known && before.revokesEnd(instance) && !t.disabled.Has(guard.EndIsFinal) {
		t.violations = append(t.violations, invariant.EndIsFinal+": "+instance.ID)
		return
	}
	t.updateAddressIndex(instance.ID, before, instanceRecord{Instance: instance})
	if instance.Left {
		t.putDeparted(instance, before.Departure)
		return
	}
	t.dropDeparture(before)
	t.drop(departedKey(instance.ID))
	t.set(instanceKey(instance.ID), encode(instanceRecord{Instance: instance}))
}

// putDeparted records a departed instance. One that had departed before keeps the number of its departure.
func (t *Transaction) putDeparted(instance Instance, departure uint64) {
	if departure == 0 {
		departure = t.recordDeparture(instance.ID)
	}
	t.drop(instanceKey(instance.ID))
	t.set(departedKey(instance.ID), encode(instanceRecord{Instance: instance, Departure: departure}))
}

// recordDeparture assigns a number to a departure, and evicts the oldest ones beyond MaxDepartures.
func (t *Transaction) recordDeparture(id string) uint64 {
	earlier := t.Entries(departurePrefix)
	departure := departureRecord{Departure: nextDeparture(earlier), InstanceID: id}
	for len(earlier) >= MaxDepartures {
		t.evictDeparture(earlier[0])
		earlier = earlier[1:]
	}
	t.set(departureKey(departure.Departure), encode(departure))
	return departure.Departure
}

// nextDeparture returns the number that follows those of the entries.
func nextDeparture(departures []replication.Mutation) uint64 {
	if len(departures) == 0 {
		return 1
	}
	var last departureRecord
	if decode(departures[len(departures)-1].Value, &last) != nil {
		return 1
	}
	return last.Departure + 1
}

// evictDeparture drops a departure together with the record of its instance.
func (t *Transaction) evictDeparture(entry replication.Mutation) {
	var departure departureRecord
	if decode(entry.Value, &departure) == nil {
		t.drop(departedKey(departure.InstanceID))
	}
	t.drop(entry.Key)
}

// dropDeparture drops the departure of an instance and keeps its record.
func (t *Transaction) dropDeparture(record instanceRecord) {
	if record.Departure != 0 {
		t.drop(departureKey(record.Departure))
	}
}

// RemoveInstance drops the record of an instance.
func (t *Transaction) RemoveInstance(id string) {
	record, found := findRecord(t, id)
	if !found {
		return
	}
	t.dropDeparture(record)
	t.updateAddressIndex(id, record, instanceRecord{})
	t.drop(record.key())
}

// Instances returns all recorded instances, including the departed ones, sorted by id.
func Instances(reader Reader) []Instance {
	instances := append(PresentInstances(reader), readInstances(reader, departedPrefix)...)
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// PresentInstances returns the instances that have not departed, sorted by id.
func PresentInstances(reader Reader) []Instance { return readInstances(reader, instancePrefix) }

func readInstances(reader Reader, prefix string) []Instance {
	records := readAll[instanceRecord](reader, prefix)
	instances := make([]Instance, 0, len(records))
	for _, record := range records {
		instances = append(instances, record.Instance)
	}
	return instances
}

// InstanceByID returns a present or departed instance.
func InstanceByID(reader Reader, id string) (Instance, bool) {
	record, found := findRecord(reader, id)
	return record.Instance, found
}

func findRecord(reader Reader, id string) (instanceRecord, bool) {
	if record, found := read[instanceRecord](reader, instanceKey(id)); found {
		return record, true
	}
	return read[instanceRecord](reader, departedKey(id))
}

// HasInstance reports whether a present or departed instance is recorded, without decoding the record.
func HasInstance(reader Reader, id string) bool {
	_, present := reader.Entry(instanceKey(id))
	_, departed := reader.Entry(departedKey(id))
	return present || departed
}

// InstanceChanged reports whether the transaction changes the record of an instance.
func (t *Transaction) InstanceChanged(id string) bool {
	_, present := t.changed[instanceKey(id)]
	_, departed := t.changed[departedKey(id)]
	return present || departed
}
