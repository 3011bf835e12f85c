package quota

import "time"

// Want asks for operations of a tenant.
type Want struct {
	Tenant     string
	Operations int
}

// Request is a gateway's question for operations. At most one is under way for a gateway.
type Request struct {
	Number uint64 // counted by the gateway's process
	Wants  []Want
}

// Grant answers a Want.
type Grant struct {
	Tenant     string
	Operations int           // not more than were wanted
	Life       time.Duration // within which they may be begun, counted from the sending of the request
	RetryAfter time.Duration // if fewer were granted than wanted: when it may be worth asking again
}

// Answer answers a Request.
type Answer struct {
	Number uint64 // of the request
	Grants []Grant
}
