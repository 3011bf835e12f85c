package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// The names among the figures must be few, however many tenants there are and have been, and nothing may get lost in the sums.
func TestRefusalsNameTheBusiestTenantsOnly(t *testing.T) {
	is := is.New(t)
	counted := refusalCounts{"bakers": 5, "smiths": 9, "weavers": 1, "tanners": 5}
	is.Equal(counted.top(2), map[string]uint64{"smiths": 9, "bakers": 5, otherTenants: 6})
	counted.foldUnlimited([]string{"bakers"})
	is.Equal(counted, refusalCounts{"bakers": 5, otherTenants: 15})
	counted.foldUnlimited(nil)
	is.Equal(counted.top(2), map[string]uint64{otherTenants: 20})
}
