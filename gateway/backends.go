package gateway

import (
	"sync/atomic"

	"eiderway/system/metrics"
)

// dialReason is why a connection to an instance was made instead of reusing one.
type dialReason int

const (
	firstOfTenant   dialReason = iota // the tenant had none at the instance
	allInUse                          // all of the tenant's connections were lent
	afterEviction                     // its last one was closed to make room, for another tenant or at the instance's limit
	afterExpired                      // its last one had been unused for too long
	afterBroken                       // its last one broke, was given up with a statement or transaction, or was closed by the instance
	dialReasonCount                   // the number of reasons
)

// dialReasonNames are the reasons as the metrics name them.
var dialReasonNames = [dialReasonCount]string{"first", "others_lent", "gave_way", "expired", "broken"}

// backendCounts counts the connections to instances over all pools since the start.
type backendCounts struct {
	made    [dialReasonCount]atomic.Uint64
	limited atomic.Uint64 // refused with CONNLIMIT
	refused atomic.Uint64 // refused for another reason
	failed  atomic.Uint64 // not answered
}

// total returns how many connections were made.
func (c *backendCounts) total() uint64 {
	var total uint64
	for reason := range c.made {
		total += c.made[reason].Load()
	}
	return total
}

// figures returns the metrics of connections to instances.
func (c *backendCounts) figures() []metrics.Sample {
	var figures []metrics.Sample
	for reason, name := range dialReasonNames {
		figures = append(figures, metrics.Sample{
			Name: "backends_made_total", Help: "Connections to instances that were made, by why none could be used again.",
			Value: float64(c.made[reason].Load()), Label: name,
		})
	}
	notMade := map[string]*atomic.Uint64{"connlimit": &c.limited, "refused": &c.refused, "failed": &c.failed}
	for name, count := range notMade {
		figures = append(figures, metrics.Sample{
			Name: "backends_not_made_total", Help: "Connections to instances that could not be made, by why.",
			Value: float64(count.Load()), Label: name,
		})
	}
	return figures
}
