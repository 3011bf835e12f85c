package state

import (
	"cmp"
	"slices"

	"eiderway/control/guard"
	"eiderway/control/invariant"
	"eiderway/control/replication"
)

// MaxDepartures is how many instances that left are kept, the last ones to leave. Calls that were held up for a minute
// or two may still come from those; with about 300 bytes each they take under a megabyte.
const MaxDepartures = 2048

// instanceRecord is an instance as it is stored. Those that left stand apart, so that what is asked of the present ones
// costs the same however many there were before.
type instanceRecord struct {
	Instance
	Departure uint64 // numbers the departures of instances; 0 while it is here
}

// key of the entry that holds the record.
func (r instanceRecord) key() string {
	if r.Left {
		return departedKey(r.ID)
	}
	return instanceKey(r.ID)
}

// departureRecord leads from the number of a departure to the instance, so that the oldest are found.
type departureRecord struct {
	Departure  uint64
	InstanceID string
}

// PutInstance records an instance, in place of what was known of it. A record that would take back an end that may have been
// acknowledged is not taken.
func (t *Transaction) PutInstance(instance Instance) {
	before, known := recordOf(t, instance.ID)
	if known && before.takesBackEnd(instance) && !t.lacking.Has(guard.EndIsFinal) {
		t.broken = append(t.broken, invariant.EndIsFinal+": "+instance.ID)
		return
	}
	t.moveAddress(instance.ID, before, instanceRecord{Instance: instance})
	if instance.Left {
		t.putDeparted(instance, before.Departure)
		return
	}
	t.dropDeparture(before)
	t.drop(departedKey(instance.ID))
	t.set(instanceKey(instance.ID), encode(instanceRecord{Instance: instance}))
}

// putDeparted records an instance that left, under the number of its departure if it had left before.
func (t *Transaction) putDeparted(instance Instance, departure uint64) {
	if departure == 0 {
		departure = t.recordDeparture(instance.ID)
	}
	t.drop(instanceKey(instance.ID))
	t.set(departedKey(instance.ID), encode(instanceRecord{Instance: instance, Departure: departure}))
}

// recordDeparture numbers a departure, and forgets the oldest ones beyond MaxDepartures.
func (t *Transaction) recordDeparture(id string) uint64 {
	earlier := t.Entries(departurePrefix)
	departure := departureRecord{Departure: departureAfter(earlier), InstanceID: id}
	for len(earlier) >= MaxDepartures {
		t.forgetDeparture(earlier[0])
		earlier = earlier[1:]
	}
	t.set(departureKey(departure.Departure), encode(departure))
	return departure.Departure
}

// departureAfter returns the number that follows those of the entries.
func departureAfter(departures []replication.Mutation) uint64 {
	if len(departures) == 0 {
		return 1
	}
	var last departureRecord
	if decode(departures[len(departures)-1].Value, &last) != nil {
		return 1
	}
	return last.Departure + 1
}

func (t *Transaction) forgetDeparture(entry replication.Mutation) {
	var departure departureRecord
	if decode(entry.Value, &departure) == nil {
		t.drop(departedKey(departure.InstanceID))
	}
	t.drop(entry.Key)
}

func (t *Transaction) dropDeparture(record instanceRecord) {
	if record.Departure != 0 {
		t.drop(departureKey(record.Departure))
	}
}

// RemoveInstance drops the record of an instance.
func (t *Transaction) RemoveInstance(id string) {
	record, found := recordOf(t, id)
	if !found {
		return
	}
	t.dropDeparture(record)
	t.moveAddress(id, record, instanceRecord{})
	t.drop(record.key())
}

// Instances returns all instances that are recorded, sorted by id, those that left included.
func Instances(reader Reader) []Instance {
	instances := append(PresentInstances(reader), instancesUnder(reader, departedPrefix)...)
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// PresentInstances returns the instances that have not left, sorted by id.
func PresentInstances(reader Reader) []Instance { return instancesUnder(reader, instancePrefix) }

func instancesUnder(reader Reader, prefix string) []Instance {
	records := readAll[instanceRecord](reader, prefix)
	instances := make([]Instance, 0, len(records))
	for _, record := range records {
		instances = append(instances, record.Instance)
	}
	return instances
}

// InstanceByID returns an instance, also one that left.
func InstanceByID(reader Reader, id string) (Instance, bool) {
	record, found := recordOf(reader, id)
	return record.Instance, found
}

func recordOf(reader Reader, id string) (instanceRecord, bool) {
	if record, found := read[instanceRecord](reader, instanceKey(id)); found {
		return record, true
	}
	return read[instanceRecord](reader, departedKey(id))
}

// HasInstance tells whether an instance is recorded, also one that left, without reading the record.
func HasInstance(reader Reader, id string) bool {
	_, present := reader.Entry(instanceKey(id))
	_, departed := reader.Entry(departedKey(id))
	return present || departed
}

// InstanceChanged tells whether the transaction changes the record of an instance.
func (t *Transaction) InstanceChanged(id string) bool {
	_, present := t.changed[instanceKey(id)]
	_, departed := t.changed[departedKey(id)]
	return present || departed
}
