package workload

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Order is a configuration that an operator sent, with what came of it in the end.
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

// Orders is the history of all operators. Any number of them may add to it.
type Orders struct {
	mutex   sync.Mutex
	begun   []Order // as they were sent first
	orders  []Order
	fetched []Fetched
}

func (o *Orders) begin(order Order) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.begun = append(o.begun, order)
}

// Sent are all orders, those that haven't ended included, which have no status.
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

// Completed are the orders that were ended until now, in any order.
func (o *Orders) Completed() []Order {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.orders)
}

// Fetched are the configurations that were read until now.
func (o *Orders) Fetched() []Fetched {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.fetched)
}

// NewestAcknowledged is the highest number that was acknowledged.
func (o *Orders) NewestAcknowledged() int64 {
	var newest int64
	for _, order := range o.Completed() {
		if order.Status == http.StatusOK {
			newest = max(newest, order.Number)
		}
	}
	return newest
}

// Judge returns what is wrong with a configuration that was read when nothing was under way any more: it must be no older
// than the newest acknowledged one, and must have been sent under its number.
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

// staleReads are the reads that gave an older configuration than one that was acknowledged before they were sent.
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
