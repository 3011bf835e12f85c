package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// The tenant names among the metrics must be few, however many tenants there are and have been, and the sums must stay
// complete.
func TestRefusalsNameOnlyTheTenantsWithMost(t *testing.T) {
	is := is.New(t)
	counts := refusalCounts{"bakers": 5, "smiths": 9, "weavers": 1, "tanners": 5}
	is.Equal(counts.top(2), map[string]uint64{"smiths": 9, "bakers": 5, otherTenants: 6})
	counts.foldUnlimited([]string{"bakers"})
	is.Equal(counts, refusalCounts{"bakers": 5, otherTenants: 15})
	counts.foldUnlimited(nil)
	is.Equal(counts.top(2), map[string]uint64{otherTenants: 20})
}
