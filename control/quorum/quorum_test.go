package quorum

import (
	"testing"

	"github.com/matryer/is"
)

func view(voters ...string) View {
	var made View
	for _, name := range voters {
		made.Voters = append(made.Voters, Member{Incarnation: Incarnation(name), Address: name + ":1"})
	}
	return made
}

func TestViewIDsAndStampsAreOrdered(t *testing.T) {
	is := is.New(t)
	is.True(ViewID{1, 9}.Less(ViewID{2, 0}))
	is.True(ViewID{2, 0}.Less(ViewID{2, 1}))
	is.True(!ViewID{2, 1}.Less(ViewID{2, 1}))
	is.True(Stamp{1, 9}.Less(Stamp{2, 0}))
	is.True(Stamp{2, 3}.Less(Stamp{2, 4}))
	is.True(!Stamp{2, 4}.Less(Stamp{2, 4}))
	is.Equal(ViewID{3, 4}.String(), "3.4")
	is.Equal(Stamp{3, 4}.String(), "3.4")
}

func TestMajorityCountsVotersOnly(t *testing.T) {
	is := is.New(t)
	holders := func(names ...Incarnation) func(Incarnation) bool {
		return func(incarnation Incarnation) bool {
			for _, name := range names {
				if name == incarnation {
					return true
				}
			}
			return false
		}
	}
	is.True(view("a", "b", "c").IsMajority(holders("a", "c")))
	is.True(!view("a", "b", "c").IsMajority(holders("a", "x", "y")))
	is.True(!view("a", "b", "c", "d").IsMajority(holders("a", "b")))
	is.True(!view().IsMajority(holders("a")))
}

// TestMajoritiesOfConsecutiveViewsOverlap guards the rule that makes it safe to change one voter at a time: a set of voters and
// its complement must not be majorities of two views that differ by one voter.
func TestMajoritiesOfConsecutiveViewsOverlap(t *testing.T) {
	is := is.New(t)
	all := []string{"a", "b", "c", "d", "e", "f", "g"}
	for size := 1; size < len(all); size++ {
		smaller, larger := view(all[:size]...), view(all[:size+1]...)
		for set := 0; set < 1<<len(all); set++ {
			inSet := func(incarnation Incarnation) bool { return set&(1<<(incarnation[0]-'a')) != 0 }
			outside := func(incarnation Incarnation) bool { return !inSet(incarnation) }
			is.True(!smaller.IsMajority(inSet) || !larger.IsMajority(outside))
		}
	}
}

func TestVoterAndHasCopyFindMembersOfView(t *testing.T) {
	is := is.New(t)
	made := view("a", "b", "c")
	made.Copies = []Incarnation{"a", "c"}
	member, found := made.Voter("b")
	is.True(found)
	is.Equal(member.Address, "b:1")
	_, found = made.Voter("x")
	is.True(!found)
	is.True(made.HasCopy("c"))
	is.True(!made.HasCopy("b"))
}
