package systemtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

const (
	lateSessions    = 40                      // at the gateway that is terminated
	firstLate       = 200                     // number of their first client
	latestFirst     = 4 * time.Second         // after the SIGTERM at which a session sends its first statement
	longestWork     = 1600 * time.Millisecond // of an instance on one statement; shorter than the timeout of the route
	lateKey         = "late"                  // begins the keys of these sessions
	terminatedTwice = 2 * gatewayCount
)

// slowWork draws for how long instances work on the statements of late sessions, and remembers which ones they began.
type slowWork struct {
	mutex  sync.Mutex
	random *rand.Rand
	began  map[string]bool // by key
}

func (s *slowWork) extra(key string) time.Duration {
	if !strings.HasPrefix(key, lateKey) {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.began[key] = true
	return time.Duration(s.random.Int64N(int64(longestWork)))
}

func (s *slowWork) hasBegun(key string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.began[key]
}

// TestTerminatedGatewayAnswersWhatItPassedOn stops gateways in turn, while sessions that were open before send their first
// statement at any time of the shutdown, and instances work long on it. No statement that reached an instance may lose its
// answer: nothing goes wrong but a planned end.
func TestTerminatedGatewayAnswersWhatItPassedOn(t *testing.T) {
	t.Parallel() // mostly waits
	slow := &slowWork{random: rand.New(rand.NewPCG(1, 1)), began: map[string]bool{}}
	w := startWorldWith(t, func(settings *testinstance.Settings) {
		settings.ExtraWork = slow.extra
		settings.Slots = 4 * lateSessions
		settings.MaxConnections = 8 * lateSessions
	})
	passedOn := 0
	for turn := range terminatedTwice {
		passedOn += w.terminateUnderLateSessions(turn, slow)
	}
	if passedOn < lateSessions {
		t.Errorf("only %d late statements were passed on", passedOn)
	}
	w.awaitWrites("after the gateways were stopped in turn")
	w.conclude()
}

// terminateUnderLateSessions terminates a gateway and starts it again, and returns how many late statements were passed on.
func (w *world) terminateUnderLateSessions(turn int, slow *slowWork) int {
	w.Helper()
	number := turn % gatewayCount
	var sessions []*workload.Session
	for index := range lateSessions {
		session := workload.OpenSession(firstLate+index, w.fronts()[number], w.clientSettings())
		if session == nil {
			w.Fatal("a session was refused")
		}
		defer session.Close()
		sessions = append(sessions, session)
	}
	began := time.Now()
	var asking sync.WaitGroup
	for index, session := range sessions {
		at := time.Duration(index) * latestFirst / lateSessions
		asking.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			w.askLate(session, fmt.Sprintf("%s%d.%d", lateKey, turn, index), index%2 == 0, at, slow)
		})
	}
	w.gateways[number].terminate()
	asking.Wait()
	w.startGateway(number)
	w.await("the gateway is ready again", func() bool { return w.isReady(number) })
	passedOn := 0
	for index := range lateSessions {
		if slow.hasBegun(fmt.Sprintf("%s%d.%d", lateKey, turn, index)) {
			passedOn++
		}
	}
	return passedOn
}

// askLate sends the first statement of a session, and reports an error if it was passed on and its connection ended without an answer.
func (w *world) askLate(session *workload.Session, key string, writes bool, at time.Duration, slow *slowWork) {
	var statement workload.Statement
	if writes {
		statement = session.Put(key, "x")
	} else {
		statement = session.Fetch(key)
	}
	isAnswered := statement.Outcome == workload.Done || statement.Code != ""
	if !isAnswered && slow.hasBegun(key) {
		w.Errorf("LOST: %q, sent %v after the SIGTERM, was passed on and ended without an answer after %v", statement.Text, at,
			statement.Answered.Sub(statement.Sent))
	}
}
