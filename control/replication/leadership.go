package replication

import (
	"sort"
	"time"

	"eiderway/control/quorum"
)

type leadershipPhase int

const (
	catchingUp leadershipPhase = iota // has the promises and a state, and sends the state to the others
	installing                        // has proposed the first view of the epoch
	leading                           // the view is committed
)

// leadership is what a node knows as the primary of an epoch.
type leadership struct {
	phase          leadershipPhase
	epoch          quorum.Epoch
	beganAt        time.Duration
	enoughCopiesAt time.Duration // when enough copies had the restamped state; zero: not yet
	base           quorum.View   // view that was taken over; its voters become those of the first view
	committed      quorum.View
	proposed       *quorum.View // not committed yet; at most one
	followers      []*follower  // sorted by incarnation, without this node
	round          uint64       // number of the last round
	roundAt        time.Duration
	pending        *pendingChange
	confirms       []pendingConfirm
}

// hasAsked reports whether the message answers a round of this leadership.
func (l *leadership) hasAsked(answer Message) bool {
	if answer.Epoch != l.epoch || answer.Request == 0 || answer.Request > l.round {
		return false
	}
	return l.follower(answer.From.Incarnation) != nil
}

func (l *leadership) addFollower(follower *follower) {
	l.followers = append(l.followers, follower)
	sort.Slice(l.followers, func(a, b int) bool {
		return l.followers[a].member.Incarnation < l.followers[b].member.Incarnation
	})
}

func (l *leadership) resetSilence(now time.Duration) {
	for _, follower := range l.followers {
		follower.heardAt = now
		follower.behind = false
	}
}

// requireNewAnswers makes pending requests wait for answers to later rounds: messages that were queued while the process was
// frozen prove nothing.
func (l *leadership) requireNewAnswers() {
	if l.pending != nil {
		l.pending.round = l.round + 1
	}
	for index := range l.confirms {
		l.confirms[index].round = l.round + 1
	}
}
