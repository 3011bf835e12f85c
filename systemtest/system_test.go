package systemtest

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"eiderway/testinstance"
)

// frozenFor is longer than the takeover by another controller and longer than a gateway's lease.
const frozenFor = 4 * time.Second

// TestLoadSurvivesLossOfLeaders kills and freezes the leading controller, kills a gateway, and finally crashes the primary of the
// service together with the leading controller. Orders and writes must be acknowledged again each time.
func TestLoadSurvivesLossOfLeaders(t *testing.T) {
	w := startWorld(t)

	killed := w.leader()
	w.controllers[killed].kill()
	w.await("another controller leads", func() bool { leads := w.leadingNow(); return leads >= 0 && leads != killed })
	w.awaitOrders("after the leading controller was killed")
	w.startController(killed, false)

	w.gateways[0].kill()
	w.awaitWrites("after a gateway was killed")
	w.startGateway(0)
	w.await("the gateway is ready again", func() bool { return w.isReady(0) })

	frozen := w.leader()
	thaw := time.After(frozenFor)
	w.controllers[frozen].signal(syscall.SIGSTOP)
	w.await("another controller leads", func() bool { leads := w.leadingNow(); return leads >= 0 && leads != frozen })
	w.awaitOrders("while the old leader is frozen")
	<-thaw
	w.controllers[frozen].signal(syscall.SIGCONT)
	w.awaitOrders("after the old leader resumed")
	w.awaitWrites("after the old leader resumed")

	w.awaitMembers()
	crashed := w.service.Leader()
	w.service.Cut(crashed, w.lagging(crashed), true) // the lagging replica must not be promoted
	w.awaitWrites("with one replica that lags")
	killed = w.leader()
	w.controllers[killed].kill()
	crashed.Crash()
	w.awaitNewPrimary(crashed)
	w.awaitWrites("after the primary crashed during a takeover")
	w.startController(killed, false)
	if err := crashed.Restart(); err != nil {
		t.Fatal(err)
	}
	w.awaitOrders("in the end")
	w.conclude()
}

// TestPrimaryBackUnderNewID guards against a service that is refused for ever: its primary crashes and is back at once, with its log and under a
// new ID, several times in a row. Writes must be acknowledged each time, also after all processes were killed and started again.
func TestPrimaryBackUnderNewID(t *testing.T) {
	w := startWorld(t)
	w.awaitWrites("at first")
	for turn, away := range []time.Duration{150 * time.Millisecond, time.Second, 100 * time.Millisecond, 100 * time.Millisecond} {
		crashed := w.service.Leader()
		crashed.Crash()
		time.Sleep(away)
		if _, err := crashed.RestartAs(fmt.Sprintf("back-%d", turn)); err != nil {
			t.Fatal(err)
		}
		if away >= 150*time.Millisecond { // the last two follow at once
			w.awaitWrites(fmt.Sprintf("after the primary was away for %v", away))
		}
	}
	w.awaitWrites("after the primary was away twice in a row")
	w.killProcesses()
	w.startProcesses()
	w.awaitWrites("after all processes were killed")
	w.conclude()
}

// killProcesses kills all controllers and gateways at once.
func (w *world) killProcesses() {
	all := slices.Concat(w.controllers, w.gateways)
	for _, one := range all {
		one.signal(syscall.SIGKILL)
	}
	for _, one := range all {
		<-one.ended
	}
}

// startProcesses starts all controllers and gateways again.
func (w *world) startProcesses() {
	for number := range w.controllers {
		w.startController(number, false)
	}
	for number := range w.gateways {
		w.startGateway(number)
	}
}

// lagging returns the first of the replicas, which the test makes lag.
func (w *world) lagging(primary *testinstance.Instance) *testinstance.Instance {
	for _, one := range w.instances {
		if one != primary {
			return one
		}
	}
	return nil
}

// TestOrdersSurviveKillOfAllControllers kills all controllers right after an acknowledgement, and later the leading one, whose disk is
// lost, right after another.
func TestOrdersSurviveKillOfAllControllers(t *testing.T) {
	w := startWorld(t)

	w.placeNext(1)
	for _, one := range w.controllers {
		one.kill()
	}
	for number := range w.controllers {
		w.startController(number, false)
	}
	w.awaitOrders("after all controllers were killed")
	w.awaitWrites("after all controllers were killed")

	w.awaitMembers()
	wiped := w.leader()
	w.placeNext(1)
	w.controllers[wiped].kill()
	if err := os.RemoveAll(w.dataOf(wiped)); err != nil {
		t.Fatal(err)
	}
	w.startController(wiped, false)
	w.awaitOrders("after a disk was lost")
	w.awaitMembers()

	killed := w.leader()
	w.controllers[killed].kill() // the state that the wiped one has copied since must be enough
	w.awaitOrders("without the leader and with one whose disk was lost")
	w.startController(killed, false)
	w.awaitWrites("in the end")
	w.conclude()
}

// TestOrdersAreAnsweredDuringRollingRestart restarts all controllers gracefully, one after the other, under a stream
// of orders. Every order must get a clear answer.
func TestOrdersAreAnsweredDuringRollingRestart(t *testing.T) {
	w := startWorld(t)
	for number := range w.controllers {
		w.awaitMembers()
		w.controllers[number].terminate()
		w.awaitOrders("while a controller is replaced")
		w.startController(number, false)
		w.awaitOrders("after a controller was replaced")
	}
	w.awaitWrites("after the rolling restart")
	w.conclude()
	for _, order := range w.orders.Completed() {
		if order.Status == 0 {
			t.Errorf("configuration %d got no clear answer in %d tries", order.Number, order.Tries)
		}
	}
}

// TestHandOverWithFrozenGateway drains the primary while a gateway is stopped. The handover has to wait until that gateway can
// no longer send statements to the old primary.
func TestHandOverWithFrozenGateway(t *testing.T) {
	t.Parallel() // mostly waits
	w := startWorld(t)
	thaw := time.After(frozenFor)
	w.gateways[1].signal(syscall.SIGSTOP)
	drained := w.service.Leader()
	drained.Drain()
	w.awaitNewPrimary(drained)
	<-thaw
	w.gateways[1].signal(syscall.SIGCONT)
	w.awaitWrites("after the hand-over")
	w.await("the gateway is ready again", func() bool { return w.isReady(1) })
	w.conclude()
}

// TestFrozenPrimaryAndGateway freezes the primary together with a gateway. Once another instance leads, both resume at the
// same moment: the old primary goes on for a second, and the gateway's table still names it.
func TestFrozenPrimaryAndGateway(t *testing.T) {
	t.Parallel() // mostly waits
	w := startWorld(t)
	old := w.service.Leader()
	old.Freeze(true)
	w.gateways[1].signal(syscall.SIGSTOP)
	w.awaitNewPrimary(old)
	w.awaitWrites("at the new primary")
	woken := w.history.Statements()
	old.Freeze(false)
	w.gateways[1].signal(syscall.SIGCONT)
	w.await("the gateway is ready again", func() bool { return w.isReady(1) })
	w.await("clients have gone on", func() bool { return len(w.history.Statements()) > len(woken)+50*clientCount })
	w.conclude()
}
