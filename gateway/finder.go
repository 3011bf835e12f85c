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
	minRetryPause    = 100 * time.Millisecond
	retryPauseSpread = 200 * time.Millisecond
	// refusedFor is how long one is left alone that refused a connection: its process is about to start, and to be refused costs little.
	avoidRefusedFor = 150 * time.Millisecond
	// relayFor is how long another controller is asked to ask the primary, when that can't be reached, before it is tried directly again.
	relayFor = 5 * time.Second
	// freeHops is how many controllers in a row may send the gateway on without a pause: more than that means that
	// they don't agree yet.
	maxFreeRedirects = 2
)

// finder chooses which controller is asked next. It knows no clocks: now is the steady time.
type finder struct {
	seeds      []string
	members    []string
	primary    string
	avoidUntil map[string]time.Duration // until when each that failed is left alone
	relay      string                   // a controller that reaches the primary, which doesn't answer here
	relayUntil time.Duration
	nextIndex  int
	redirects  int
}

func newFinder(seeds []string) *finder {
	return &finder{seeds: seeds, avoidUntil: map[string]time.Duration{}}
}

// next is the address to be asked, or "" if none is known.
func (f *finder) next(now time.Duration) string {
	if f.usesRelay(now) {
		return f.relay
	}
	if f.primary != "" {
		return f.primary
	}
	candidates := f.candidates()
	for range candidates {
		candidate := candidates[f.nextIndex%len(candidates)]
		f.nextIndex++
		if !f.isAvoided(now, candidate) {
			return candidate
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	f.nextIndex++
	return candidates[f.nextIndex%len(candidates)]
}

// relays tells whether the next question goes to another controller for it to ask the primary.
func (f *finder) usesRelay(now time.Duration) bool { return f.relay != "" && now < f.relayUntil }

func (f *finder) candidates() []string {
	candidates := slices.Clone(f.members)
	for _, seed := range f.seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	return candidates
}

func (f *finder) isAvoided(now time.Duration, address string) bool {
	return now < f.avoidUntil[address]
}

// answered records that the primary answered: the one at the address, or through it.
func (f *finder) answered(now time.Duration, address string, members []quorum.Member) {
	f.redirects = 0
	f.setMembers(members)
	if f.usesRelay(now) && address == f.relay {
		return
	}
	f.primary, f.relay = address, ""
	delete(f.avoidUntil, address)
}

// failed records that the address gave no answer; refused: at once, since nobody listens there.
func (f *finder) failed(now time.Duration, address string, refused bool) {
	f.avoidUntil[address] = now + avoidFor
	if refused {
		f.avoidUntil[address] = now + avoidRefusedFor
	}
	if f.primary == address {
		f.primary = ""
	}
	if f.relay == address {
		f.relay = ""
	}
}

// sentOn records that the controller at the address isn't the primary, and whom it takes for it. It tells whether the
// next question may follow at once.
func (f *finder) redirected(now time.Duration, address string, primary quorum.Member, members []quorum.Member) bool {
	f.setMembers(members)
	f.primary = ""
	wasRelay := f.usesRelay(now) && f.relay == address
	f.relay = ""
	if primary.Address == "" || primary.Address == address {
		return false
	}
	if f.isAvoided(now, primary.Address) {
		if wasRelay {
			return false // it doesn't reach the primary either
		}
		f.relay, f.relayUntil = address, now+relayFor
		return true
	}
	f.primary = primary.Address
	f.redirects++
	return f.redirects <= maxFreeRedirects
}

// know replaces the members, if there are any, and forgets failures of those that are gone.
func (f *finder) setMembers(members []quorum.Member) {
	if len(members) == 0 {
		return
	}
	f.members = f.members[:0]
	for _, member := range members {
		if member.Address != "" {
			f.members = append(f.members, member.Address)
		}
	}
	for address := range f.avoidUntil {
		if !slices.Contains(f.members, address) && !slices.Contains(f.seeds, address) {
			delete(f.avoidUntil, address)
		}
	}
}
