package replication

import (
	"sort"
	"time"

	"eiderway/control/quorum"
)

type leadershipPhase int

const (
	bringingUp leadershipPhase = iota // has the promises and a state, and brings the others to it
	installing                        // has proposed the first view of the epoch
	leading                           // the view is committed
)

// leadership is what a node knows as the primary of an epoch.
type leadership struct {
	phase     leadershipPhase
	epoch     quorum.Epoch
	began     time.Duration
	enoughAt  time.Duration // when enough copies had the state; zero: not yet
	base      quorum.View   // of which the voters are taken over
	committed quorum.View
	proposed  *quorum.View // under way; at most one
	followers []*follower  // sorted by incarnation; without this node
	round     uint64       // number of the last word to all
	roundAt   time.Duration
	pending   *pendingChange
	confirms  []pendingConfirm
}

// asked tells whether the message answers a word of this leadership.
func (l *leadership) asked(answer Message) bool {
	if answer.Epoch != l.epoch || answer.Request == 0 || answer.Request > l.round {
		return false
	}
	return l.follower(answer.From.Incarnation) != nil
}

func (l *leadership) addFollower(one *follower) {
	l.followers = append(l.followers, one)
	sort.Slice(l.followers, func(a, b int) bool {
		return l.followers[a].member.Incarnation < l.followers[b].member.Incarnation
	})
}

func (l *leadership) forgetSilence(now time.Duration) {
	for _, one := range l.followers {
		one.heard = now
		one.behind = false
	}
}

// askAgain lets only answers to words from now on count: what waited here while the process stood still proves nothing.
func (l *leadership) askAgain() {
	if l.pending != nil {
		l.pending.round = l.round + 1
	}
	for index := range l.confirms {
		l.confirms[index].round = l.round + 1
	}
}
