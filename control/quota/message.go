package quota

import "time"

// Want asks for operations of a tenant.
type Want struct {
	Tenant     string
	Operations int // that wait
	Held       int // in the gateway's reserve
	Reserve    int // that the gateway would like to hold in reserve, with those that it holds
}

// Request is a gateway's question for operations. At most one is under way for a gateway.
type Request struct {
	Gateway string // a word for the gateway's process, which no other has; "": nothing is held in reserve
	Number  uint64 // counted by the gateway's process
	Bank    uint64 // the bank that answered last, once it was open; 0: none
	Wants   []Want
}

// Grant answers a Want.
type Grant struct {
	Tenant     string
	Operations int           // for those that wait; not more than were wanted
	Life       time.Duration // within which they may be begun, counted from the sending of the request
	RetryAfter time.Duration // if fewer were granted than wanted: when it may be worth asking again

	Keep        int           // of the reserve: what is beyond must be dropped
	Reserved    int           // are added to it
	ReserveLife time.Duration // within which all of it may be begun, counted from the sending of the request; 0: as before
}

// Answer answers a Request.
type Answer struct {
	Number uint64 // of the request
	Bank   uint64 // which bank this is; 0: it isn't open yet
	Grants []Grant
}
