package replication

import (
	"slices"
	"time"

	"eiderway/control/quorum"
)

const (
	// foundingStartDelay gives the processes of a first start time to begin to listen.
	foundingStartDelay = 100 * time.Millisecond
	// foundingSeedWait is how long a founding candidate with a majority waits for the remaining seeds.
	foundingSeedWait = 1500 * time.Millisecond
)

// mayFound reports whether this node may take part in founding a core: it is a seed, was started for the first time, and has
// accepted no view yet.
func (n *Node) mayFound() bool {
	return n.record.MayFound && n.record.Accepted.ID == (quorum.ViewID{}) && n.isSeed()
}

// mayFoundWith reports whether this node may take part in founding a core with a candidate that has these seeds.
func (n *Node) mayFoundWith(seeds []string) bool {
	return n.mayFound() && slices.Equal(seeds, n.sortedSeeds())
}

func (n *Node) isSeed() bool { return slices.Contains(n.settings.Seeds, n.self.Address) }

func (n *Node) sortedSeeds() []string {
	seeds := slices.Clone(n.settings.Seeds)
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

// otherSeeds returns the other seeds as members of which only the address is known.
func (n *Node) otherSeeds() []quorum.Member {
	var others []quorum.Member
	for _, address := range n.sortedSeeds() {
		if address != n.self.Address {
			others = append(others, quorum.Member{Address: address})
		}
	}
	return others
}

// foundingTimeout returns how long a seed waits before it stands to found the core. It grows with the place of the seed, so
// that one stands after the other. If a view is known, its voters get time to stand first; founding is tried again only if
// that fails.
func (n *Node) foundingTimeout() time.Duration {
	place := slices.Index(n.sortedSeeds(), n.self.Address)
	timing := n.settings.Timing
	timeout := timing.ElectionAfter/2 + foundingStartDelay + time.Duration(place)*timing.ElectionStep
	if n.known.ID != (quorum.ViewID{}) {
		timeout += strandedAfter
	}
	return timeout
}

// evaluateFounding founds a core when a majority of the seeds, by address, have promised and none has accepted a view.
// It waits a short time for the rest of them.
func (n *Node) evaluateFounding() {
	candidacy := n.candidacy
	if !candidacy.founding {
		return
	}
	seeds := n.sortedSeeds()
	members := candidacy.foundersAmong(seeds)
	if len(members) < majorityOf(len(seeds)) || !containsMember(members, n.self.Incarnation) {
		return
	}
	if !candidacy.hasMajority {
		candidacy.hasMajority = true
		candidacy.majorityAt = n.now
		candidacy.phaseBeganAt = n.now // the timeout of the candidacy counts from here
	}
	if len(members) < len(seeds) && n.now-candidacy.majorityAt < foundingSeedWait {
		return
	}
	n.takeOver(quorum.View{Voters: members})
}

// foundersAmong returns the members that have promised, one for each seed, sorted by incarnation.
func (c *candidacy) foundersAmong(seeds []string) []quorum.Member {
	var members []quorum.Member
	for _, address := range seeds {
		for _, promise := range c.promises {
			if promise.member.Address == address {
				members = append(members, promise.member)
				break
			}
		}
	}
	sortMembers(members)
	return members
}
