// Package zone decides when the routers of one tier leave a zone whose nodes fail together, and how they return. It hands
// facts to the splitter, which stays the only one to choose: members of a zone that is left are doubted, so that they come
// after all others, and are used still where the others have no room.
//
// How to call it: New makes a Monitor from a Config. The host names the nodes (Node, Forget), tells how each submission of this
// router ended (RecordOutcome), hands over each datagram of a peer (Receive), calls Step when it is due (Next), and after each call does
// what Effects asks for. Where one router numbers the steps for all, the host says whether that is this one (SetHolder), has its
// Words told, and hands over those that are to be obeyed (Obey); who holds, and that no older word comes after a newer one,
// is package lease's matter. Time (seconds of a clock that no step moves) is handed in, ids are small indices that the host
// gives. There is no chance in it: one history of calls gives one history of effects.
//
// What travels are counts: how many submissions to a zone ended well, late and badly of late, at one router, or at all that
// a gatherer has heard of. No verdict does, but the holder's numbered steps. The ways weighed: docs/zones.md.
package zone

// All stands for every other router.
const All = -1

// Config are what a Book is told at start.
type Config struct {
	Me, Routers int
	Zone        string            // this router's
	Life        uint32            // differs from that of an earlier start
	Every       float64           // s between the holder's words; 0: nobody numbers steps
	Regions     map[string]string // of zones that fail together for one cause; one that is not named is its own
}

// Send is a datagram for a peer, or for All.
type Send struct {
	To    int
	Bytes []byte
}

// Doubt says that a node is to come after others until a time; one that is past ends it, and is said once.
type Doubt struct {
	Node  int
	Until float64
}

// Override is what operators have ordered for a zone.
type Override uint8

const (
	Auto  Override = iota // nothing: evidence decides
	Leave                 // it is left, whatever evidence says
	Hold                  // it stays as it is
)

func (h Override) String() string { return [...]string{"auto", "leave", "hold"}[h] }

// Kind of a step.
type Kind int

const (
	Left      Kind = iota // the zone is left
	Returning             // a share of the routers uses it again
	Slower                // a smaller share does: its nodes are late
	Back                  // all do
	Ordered               // operators have ordered something
)

func (k Kind) String() string {
	return [...]string{"left", "returning", "slower", "back", "ordered"}[k]
}

// Event is a step, with the figures it was taken on.
type Event struct {
	Kind            Kind
	Zone            string
	Share           float64 // of routers that use it
	Bad, Late, Good int     // of all routers, of late
	Voices          int     // routers that had bad or late ones
	Else            float64 // share of bad ones in other zones
	Told            bool    // the holder's word said so
	Hand            Override
}

// Effects are what the host is asked to do.
type Effects struct {
	Sends  []Send
	Doubts []Doubt
	Looks  []int // nodes to probe: nobody has used them, so nobody knows how fresh they are
	Events []Event
	Word   string // the holder's newest, to all; "": no news
}

// Counts tell what a Monitor has done.
type Counts struct {
	Tells, Bytes, Taken, Spoilt, Old int64
	Leaves, Returns, Words, Wishes   int64
	Looks                            int64
}

// State is a zone as this router sees it.
type State struct {
	Zone   string  `json:"zone"`
	Nodes  int     `json:"nodes"`
	Share  float64 `json:"share"`
	Uses   bool    `json:"uses"` // this router does
	Bad    int     `json:"bad"`
	Late   int     `json:"late"`
	Good   int     `json:"good"`
	Voices int     `json:"voices"`
	Flaps  int     `json:"flaps"`
	Hand   string  `json:"hand"`
	Number uint64  `json:"number"` // of the newest order
	Told   bool    `json:"told"`   // by the holder's word, else by this router's own sums
	Holder int     `json:"holder"` // who numbers steps; -1: nobody is heard
}

// LeaveEstimate tells what this router has seen the other zones bear, before a zone is left by hand. Rates are of this router.
type LeaveEstimate struct {
	Zone  string  `json:"zone"`
	Now   float64 `json:"now"`   // answers a second of all zones
	Moves float64 `json:"moves"` // of them from the zone that is to be left
	Seen  float64 `json:"seen"`  // the most a second that the others gave together while under a tenth were late or bad
	Stays []int   `json:"stays"` // groups that have members in this zone only
}

