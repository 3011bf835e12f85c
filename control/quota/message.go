package quota

import "time"

// Want asks for operations of a tenant.
type Want struct {
	Tenant     string
	Operations int // for those that wait
	Spare      int // to keep in stock; granted only where the bank has plenty
}

// Request is a gateway's question for operations. At most one is under way for a gateway.
type Request struct {
	Number uint64 // counted by the gateway's process
	Wants  []Want
}

// Grant answers a Want.
type Grant struct {
	Tenant     string
	Operations int           // not more than were wanted, those in stock among them
	Life       time.Duration // within which they may be begun, counted from the sending of the request
	RetryAfter time.Duration // if fewer were granted than wait: when it may be worth asking again
	Scarce     bool          // nothing should be kept in stock for a while
}

// Answer answers a Request.
type Answer struct {
	Number uint64 // of the request
	Grants []Grant
}
