package host

import "eiderway/control/replication"

// outbox keeps messages back until the write that they speak of is safe on disk. It belongs to the loop.
type outbox struct {
	send   func(replication.Envelope) // does not wait
	synced uint64                     // the highest write that is safe
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

// persisted lets go of the messages that waited for this write or an earlier one.
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

// failed drops the messages that speak of this write or a later one: none of these writes took place, though a later
// write will get a higher number.
func (o *outbox) failed(write uint64) {
	kept := o.held[:0]
	for _, envelope := range o.held {
		if envelope.After < write {
			kept = append(kept, envelope)
		}
	}
	o.held = o.dropTail(kept)
}

// dropTail forgets what stands behind the kept messages, so that their memory can be used again.
func (o *outbox) dropTail(kept []replication.Envelope) []replication.Envelope {
	clear(o.held[len(kept):])
	return kept
}
