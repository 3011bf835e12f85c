package state

import "slices"

// addressRecord names the present instances at an address, so that they are found without reading all. Instances without
// an address have none.
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

// presentAddress is where an instance is, "" if it has left.
func (r instanceRecord) presentAddress() string {
	if r.Left {
		return ""
	}
	return r.Address
}

// moveAddress has the index follow a record that takes the place of another one of the same instance.
func (t *Transaction) moveAddress(id string, before, after instanceRecord) {
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

// verifyAddresses checks that the index names all present instances with an address, and no others.
func verifyAddresses(reader Reader) *Corruption {
	named := 0
	for _, record := range readAll[addressRecord](reader, addressPrefix) {
		if len(record.InstanceIDs) == 0 || len(InstancesAt(reader, record.Address)) != len(record.InstanceIDs) ||
			!slices.IsSorted(record.InstanceIDs) {
			return &Corruption{Key: addressKey(record.Address), Problem: "it does not name the instances at the address"}
		}
		named += len(record.InstanceIDs)
	}
	for _, instance := range PresentInstances(reader) {
		if instance.Address != "" {
			named--
		}
	}
	if named != 0 {
		return &Corruption{Key: addressPrefix, Problem: "the index does not name each present instance once"}
	}
	return nil
}
