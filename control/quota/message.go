package quota

import "time"

// Want asks for operations of a tenant.
type Want struct {
	Tenant     string
	Operations int // that wait for a grant
	Held       int // in the gateway's reserve
	Reserve    int // that the gateway wants to hold in reserve, those that it holds already included
}

// Request is a gateway's request for operations. A gateway has at most one pending.
type Request struct {
	Gateway string // a name of the gateway's process that no other process has; "": the gateway holds no reserve
	Number  uint64 // counted by the gateway's process
	Bank    uint64 // the allocator that answered last, once it was open; 0: none
	Wants   []Want
}

// Grant answers a Want.
type Grant struct {
	Tenant     string
	Operations int           // for those that wait; not more than were wanted
	Life       time.Duration // within which they may begin, counted from the sending of the request
	RetryAfter time.Duration // if fewer were granted than wanted: how long to wait before asking again

	Keep        int           // how much of its reserve the gateway may keep: it must drop the rest
	Reserved    int           // operations that are added to the reserve
	ReserveLife time.Duration // within which all of the reserve may be used, counted from the sending of the request; 0: its end is unchanged
}

// Answer answers a Request.
type Answer struct {
	Number uint64 // of the request
	Bank   uint64 // the number of this allocator; 0: it isn't open yet
	Grants []Grant
}
