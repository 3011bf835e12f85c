package state

import "eiderway/control/configuration"

// MaxOrders is the number of taken configuration numbers that are kept, the highest ones. At about 200 bytes each they take
// less than a megabyte, and a day brings hundreds of changes.
const MaxOrders = 4096

// configurationHead describes the configuration in force. It repeats the services of the body, so that the body need not be
// parsed to read them.
type configurationHead struct {
	Number   int64
	Size     int // of the body as it was sent, in bytes
	Services []configuredService
}

type configuredService struct {
	Name         string
	SyncReplicas int
}

// orderRecord holds the digest of the content that a configuration number was taken by.
type orderRecord struct {
	Number int64
	Digest string
}

// PlaceOrder accepts or refuses an order and records the result. The same order on the changed state gives Repeated, so that an
// order that is sent again is acknowledged again by whichever controller is primary then.
func (t *Transaction) PlaceOrder(order configuration.Document) OrderOutcome {
	if taken, found := read[orderRecord](t, orderKey(order.Number)); found {
		if taken.Digest == order.Digest {
			return Repeated
		}
		return Conflict
	}
	head, inForce := read[configurationHead](t, configurationKey)
	t.recordOrder(order)
	if inForce && order.Number <= head.Number {
		return Superseded
	}
	t.putConfiguration(order)
	return InForce
}

// recordOrder records the number as taken, and keeps only the MaxOrders highest numbers.
func (t *Transaction) recordOrder(order configuration.Document) {
	record := orderRecord{Number: order.Number, Digest: order.Digest}
	t.set(orderKey(order.Number), encode(record))
	orders := t.Entries(orderPrefix)
	for len(orders) > MaxOrders {
		t.drop(orders[0].Key)
		orders = orders[1:]
	}
}

func (t *Transaction) putConfiguration(order configuration.Document) {
	head := configurationHead{Number: order.Number, Size: len(order.Body)}
	for _, service := range order.Contents.Services {
		configured := configuredService{Name: service.Name, SyncReplicas: service.SyncReplicas}
		head.Services = append(head.Services, configured)
	}
	t.set(configurationKey, encode(head))
	t.putBody(order.Body)
}

// Configuration returns the configuration in force as it was sent.
func Configuration(reader Reader) (number int64, body []byte, found bool) {
	head, found := read[configurationHead](reader, configurationKey)
	if !found {
		return 0, nil, false
	}
	body, corruption := decompressBody(reader.Entries(bodyPrefix), head.Size)
	return head.Number, body, corruption == nil
}

// ConfigurationNumber returns the number of the configuration in force, 0 if there is none.
func ConfigurationNumber(reader Reader) int64 {
	head, _ := read[configurationHead](reader, configurationKey)
	return head.Number
}
