package gateway

import (
	"sync/atomic"

	"eiderway/system/metrics"
)

// dialReason says why a connection to an instance was made rather than one used again.
type dialReason int

const (
	firstOfTenant   dialReason = iota // the tenant had none at the instance
	allInUse                          // all that it had were lent
	afterEviction                     // its last one gave way to another tenant's, or to the instance's limit
	afterExpired                      // its last one had been unused for too long
	afterBroken                       // its last one was closed with a statement or transaction, or by the instance
	dialReasonCount                   // how many there are
)

// dialReasonNames are those of the figures.
var dialReasonNames = [dialReasonCount]string{"first", "others_lent", "gave_way", "expired", "broken"}

// backendCounts counts connections to instances, over all pools and since the start.
type backendCounts struct {
	made    [dialReasonCount]atomic.Uint64
	limited atomic.Uint64 // refused with CONNLIMIT
	refused atomic.Uint64 // refused otherwise
	failed  atomic.Uint64 // not answered
}

// total is how many were made.
func (c *backendCounts) total() uint64 {
	var total uint64
	for reason := range c.made {
		total += c.made[reason].Load()
	}
	return total
}

// figures are those of connections to instances.
func (c *backendCounts) figures() []metrics.Figure {
	var figures []metrics.Figure
	for reason, name := range dialReasonNames {
		figures = append(figures, metrics.Figure{
			Name: "backends_made_total", Help: "Connections to instances that were made, by why none could be used again.",
			Value: float64(c.made[reason].Load()), Of: name,
		})
	}
	notMade := map[string]*atomic.Uint64{"connlimit": &c.limited, "refused": &c.refused, "failed": &c.failed}
	for name, count := range notMade {
		figures = append(figures, metrics.Figure{
			Name: "backends_not_made_total", Help: "Connections to instances that could not be made, by why.",
			Value: float64(count.Load()), Of: name,
		})
	}
	return figures
}
