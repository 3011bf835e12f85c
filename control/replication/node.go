package replication

import (
	"time"

	"eiderway/control/quorum"
)

// Node decides what one controller does about the control state.
type Node struct{ settings Settings }

// NewNode returns a node that has what was on its disk.
func NewNode(now time.Duration, settings Settings, durable Durable) *Node {
	return &Node{settings: settings}
}

// Step takes in one thing that happened.
func (n *Node) Step(now time.Duration, input Input) Effects { return Effects{} }

// Role of the node.
func (n *Node) Role() Role { return Outsider }

// View is the newest view known here.
func (n *Node) View() quorum.View { return quorum.View{} }

// PrimaryMember is the primary of the newest view known here.
func (n *Node) PrimaryMember() (quorum.Member, bool) { return quorum.Member{}, false }

// Epoch of the view that this node leads.
func (n *Node) Epoch() quorum.Epoch { return 0 }

// Stamp of the last change.
func (n *Node) Stamp() quorum.Stamp { return quorum.Stamp{} }

// MayPropose tells whether a change would be taken now.
func (n *Node) MayPropose() bool { return false }

// Entry of the committed state.
func (n *Node) Entry(key string) ([]byte, bool) { return nil, false }

// Entries of the committed state, sorted by key.
func (n *Node) Entries(prefix string) []Mutation { return nil }

// Left tells that the process may end.
func (n *Node) Left() bool { return false }

// Dropped counts messages that were thrown away as foreign, old or unasked.
func (n *Node) Dropped() uint64 { return 0 }
