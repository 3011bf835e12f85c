package state

import "eiderway/control/configuration"

// MaxOrders is how many taken configuration numbers are kept, the highest ones. With about 200 bytes each they take
// under a megabyte, and a day holds hundreds of changes.
const MaxOrders = 4096

// configurationHead describes the configuration in force. The services stand here again so that the body need not be
// parsed each time they are asked for.
type configurationHead struct {
	Number   int64
	Size     int // of the body as it was sent, in bytes
	Services []configuredService
}

type configuredService struct {
	Name         string
	SyncReplicas int
}

// orderRecord says which content a configuration number was taken by.
type orderRecord struct {
	Number int64
	Digest string
}

// PlaceOrder decides on an order and records it. The same decision on the changed state gives Repeated, so that an
// order sent again is acknowledged again by whichever controller holds the state then.
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

// recordOrder keeps the number as taken, and no more than MaxOrders of the highest numbers.
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

// Configuration returns the newest configuration as it was sent.
func Configuration(reader Reader) (number int64, body []byte, found bool) {
	head, found := read[configurationHead](reader, configurationKey)
	if !found {
		return 0, nil, false
	}
	body, corruption := unpackBody(reader.Entries(bodyPrefix), head.Size)
	return head.Number, body, corruption == nil
}

// ConfigurationNumber returns the number of the newest configuration, 0 if there is none.
func ConfigurationNumber(reader Reader) int64 {
	head, _ := read[configurationHead](reader, configurationKey)
	return head.Number
}
