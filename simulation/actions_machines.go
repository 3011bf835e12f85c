package simulation

import (
	"strings"
	"time"

	"eiderway/control/controller"
)

// Troubles of processes and machines.

func killAction(w *World, a arguments) {
	pause, found := a.time("for")
	if !found {
		pause = ownRestart
	}
	for _, one := range a.machines(w, a.word(0)) {
		w.troubled(one)
		one.end(LosesSome)
		w.schedule.after(pause, func() {
			w.troubled(one)
			one.start()
			w.assess()
		})
	}
	for _, name := range w.resolve(a.word(0)) {
		if one := w.gatewayByName(name); one != nil {
			one.lastTrouble = w.now()
			one.kill()
			w.schedule.after(pause, func() {
				one.lastTrouble = w.now()
				one.start()
			})
		}
	}
	w.assess()
}

func powerAction(w *World, a arguments) {
	how := LosesSome
	if text, found := a.after("loses"); found {
		how = map[string]PowerLoss{"all": LosesAll, "some": LosesSome, "none": LosesNone}[text]
	}
	pause, returns := a.time("for")
	for _, one := range a.machines(w, a.word(0)) {
		w.troubled(one)
		one.powerOff(how)
		if returns {
			w.schedule.after(pause, func() { w.powerOn(one) })
		}
	}
	w.assess()
}

func (w *World) powerOn(one *machine) {
	w.troubled(one)
	one.powered = true
	one.start()
	w.assess()
}

func wipeAction(w *World, a arguments) {
	pause, found := a.time("for")
	if !found {
		pause = ownRestart
	}
	for _, one := range a.machines(w, a.word(0)) {
		w.troubled(one)
		one.powerOff(LosesAll)
		one.disk.wipe()
		w.schedule.after(pause, func() { w.powerOn(one) })
	}
	w.assess()
}

func freezeAction(w *World, a arguments) {
	pause, _ := a.time("for")
	for _, name := range w.resolve(a.word(0)) {
		if one := w.machineByName(name); one != nil && one.running {
			w.freezeMachine(one, pause)
		}
		if one := w.gatewayByName(name); one != nil {
			one.lastTrouble = w.now()
			one.freeze()
			w.schedule.after(pause, func() {
				one.lastTrouble = w.now()
				one.thaw()
			})
		}
		if one := w.instanceByID(name); one != nil {
			one.frozen = true
			w.schedule.after(pause, func() { one.frozen = false })
		}
	}
	w.assess()
}

func (w *World) freezeMachine(one *machine, pause time.Duration) {
	w.troubled(one)
	life := one.life
	one.freeze()
	w.schedule.after(pause, func() {
		w.troubled(one)
		if one.life == life {
			one.thaw()
		}
		w.assess()
	})
}

func terminateAction(w *World, a arguments) {
	pause, found := a.time("for")
	if !found {
		pause = w.plan.Bounds.Grace + ownRestart
	}
	for _, one := range a.machines(w, a.word(0)) {
		w.troubled(one)
		one.terminate(w.plan.Bounds.Grace)
		w.schedule.after(pause, func() {
			w.troubled(one)
			one.start()
			w.assess()
		})
	}
	w.assess()
}

func replaceAction(w *World, a arguments) {
	for index, one := range a.machines(w, a.word(0)) {
		w.troubled(one)
		one.powerOff(LosesSome)
		one.gone = true
		w.unlistMachine(one)
		w.join(a.successor(index))
	}
	w.assess()
}

func (a arguments) successor(index int) string {
	text, found := a.after("by")
	if !found {
		return ""
	}
	return strings.Split(text, ",")[index]
}

// join starts a new machine with an empty disk. Its seeds are three of the list of the moment.
func (w *World) join(name string) {
	if name == "" {
		return
	}
	made := w.addMachine(name, addressesOf(w.seedNames()), false)
	w.troubled(made)
	w.listMachine(made)
	made.start()
}

func retireAction(w *World, a arguments) {
	for index, one := range a.machines(w, a.word(0)) {
		w.troubled(one)
		w.unlistMachine(one)
		one.terminate(w.plan.Bounds.Grace)
		w.join(a.successor(index))
		w.schedule.after(w.plan.Bounds.Grace, func() {
			w.troubled(one)
			one.powerOff(LosesSome)
			one.gone = true
			w.assess()
		})
	}
	w.assess()
}

func returnAction(w *World, a arguments) {
	for _, one := range a.machinesNamed(w, a.word(0)) {
		one.gone = false
		w.powerOn(one)
	}
}

// machinesNamed takes plain names, also of machines that have been removed.
func (a arguments) machinesNamed(w *World, text string) []*machine {
	var machines []*machine
	for _, name := range strings.Split(text, ",") {
		machines = append(machines, w.machineByName(name))
	}
	return machines
}

func seedsAction(w *World, a arguments) {
	for _, one := range a.machines(w, a.word(0)) {
		one.seeds = addressesOf(a.words[1:])
		if a.word(1) == "listed" {
			one.seeds = addressesOf(w.seedNames())
		}
		one.feed(controller.SeedsChanged{Seeds: one.seeds})
	}
}
