package replication

import (
	"slices"
	"time"

	"eiderway/control/quorum"
)

const (
	// foundingPatience lets the processes of a first start begin to listen.
	foundingPatience = 100 * time.Millisecond
	// foundingWait is how long a founding candidate with a majority waits for the remaining seeds.
	foundingWait = 1500 * time.Millisecond
)

// mayFound tells whether this node may take part in founding a core: it is a seed of the first start and has accepted
// no view yet.
func (n *Node) mayFound() bool {
	return n.record.MayFound && n.record.Accepted.ID == (quorum.ViewID{}) && n.isSeed()
}

// mayFoundWith tells whether it may do so with a candidate that has these seeds.
func (n *Node) mayFoundWith(seeds []string) bool {
	return n.mayFound() && slices.Equal(seeds, n.sortedSeeds())
}

func (n *Node) isSeed() bool { return slices.Contains(n.settings.Seeds, n.self.Address) }

func (n *Node) sortedSeeds() []string {
	seeds := slices.Clone(n.settings.Seeds)
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

// otherSeeds are the seeds as members of whom only the address is known.
func (n *Node) otherSeeds() []quorum.Member {
	var others []quorum.Member
	for _, address := range n.sortedSeeds() {
		if address != n.self.Address {
			others = append(others, quorum.Member{Address: address})
		}
	}
	return others
}

// foundingPatience lets one seed after the other stand. Where a view has been accepted by somebody, its voters have time
// to stand first; only if that comes to nothing is the founding tried again.
func (n *Node) foundingPatience() time.Duration {
	place := slices.Index(n.sortedSeeds(), n.self.Address)
	timing := n.settings.Timing
	patience := timing.ElectionAfter/2 + foundingPatience + time.Duration(place)*timing.ElectionStep
	if n.known.ID != (quorum.ViewID{}) {
		patience += strandedAfter
	}
	return patience
}

// evaluateFounding founds a core when a majority of the seeds, by address, have promised and none of them knows a view.
// It waits a little for all of them.
func (n *Node) evaluateFounding() {
	stand := n.candidacy
	if !stand.founding {
		return
	}
	seeds := n.sortedSeeds()
	members := stand.foundersAmong(seeds)
	if len(members) < majorityOf(len(seeds)) || !containsMember(members, n.self.Incarnation) {
		return
	}
	if !stand.hasEnough {
		stand.hasEnough = true
		stand.enoughAt = n.now
		stand.began = n.now // the limit of the candidacy counts from here
	}
	if len(members) < len(seeds) && n.now-stand.enoughAt < foundingWait {
		return
	}
	n.takeOver(quorum.View{Voters: members})
}

// foundersAmong returns who has promised, one for each seed, sorted by incarnation.
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
