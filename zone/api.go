// Package zone decides when the routers of one tier leave a zone whose nodes fail together, and how they return to it. It
// only gives advice to the splitter, which alone chooses nodes: members of a zone that was left are doubted, so that they
// come after all others, and are still used where the others have no room.
//
// How to use it: New makes a Monitor from a Config. The host names the nodes (Node, Forget), reports how each submission of
// this router ended (RecordOutcome), passes on each datagram of a peer (Receive), calls Step when it is due (Next), and
// after each call does what Effects asks for. Where one router, the holder, numbers the steps for all, the host says whether
// it is this one (SetHolder), distributes its Word, and passes on the words that are to be obeyed (Obey). Package lease
// decides who the holder is and sees to it that no older word arrives after a newer one. The caller passes in the time
// (seconds of a monotonic clock) and small indices as node IDs. Nothing is random: the same calls give the same effects.
//
// Routers exchange counts: how many recent submissions to a zone ended well, late and badly, at one router or at all that a
// gatherer has heard from. They exchange no verdicts, except for the holder's numbered steps. docs/zones.md compares the
// alternatives.
package zone

// All is the receiver that stands for every other router.
const All = -1

// Config is what a Monitor is told at start.
type Config struct {
	Me, Routers int               // index of this router, and the number of all routers
	Zone        string            // zone of this router
	Life        uint32            // identifies this start of the process; differs from that of every earlier start
	Every       float64           // s between the holder's words; 0: there is no holder
	Regions     map[string]string // region of each zone; zones of a region fail together, and a zone without an entry is its own region
}

// Send is a datagram for a peer, or for All.
type Send struct {
	To    int
	Bytes []byte
}

// Doubt asks the splitter to prefer other nodes to this one until a time. A time that has passed ends the doubt; it is given once.
type Doubt struct {
	Node  int
	Until float64
}

// Override is what operators have ordered for a zone.
type Override uint8

const (
	Auto  Override = iota // no order: evidence decides
	Leave                 // the zone is left, whatever the evidence
	Hold                  // the zone stays as it is, used or left
)

func (h Override) String() string { return [...]string{"auto", "leave", "hold"}[h] }

// Kind is the kind of a step.
type Kind int

const (
	Left      Kind = iota // the zone is left
	Returning             // a larger share of the routers uses it again
	Slower                // a smaller share uses it: its nodes answer late
	Back                  // all routers use it again
	Ordered               // operators have ordered something
)

func (k Kind) String() string {
	return [...]string{"left", "returning", "slower", "back", "ordered"}[k]
}

// Event is a step, with the figures that led to it.
type Event struct {
	Kind            Kind
	Zone            string
	Share           float64  // share of the routers that use the zone
	Bad, Late, Good int      // recent outcomes, at all routers
	Voices          int      // routers with bad or late outcomes
	Else            float64  // share of bad or late outcomes in other regions
	Told            bool     // taken because the holder's word said so
	Hand            Override // order that stands
}

// Effects are what the host has to do.
type Effects struct {
	Sends  []Send
	Doubts []Doubt
	Looks  []int // nodes to probe: unused of late, so that it is unknown how fresh their data is
	Events []Event
	Word   string // the holder's newest word, for all routers; "": unchanged
}

// Counts are the counters of a Monitor.
type Counts struct {
	Tells, Bytes, Taken, Spoilt, Old int64 // datagrams sent, their bytes; received: valid, malformed, delayed or overtaken
	Leaves, Returns, Words, Wishes   int64 // zones left and fully returned to, words made, order requests sent to the holder
	Looks                            int64 // probes asked for
}

// State is a zone as this router sees it.
type State struct {
	Zone   string  `json:"zone"`
	Nodes  int     `json:"nodes"`
	Share  float64 `json:"share"`
	Uses   bool    `json:"uses"` // whether this router uses it
	Bad    int     `json:"bad"`
	Late   int     `json:"late"`
	Good   int     `json:"good"`
	Voices int     `json:"voices"`
	Flaps  int     `json:"flaps"` // recent failed returns
	Hand   string  `json:"hand"`
	Number uint64  `json:"number"` // number of the newest order
	Told   bool    `json:"told"`   // left by the holder's word rather than by this router's own decision
	Holder int     `json:"holder"` // router that numbers the steps; -1: none was heard from lately
}

// LeaveEstimate compares the load that would move if operators left a zone with what this router has seen the other zones
// bear. Rates are those of this router.
type LeaveEstimate struct {
	Zone  string  `json:"zone"`
	Now   float64 `json:"now"`   // answers per second from all zones
	Moves float64 `json:"moves"` // those from the zone that is to be left
	Seen  float64 `json:"seen"`  // sum of the other zones' peak rates per second, each while under a tenth of its answers were late or bad
	Stays []int   `json:"stays"` // groups that have members in no other zone
}

