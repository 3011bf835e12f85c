package lease

// This file owns a router's part as one that obeys: whose words on a task it takes. It must never obey a token that is older
// than one it has obeyed, nor a new one that a quorum of the council does not call the newest.

// word is what a holder says.
type word struct {
	by     who
	token  uint64
	number uint64
	text   string
	asks   bool // it wants to know that it is obeyed
}

// fence is what a router remembers of a task that it obeys.
type fence struct {
	now   word // obeyed
	next  word // under a token that is being checked
	nonce uint64
	since float64      // of that check
	yes   map[int]bool // who has confirmed it
}

// verdict on a word.
type verdict int

const (
	obey    verdict = iota // and tell the host
	again                  // it is obeyed already
	stale                  // another came after it
	unknown                // it has to be checked
	waits                  // it is being checked
)

// takes judges a word that has come. unknown asks for a check under a nonce that was never used.
func (f *fence) takes(w word, now float64, nonce uint64, g guards) verdict {
	switch {
	case w.by == f.now.by && w.token == f.now.token:
		if w.number <= f.now.number {
			return again
		}
		f.now = w
		return obey
	case g.fence && w.token <= f.now.token:
		return stale
	case !g.check:
		f.now = w
		return obey
	case f.yes != nil && now-f.since < patience && (w.by != f.next.by || w.token != f.next.token) && w.token <= f.next.token:
		return waits
	case f.yes != nil && now-f.since < patience && w.by == f.next.by && w.token == f.next.token:
		if w.number > f.next.number {
			f.next = w
		}
		return waits
	}
	f.next, f.nonce, f.since, f.yes = w, nonce, now, map[int]bool{}
	return unknown
}

// says takes this router's own word, as the holder. A check that is under way asks for what came before it: its answers, late
// as they may be, count no more.
func (f *fence) says(w word, g guards) bool {
	if g.fence && w.by != f.now.by && w.token <= f.now.token {
		return false
	}
	f.now = w
	if g.own {
		f.yes = nil
	}
	return true
}

// confirmed takes a member's answer to a check. Where a quorum of every council has said yes, the word is to be obeyed.
func (f *fence) confirmed(from int, nonce uint64, yes bool, councils [][]int, g guards) (word, bool) {
	if f.yes == nil || nonce != f.nonce || !yes {
		return word{}, false
	}
	f.yes[from] = true
	for _, council := range councils {
		n := 0
		for _, r := range council {
			if f.yes[r] {
				n++
			}
		}
		if n <= len(council)/2 {
			return word{}, false
		}
	}
	f.yes = nil
	if g.fence && f.next.token <= f.now.token {
		return word{}, false
	}
	f.now = f.next
	return f.now, true
}