const (
	window             = 0.5    // s over which outcomes count: some dozen of a zone's at each of a few routers
	windowParts        = 5      // parts in which they age
	countsInterval     = 0.05   // s between a router's counts of a zone
	reportTTL          = 0.6    // s that a peer's counts are gone by: a window and its way
	maxDelay           = 0.25   // s that a datagram may have been longer on its way than the quickest of that peer's
	gatherFromRouters  = 64     // routers from which on counts are gathered by some: each to all would be too many,
	gathererCount      = 5      // for each zone: most may be gone or cut off
	sumInterval        = 0.1    // s between their sums, or
	quietSumInterval   = 0.5    // s while a smaller share than
	quietShare         = 0.15   // of a zone's outcomes is late or bad: it is neither left nor held back for that
	enoughSums         = 2      // of them that are enough, the first ones; who has not
	sumValidFactor     = 1.6    // times that long said
	sumCoverShare      = 0.8    // of what the next one has heard is made up for
	minBad             = 8      // bad ones, of all routers, that make a zone's trouble worth a look
	minBadShare        = 0.35   // of its outcomes from which it is left: half of the answers lost, less those still awaited
	minLateShare       = 0.6    // the same where late ones count: most of them, since late answers are of use
	maxElsewhereShare  = 0.4    // of a zone's share that other zones may have: with more the trouble is everywhere
	minDeviations      = 4.0    // by which it must differ: looks are taken thousands of times a day
	minVoices          = 3      // routers that must have bad ones,
	minOwnBad          = 4      // or so many of this router's own,
	minOwnBadShare     = 0.8    // of its own, and
	minBadNodes        = 2      // nodes that must have failed: one bad node is the splitter's matter
	minBadNodeShare    = 0.5    // of the zone's nodes that were used
	lateFactor         = 4.0    // times its usual latency from which an answer is late,
	lateMargin         = 0.005  // s, and so much: below it, the machine's own unrest
	learnCount         = 5      // answers from which the usual is known, by their mean; then
	quickerWeight      = 0.1    // weight of one that is quicker than usual,
	slowerWeight       = 0.01   // of one that is slower, and
	lateWeight         = 0.002  // of a late one: what stays so is usual after some hundred
	minLeftTime        = 1.0    // s that a zone is left for before anybody returns,
	maxLeftTime        = 16.0   // doubled with each return that failed of late, up to this
	minFlapShare       = 0.25   // a return that failed before it came so far was a look, and counts for nothing
	flapMemory         = 60.0   // s after which failed returns are forgotten
	shareSteps         = 1e4    // a share is a whole number of such parts, as a word has it
	minFirstShare      = 0.0625 // of the routers return first,
	minFirstRouters    = 2.0    // but so many at least,
	shareGrowth        = 2.0    // then twice as many,
	carefulGrowth      = 1.2    // or so much more beyond half of the share at which nodes were late
	stepInterval       = 0.4    // s after each step, at least,
	minStepGood        = 4      // and with so many good ones since
	maxStepWait        = 3.0    // s after which a step without traffic is taken all the same
	failedReturnShare  = 0.25   // share of bad ones with which a return has failed, of at least
	minFailedReturnBad = 3      // so many
	lateReturnShare    = 0.3    // share of late ones from which the share is halved
	nodeProbeRate      = 6.0    // probes a second that a node of a zone bears that is returned to, from all routers that use it,
	probeAfterReturn   = 3.0    // s beyond the last step
	doubtTime          = 0.6    // s that a doubt is given for, and renewed in
	renewInterval      = 0.2    // s
	wordTTL            = 1.5    // s without a word of the holder's after which each goes by its own sums,
	maxMissedWords     = 3.0    // or so many words' time
	maxLead            = 0.5    // s by which own evidence may be ahead of the holder's word
	orderRetryInterval = 0.1    // s between tries of an order
	orderTimeout       = 5.0    // s until it is given up
	maxWordEntries     = 5      // zones in a word: what a datagram of package lease has room for
	peakHalfLife       = 600.0  // s by which what zones were seen to bear is half forgotten
)
