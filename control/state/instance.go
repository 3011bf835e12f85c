package state

// MaxDepartures is how many instances that left are kept, the last ones to leave. Calls that were held up for a minute
// or two may still come from those; with about 300 bytes each they take under a megabyte.
const MaxDepartures = 2048

// instanceRecord is an instance as it is stored.
type instanceRecord struct {
	Instance
	Departure uint64 // numbers the departures of instances; 0 while it is here
}

// departureRecord leads from the number of a departure to the instance, so that the oldest are found.
type departureRecord struct {
	Departure  uint64
	InstanceID string
}

// PutInstance records an instance, in place of what was known of it.
func (t *Transaction) PutInstance(instance Instance) {
	before, _ := read[instanceRecord](t, instanceKey(instance.ID))
	record := instanceRecord{Instance: instance, Departure: before.Departure}
	switch {
	case instance.Left && before.Departure == 0:
		record.Departure = t.nextDeparture()
		departure := departureRecord{Departure: record.Departure, InstanceID: instance.ID}
		t.set(departureKey(record.Departure), encode(departure))
		t.dropOldDepartures()
	case !instance.Left && before.Departure != 0:
		record.Departure = 0
		t.drop(departureKey(before.Departure))
	}
	t.set(instanceKey(instance.ID), encode(record))
}

func (t *Transaction) nextDeparture() uint64 {
	departures := t.Entries(departurePrefix)
	if len(departures) == 0 {
		return 1
	}
	var last departureRecord
	if decode(departures[len(departures)-1].Value, &last) != nil {
		return 1
	}
	return last.Departure + 1
}

func (t *Transaction) dropOldDepartures() {
	departures := t.Entries(departurePrefix)
	for len(departures) > MaxDepartures {
		var oldest departureRecord
		if decode(departures[0].Value, &oldest) == nil {
			t.drop(instanceKey(oldest.InstanceID))
		}
		t.drop(departures[0].Key)
		departures = departures[1:]
	}
}

// RemoveInstance drops the record of an instance.
func (t *Transaction) RemoveInstance(id string) {
	record, found := read[instanceRecord](t, instanceKey(id))
	if !found {
		return
	}
	if record.Departure != 0 {
		t.drop(departureKey(record.Departure))
	}
	t.drop(instanceKey(id))
}

// Instances returns all instances that are recorded, sorted by id, those that left included.
func Instances(reader Reader) []Instance {
	records := readAll[instanceRecord](reader, instancePrefix)
	instances := make([]Instance, 0, len(records))
	for _, record := range records {
		instances = append(instances, record.Instance)
	}
	return instances
}

// InstanceByID returns an instance, also one that left.
func InstanceByID(reader Reader, id string) (Instance, bool) {
	record, found := read[instanceRecord](reader, instanceKey(id))
	return record.Instance, found
}

// InstanceChanged tells whether the transaction changes the record of an instance.
func (t *Transaction) InstanceChanged(id string) bool {
	_, changed := t.changed[instanceKey(id)]
	return changed
}
