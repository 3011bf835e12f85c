package gateway

import (
	"slices"
	"time"

	"eiderway/control/quorum"
)

const (
	// avoidFor is how long a controller that failed is avoided while there are others to ask. It is about as long as
	// the wait for an answer that doesn't come, so that a dead controller doesn't cost every second wait.
	avoidFor = 1500 * time.Millisecond
	// Pauses between watches after a failure: short enough to find a new primary well within a lease, long enough for a
	// machine with a fraction of a core. The random spread keeps gateways from asking at the same time.
	minRetryPause    = 100 * time.Millisecond
	retryPauseSpread = 200 * time.Millisecond
	// avoidRefusedFor is how long a controller that refused a connection is avoided. Its process is about to start, and
	// a refusal costs little.
	avoidRefusedFor = 150 * time.Millisecond
	// relayFor is how long another controller is asked to relay to a primary that can't be reached directly, before the
	// primary is tried directly again.
	relayFor = 5 * time.Second
	// maxFreeRedirects is how many redirects in a row are followed without a pause. More of them mean that the
	// controllers don't agree yet.
	maxFreeRedirects = 2
)

// finder chooses which controller is asked next. It has no clock: now is the monotonic time since the start.
type finder struct {
	seeds      []string
	members    []string
	primary    string
	avoidUntil map[string]time.Duration // until when each controller that failed is avoided
	relay      string                   // a controller that reaches the primary, which this gateway can't
	relayUntil time.Duration
	nextIndex  int
	redirects  int
}

func newFinder(seeds []string) *finder {
	return &finder{seeds: seeds, avoidUntil: map[string]time.Duration{}}
}

// next returns the address to ask, or "" if none is known.
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

// usesRelay reports whether the next watch goes to another controller that is to relay it to the primary.
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

// answered records that the primary answered, either at the address itself or through the relay there.
func (f *finder) answered(now time.Duration, address string, members []quorum.Member) {
	f.redirects = 0
	f.setMembers(members)
	if f.usesRelay(now) && address == f.relay {
		return
	}
	f.primary, f.relay = address, ""
	delete(f.avoidUntil, address)
}

// failed records that the address gave no answer. refused means that it refused the connection because nobody listens
// there.
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

// redirected records that the controller at the address isn't the primary, and which one it names. It reports whether
// the next watch may follow at once.
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
			return false // the relay doesn't reach the primary either
		}
		f.relay, f.relayUntil = address, now+relayFor
		return true
	}
	f.primary = primary.Address
	f.redirects++
	return f.redirects <= maxFreeRedirects
}

// setMembers replaces the members, unless there are none, and forgets failures of controllers that are gone.
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
