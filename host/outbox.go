package host

import "eiderway/control/replication"

// outbox holds messages back until the write that they depend on is synced to disk. Only the goroutine of the loop uses it.
type outbox struct {
	send   func(replication.Envelope) // does not block
	synced uint64                     // number of the last synced write
	held   []replication.Envelope
}

func (o *outbox) add(envelopes []replication.Envelope) {
	for _, envelope := range envelopes {
		if envelope.After <= o.synced {
			o.send(envelope)
			continue
		}
		o.held = append(o.held, envelope)
	}
}

// persisted sends the messages that waited for this write or an earlier one.
func (o *outbox) persisted(write uint64) {
	o.synced = max(o.synced, write)
	kept := o.held[:0]
	for _, envelope := range o.held {
		if envelope.After <= o.synced {
			o.send(envelope)
			continue
		}
		kept = append(kept, envelope)
	}
	o.held = o.dropTail(kept)
}

// failed drops the messages that depend on this write or a later one: none of these writes took place. Writes that are issued afterwards
// get higher numbers.
func (o *outbox) failed(write uint64) {
	kept := o.held[:0]
	for _, envelope := range o.held {
		if envelope.After < write {
			kept = append(kept, envelope)
		}
	}
	o.held = o.dropTail(kept)
}

// dropTail clears the entries after the kept messages, so that their memory can be reclaimed.
func (o *outbox) dropTail(kept []replication.Envelope) []replication.Envelope {
	clear(o.held[len(kept):])
	return kept
}
