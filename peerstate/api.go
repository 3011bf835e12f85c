// Package peerstate decides what the routers of one tier tell each other of the nodes, so that what one of them has seen need not
// be asked by all: which router keeps the word on a group, what it is told, when it tells all the others, and which nodes it
// looks at for them.
//
// How to call it: New makes a Book from Terms. The host names the members of the list (Node, Forget), says what this
// router saw itself (Saw), that a read came (Arrived) or that a txn waits for a primary (Want), hands over each datagram
// of a peer (Take), calls Step when it is due (Next), and after each call does what Effects asks for. Time (seconds of
// Unix time) is handed in, ids are small indices that the host gives. One seed and one history of calls give one history
// of effects.
//
// What travels is a fact and its own date: a position that a node has told, which holds from then on, whatever becomes of
// the message. So a word that is late, doubled, reordered or from before a restart can do no harm; it proves less. A role
// that travels is a hint whom to ask. The ways weighed: docs/knowing.md.
package peerstate

// All stands for every other router.
const All = -1

// Terms are what a Book is told at start.
type Terms struct {
	Me, Routers int
	Seed        int64
	Bound       float64 // s, the shortest bound of a read's age: what is told must be younger when it comes
}

// Word is what a node has told, of itself, to some router.
type Word struct {
	Node    int
	Pos     float64 // it has applied all commits up to this time
	Primary bool    // it was primary then
	Load    int     // submissions of all routers that are out there
}

// Told are words on a group that came from a peer, for the module.
type Told struct {
	Group int
	Until float64 // peers look at the group for all until then
	Heard bool    // a peer has spoken; else its word is only expected
	Words []Word
}

// Send is a datagram for a peer, or for All.
type Send struct {
	To    int
	Bytes []byte
}

// Effects are what the host is asked to do.
type Effects struct {
	Sends []Send
	Looks []int // nodes to probe for all
	Told  []Told
}

// Counts tell what a Book has done.
type Counts struct {
	Wants, News, Tells, Replies, Looks, Bytes int64 // sent; bytes as they left, whoever receives them
	Taken, Spoilt, Unknown, Silent            int64 // came; Silent are keepers that did not answer
}

const (
	everyShare  = 0.4   // of the bound between tells: with two ways at their latest a word is still young when the next comes
	leastEvery  = 0.02  // s, and
	mostEvery   = 1.0   // s, whatever the bound
	lives       = 3.0   // tells that may be missed until a keeper counts as silent
	patience    = 0.15  // s until a keeper that was asked must have spoken: there and back, and a look at a node
	deaf        = 5.0   // s for which one that did not is passed over
	trustGain   = 0.2   // weight of the newest search in the share of keepers that speak when asked: half a dozen groups tell
	trustFrom   = 0.5   // share from which reads wait for a word
	lingers     = 2.0   // s that a group is kept after the last want
	wantsOf     = 4.0   // wants that reach a keeper while each router could send one: more say nothing new
	lackGain    = 0.1   // weight of the newest read in the share of reads that come without a proof of our own: the last dozen
	lackFrom    = 0.3   // share from which a group is wanted: below it what others know would spare little
	newsShare   = 0.5   // of the time between tells that a position must be newer than the told one to be news
	newsLess    = 0.8   // factor on a router's part in the news of a node whose told positions are young,
	newsMore    = 1.5   // and where they are old
	newsLeast   = 0.02  // part that is left: several of 300 routers
	youngShare  = 0.6   // of the time between tells up to which a told position is young
	keeperFor   = 60.0  // s after its last word for which a keeper is told of submissions: they show that its words are of use
	usesFor     = 2.0   // s after its last word on a group for which a router is told of it
	mostUse     = 0.4   // share of the routers from which all are told: who is not asks, and waits, and looks for itself where words are lost
	nextKeepers = 3     // that are told in any case
	looksFor    = 2.0   // looks that a want pays for: as many as a read of its own would have sent
	looksMost   = 12.0  // and that may be saved up
	lookAfter   = 0.5   // of the bound without news of a node until it is looked at
	lookAgain   = 0.1   // s between looks at a node: reports are hardly refreshed sooner
	hurry       = 0.3   // s that a group is looked at as a whole after a word that a txn waits for its primary
	future      = 0.02  // s that a position may be ahead of the clock here
	steps       = 100.0 // parts of a bound in which ages travel
	outLasts    = 3.0   // s after a router's last word on a node for which what it has out there counts: its end was lost
	nearBy      = 64    // words on a node by which one may be overtaken, or so many lost; who is further off has started anew
)
