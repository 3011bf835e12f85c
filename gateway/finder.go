package gateway

import (
	"slices"
	"time"

	"eiderway/control/quorum"
)

const (
	// avoidFor is how long a controller that failed is left alone while there are others to ask: about what an answer
	// takes that doesn't come, so that one dead controller costs one such wait and not every second one.
	avoidFor = 1500 * time.Millisecond
	// Pauses between questions after a failure: short enough to find a new primary well within a lease, long enough
	// for a machine with a fraction of a core. The spread keeps gateways apart.
	pauseLeast  = 100 * time.Millisecond
	pauseSpread = 200 * time.Millisecond
	// freeHops is how many controllers in a row may send the gateway on without a pause: more than that means that
	// they don't agree yet.
	freeHops = 2
)

// finder chooses which controller is asked next. It knows no clocks: now is the steady time.
type finder struct {
	seeds    []string
	members  []string
	primary  string
	failedAt map[string]time.Duration
	turn     int
	hops     int
}

func newFinder(seeds []string) *finder {
	return &finder{seeds: seeds, failedAt: map[string]time.Duration{}}
}

// next is the address to be asked, or "" if none is known.
func (f *finder) next(now time.Duration) string {
	if f.primary != "" {
		return f.primary
	}
	candidates := f.candidates()
	for range candidates {
		candidate := candidates[f.turn%len(candidates)]
		f.turn++
		if !f.avoided(now, candidate) {
			return candidate
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	f.turn++
	return candidates[f.turn%len(candidates)]
}

func (f *finder) candidates() []string {
	candidates := slices.Clone(f.members)
	for _, seed := range f.seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	return candidates
}

func (f *finder) avoided(now time.Duration, address string) bool {
	failedAt, failed := f.failedAt[address]
	return failed && now-failedAt < avoidFor
}

// answered records that the primary at the address answered.
func (f *finder) answered(address string, members []quorum.Member) {
	f.primary = address
	f.hops = 0
	delete(f.failedAt, address)
	f.know(members)
}

// failed records that the address gave no answer.
func (f *finder) failed(now time.Duration, address string) {
	f.failedAt[address] = now
	if f.primary == address {
		f.primary = ""
	}
}

// sentOn records that the controller at the address isn't the primary, and whom it takes for it. It tells whether the
// next question may follow at once.
func (f *finder) sentOn(now time.Duration, address string, primary quorum.Member, members []quorum.Member) bool {
	f.know(members)
	f.primary = ""
	if primary.Address == "" || primary.Address == address || f.avoided(now, primary.Address) {
		return false
	}
	f.primary = primary.Address
	f.hops++
	return f.hops <= freeHops
}

// know replaces the members, if there are any, and forgets failures of those that are gone.
func (f *finder) know(members []quorum.Member) {
	if len(members) == 0 {
		return
	}
	f.members = f.members[:0]
	for _, member := range members {
		if member.Address != "" {
			f.members = append(f.members, member.Address)
		}
	}
	for address := range f.failedAt {
		if !slices.Contains(f.members, address) && !slices.Contains(f.seeds, address) {
			delete(f.failedAt, address)
		}
	}
}
