package state

import (
	"fmt"

	"eiderway/control/failover"
)

// Corruption describes an invalid entry of the control state. Only a disk that returns other bytes than were written to it, or a
// bug in this package, causes it.
type Corruption struct {
	Key     string
	Problem string
}

func (c *Corruption) Error() string {
	return fmt.Sprintf("control state entry %q: %s", c.Key, c.Problem)
}

// Verify checks that all entries of known kinds can be decoded and are consistent. Readers skip entries that can't be decoded, so
// a controller should verify what it read from its disk before it serves as a copy. The error is a *Corruption.
func Verify(reader Reader) error {
	kinds := []func(Reader) *Corruption{
		verifyConfiguration,
		verifyRecords[orderRecord](orderPrefix, func(r orderRecord) string { return orderKey(r.Number) }),
		verifyRecords[instanceRecord](instancePrefix, instanceRecord.key),
		verifyRecords[instanceRecord](departedPrefix, instanceRecord.key),
		verifyDeparted,
		verifyRecords[addressRecord](addressPrefix, func(r addressRecord) string { return addressKey(r.Address) }),
		verifyAddresses,
		verifyRecords[departureRecord](departurePrefix, func(r departureRecord) string { return departureKey(r.Departure) }),
		verifyRecords[leaderRecord](leaderPrefix, func(r leaderRecord) string { return leaderKey(r.Service) }),
		verifyRecords[floorRecord](floorPrefix, func(r floorRecord) string { return floorKey(r.Service) }),
		verifyRecords[failover.Intent](intentPrefix, func(r failover.Intent) string { return intentKey(r.Service) }),
	}
	for _, verify := range kinds {
		if corruption := verify(reader); corruption != nil {
			return corruption
		}
	}
	return nil
}

// verifyRecords checks that each record of one kind can be decoded and is stored under its own key.
func verifyRecords[Record any](prefix string, keyOf func(Record) string) func(Reader) *Corruption {
	return func(reader Reader) *Corruption {
		for _, entry := range reader.Entries(prefix) {
			var record Record
			if err := decode(entry.Value, &record); err != nil {
				return &Corruption{Key: entry.Key, Problem: err.Error()}
			}
			if key := keyOf(record); key != entry.Key {
				return &Corruption{Key: entry.Key, Problem: fmt.Sprintf("holds the record of %q", key)}
			}
		}
		return nil
	}
}

// verifyDeparted checks that no departed instance is also recorded as present, and that each departure is recorded.
func verifyDeparted(reader Reader) *Corruption {
	for _, record := range readAll[instanceRecord](reader, departedPrefix) {
		if _, present := reader.Entry(instanceKey(record.ID)); present {
			return &Corruption{Key: record.key(), Problem: "the instance is also recorded as present"}
		}
		departure, _ := read[departureRecord](reader, departureKey(record.Departure))
		if departure.InstanceID != record.ID {
			return &Corruption{Key: record.key(), Problem: "its departure is not recorded"}
		}
	}
	return nil
}

// verifyConfiguration checks the head and the body of the configuration, and that its number is recorded as taken.
func verifyConfiguration(reader Reader) *Corruption {
	encoded, found := reader.Entry(configurationKey)
	if !found {
		return nil
	}
	var head configurationHead
	if err := decode(encoded, &head); err != nil {
		return &Corruption{Key: configurationKey, Problem: err.Error()}
	}
	if _, corruption := decompressBody(reader.Entries(bodyPrefix), head.Size); corruption != nil {
		return corruption
	}
	if _, found := reader.Entry(orderKey(head.Number)); !found {
		return &Corruption{Key: configurationKey, Problem: "its number is not recorded as taken"}
	}
	return nil
}
