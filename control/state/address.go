package state

import "slices"

// addressRecord indexes the present instances by address, so that they are found without reading all of them. Instances without
// an address are not indexed.
type addressRecord struct {
	Address     string
	InstanceIDs []string // sorted; never empty
}

// InstancesAt returns the present instances at an address, sorted by id.
func InstancesAt(reader Reader, address string) []Instance {
	var instances []Instance
	record, _ := read[addressRecord](reader, addressKey(address))
	for _, id := range record.InstanceIDs {
		instance, found := read[instanceRecord](reader, instanceKey(id))
		if found && instance.presentAddress() == address {
			instances = append(instances, instance.Instance)
		}
	}
	return instances
}

// presentAddress returns the address of a present instance, and "" for a departed one.
func (r instanceRecord) presentAddress() string {
	if r.Left {
		return ""
	}
	return r.Address
}

// updateAddressIndex updates the index for an instance whose record is replaced.
func (t *Transaction) updateAddressIndex(id string, before, after instanceRecord) {
	from, to := before.presentAddress(), after.presentAddress()
	if from != to {
		t.removeFromAddress(from, id)
	}
	t.addToAddress(to, id)
}

func (t *Transaction) addToAddress(address, id string) {
	if address == "" {
		return
	}
	record, _ := read[addressRecord](t, addressKey(address))
	index, found := slices.BinarySearch(record.InstanceIDs, id)
	if found {
		return
	}
	ids := slices.Insert(record.InstanceIDs, index, id)
	t.set(addressKey(address), encode(addressRecord{Address: address, InstanceIDs: ids}))
}

func (t *Transaction) removeFromAddress(address, id string) {
	record, _ := read[addressRecord](t, addressKey(address))
	index, found := slices.BinarySearch(record.InstanceIDs, id)
	if !found {
		return
	}
	ids := slices.Delete(record.InstanceIDs, index, index+1)
	if len(ids) == 0 {
		t.drop(addressKey(address))
		return
	}
	t.set(addressKey(address), encode(addressRecord{Address: address, InstanceIDs: ids}))
}

// verifyAddresses checks that the index holds exactly the present instances that have an address.
func verifyAddresses(reader Reader) *Corruption {
	indexed := 0
	for _, record := range readAll[addressRecord](reader, addressPrefix) {
		if len(record.InstanceIDs) == 0 || len(InstancesAt(reader, record.Address)) != len(record.InstanceIDs) ||
			!slices.IsSorted(record.InstanceIDs) {
			return &Corruption{Key: addressKey(record.Address), Problem: "the index entry does not match the instances at the address"}
		}
		indexed += len(record.InstanceIDs)
	}
	for _, instance := range PresentInstances(reader) {
		if instance.Address != "" {
			indexed--
		}
	}
	if indexed != 0 {
		return &Corruption{Key: addressPrefix, Problem: "the index does not hold each present instance once"}
	}
	return nil
}
