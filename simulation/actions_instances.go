package simulation

import (
	"fmt"
	"net/http"
	"time"

	"eiderway/control/controller"
)

// Troubles and ends of instances, and troubles of the platform.

func crashAction(w *World, a arguments) {
	pause, returns := a.time("for")
	newID, renamed := a.after("as")
	for _, name := range w.resolve(a.word(0)) {
		one := w.instanceByID(name)
		one.crash()
		switch {
		case returns && renamed:
			w.schedule.after(pause, func() { one.restartAs(newID) })
		case returns:
			w.schedule.after(pause, one.restart)
		}
	}
}

func drainAction(w *World, a arguments) {
	successor, _ := a.after("by")
	for _, name := range w.resolve(a.word(0)) {
		w.instanceByID(name).drain(successor)
	}
}

func leaveAction(w *World, a arguments) {
	successor, _ := a.after("by")
	for _, name := range w.resolve(a.word(0)) {
		leaving := w.instanceByID(name)
		leaving.replacement = successor
		leaving.leaveWithoutDrain(a.has("beating"))
	}
}

func joinAction(w *World, a arguments) {
	name, _ := a.after("to")
	joined := w.service(name)
	w.addInstance(joined, a.word(0), a.word(0)+":5432")
}

func giveUpAction(w *World, a arguments) {
	service := a.word(0)
	makeInput := func(call controller.CallID) controller.Input {
		return controller.GiveUp{Call: call, Service: service, By: "operator", At: time.Unix(0, int64(w.now()))}
	}
	acting := w.acting()
	if acting == nil {
		return
	}
	w.callControl("operator1", acting.member.Control, makeInput, func(result callResult) {
		w.note("operator1", fmt.Sprintf("give-up %s: %d %s", service, result.reply.Status, result.reply.Body))
		given := result.outcome == callAnswered && result.reply.Status == http.StatusOK
		w.giveUps = append(w.giveUps, given)
		if given {
			w.judge.givenUp(service)
		}
	})
}

func lateBeatsAction(w *World, a arguments) { a.setShareFor(w, &w.lateBeats) }

func platformAction(w *World, a arguments) {
	switch a.word(0) {
	case "slow":
		by, _ := a.time("slow")
		pause, _ := a.time("for")
		w.platform.slow += by
		w.schedule.after(pause, func() { w.platform.slow -= by })
	case "lose-call":
		w.platform.loseCalls++
	case "lose-answer":
		w.platform.loseAnswers++
	case "late":
		w.platform.late, _ = a.time("late")
	default:
		a.fail("unknown trouble of the platform")
	}
}
