package workload

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Order is a configuration that an operator sent, with its result.
type Order struct {
	Number   int64
	Content  string // tells configurations of one number apart
	Sent     time.Time
	Answered time.Time
	Status   int // 0: no clear answer
	Tries    int
	Tenants  []Tenant // nil: there was no table of tenants
}

// Fetched is a configuration that was read back.
type Fetched struct {
	Number   int64
	Content  string
	Sent     time.Time
	Answered time.Time
}

// Orders is the history of all operators. It is safe for concurrent use.
type Orders struct {
	mutex   sync.Mutex
	begun   []Order // all orders, as of their first try
	orders  []Order
	fetched []Fetched
}

func (o *Orders) begin(order Order) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.begun = append(o.begun, order)
}

// Sent returns all orders. Those that haven't ended yet are included, with no status.
func (o *Orders) Sent() []Order {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	sent := slices.Clone(o.orders)
	for _, order := range o.begun {
		ended := slices.ContainsFunc(o.orders, func(one Order) bool { return one.Number == order.Number && one.Content == order.Content })
		if !ended {
			sent = append(sent, order)
		}
	}
	return sent
}

// Completed returns the orders that have ended so far, in no particular sequence.
func (o *Orders) Completed() []Order {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.orders)
}

// Fetched returns the configurations that have been read so far.
func (o *Orders) Fetched() []Fetched {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.fetched)
}

// NewestAcknowledged returns the highest configuration number that was acknowledged.
func (o *Orders) NewestAcknowledged() int64 {
	var newest int64
	for _, order := range o.Completed() {
		if order.Status == http.StatusOK {
			newest = max(newest, order.Number)
		}
	}
	return newest
}

// Judge returns the violations seen in a configuration that was read after all orders ended: it must be no older than
// the newest acknowledged one, and must have been sent under its number. Violations of earlier reads are included.
func (o *Orders) Judge(read Fetched) []string {
	var broken []string
	if newest := o.NewestAcknowledged(); read.Number < newest {
		broken = append(broken, fmt.Sprintf("CONFIG: %d was read back, %d was acknowledged", read.Number, newest))
	}
	wasSent := slices.ContainsFunc(o.Completed(), func(order Order) bool {
		return order.Number == read.Number && order.Content == read.Content
	})
	if !wasSent {
		broken = append(broken, fmt.Sprintf("CONFIG: %d was read back as %q, which nobody sent", read.Number, read.Content))
	}
	return append(broken, o.staleReads()...)
}

// staleReads returns the reads that got an older configuration than one acknowledged before they were sent.
func (o *Orders) staleReads() []string {
	var broken []string
	for _, read := range o.Fetched() {
		for _, order := range o.Completed() {
			if order.Status == http.StatusOK && order.Answered.Before(read.Sent) && read.Number < order.Number {
				broken = append(broken, fmt.Sprintf("CONFIG: %d was read after %d was acknowledged", read.Number, order.Number))
			}
		}
	}
	return broken
}