const (
	window             = 0.5    // s over which outcomes count: about a dozen per zone at each of a few routers
	windowParts        = 5      // parts of the window, which expire one by one
	countsInterval     = 0.05   // s, at least, between a router's counts of a zone
	reportTTL          = 0.6    // s for which a peer's counts are used: a window and the time on the way
	maxDelay           = 0.25   // s by which a datagram may be slower than that peer's quickest one
	gatherFromRouters  = 64     // from this many routers on, gatherers add up the counts: sending each to all would be too much
	gathererCount      = 5      // gatherers for each zone: most of them may have failed or be cut off
	sumInterval        = 0.1    // s, at least, between a gatherer's sums
	quietSumInterval   = 0.5    // s, at least, between them while less than quietShare is late or bad
	quietShare         = 0.15   // share of late or bad outcomes below which a zone is neither left nor slowed down in its return
	enoughSums         = 2      // a gatherer stays silent if this many of the gatherers before it have sent sums
	sumValidFactor     = 1.6    // intervals for which a sum of theirs counts for that
	sumCoverShare      = 0.8    // share of what this gatherer has heard that such a sum must cover
	minBad             = 8      // bad outcomes at all routers from which a zone may be left
	minBadShare        = 0.35   // share of bad outcomes from which a zone is left: half of the answers lost, less those still awaited
	minLateShare       = 0.6    // the same for late and bad ones: higher, since late answers are still of use
	maxElsewhereShare  = 0.4    // other zones' share of trouble, relative to the zone's, above which the trouble is everywhere
	minDeviations      = 4.0    // standard deviations by which they must differ: high, since zones are checked thousands of times a day
	minVoices          = 3      // routers that must report trouble
	minOwnBad          = 4      // or bad outcomes of this router alone that suffice
	minOwnBadShare     = 0.8    // and the share of its own outcomes that they must make up
	minBadNodes        = 2      // nodes that must have failed: a single bad node is the splitter's matter
	minBadNodeShare    = 0.5    // share of the zone's used nodes that must have failed
	lateFactor         = 4.0    // an answer is late from this many times the usual latency
	lateMargin         = 0.005  // s on top of that: below it, latency varies with the machine's own noise
	learnCount         = 5      // the usual latency is the mean of this many first answers, and then a moving average
	quickerWeight      = 0.1    // weight in it of an answer that is quicker than usual
	slowerWeight       = 0.01   // weight of one that is slower, but not late
	lateWeight         = 0.002  // weight of a late one: latency that stays high becomes usual after some hundred answers
	minLeftTime        = 1.0    // s for which a zone is left before any router returns
	maxLeftTime        = 16.0   // s up to which that time doubles with each recent failed return
	minFlapShare       = 0.25   // a return that failed below this share was a mere trial and isn't counted
	flapMemory         = 60.0   // s after which failed returns are forgotten
	shareSteps         = 1e4    // a share is a multiple of 1/shareSteps, since a word has four digits of it
	minFirstShare      = 0.0625 // share of the routers that return first
	minFirstRouters    = 2.0    // or at least this many routers
	shareGrowth        = 2.0    // factor of each further step
	carefulGrowth      = 1.2    // smaller factor from half of the share at which nodes were late
	stepInterval       = 0.4    // s, at least, between two steps
	minStepGood        = 4      // good outcomes that a step needs
	maxStepWait        = 3.0    // s after which a step is taken without them, as where there is no traffic
	failedReturnShare  = 0.25   // share of bad outcomes with which a return has failed
	minFailedReturnBad = 3      // and so many bad ones at least
	lateReturnShare    = 0.3    // share of late outcomes from which the share of routers is halved
	nodeProbeRate      = 6.0    // probes per second that a node bears during a return, from all routers that use its zone together
	probeAfterReturn   = 3.0    // s after the last step for which probes go on
	doubtTime          = 0.6    // s for which a doubt is given
	renewInterval      = 0.2    // s after which it is renewed
	wordTTL            = 1.5    // s without a word of the holder after which each router decides by its own sums
	maxMissedWords     = 3.0    // or this many intervals between words, if that is longer
	maxLead            = 0.5    // s by which own evidence may be ahead of the holder's word
	orderRetryInterval = 0.1    // s between tries to have an order carried out
	orderTimeout       = 5.0    // s after which an order is given up
	maxWordEntries     = 5      // zones in a word: a datagram of package lease has room for no more
	peakHalfLife       = 600.0  // s in which the peak rate of a zone is halved
)
