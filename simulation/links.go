package simulation

import (
	"strings"
	"time"
)

func cutAction(w *World, a arguments) {
	others, _ := a.after("from")
	pairs := w.pairs(a.word(0), others)
	w.cutPairs(append(pairs, reversed(pairs)...), a)
}

func oneWayAction(w *World, a arguments) {
	others, _ := a.after("to")
	w.cutPairs(w.pairs(a.word(0), others), a)
}

// pairs gives each link from one of the first to one of the second.
func (w *World) pairs(from, to string) []linkEnds {
	var pairs []linkEnds
	for _, one := range w.resolve(from) {
		for _, other := range w.resolve(to) {
			if one != other {
				pairs = append(pairs, linkEnds{from: one, to: other})
			}
		}
	}
	return pairs
}

func reversed(pairs []linkEnds) []linkEnds {
	var back []linkEnds
	for _, pair := range pairs {
		back = append(back, linkEnds{from: pair.to, to: pair.from})
	}
	return back
}

func (w *World) cutPairs(pairs []linkEnds, a arguments) {
	var joins []func()
	for _, pair := range pairs {
		joins = append(joins, w.network.cut(pair.from, pair.to))
		if a.has("resetting") {
			joins = append(joins, w.network.refuse(pair.from, pair.to))
		}
		w.troubledLink(pair)
	}
	w.assess()
	pause, ends := a.time("for")
	if !ends {
		return
	}
	w.schedule.after(pause, func() {
		for _, join := range joins {
			join()
		}
		for _, pair := range pairs {
			w.troubledLink(pair)
		}
		w.note("trouble", "over: "+a.text)
		w.assess()
	})
}

func slowAction(w *World, a arguments) {
	others, _ := a.after("to")
	by, _ := a.time("by")
	pause, _ := a.time("for")
	pairs := w.pairs(a.word(0), others)
	var restores []func()
	for _, pair := range append(pairs, reversed(pairs)...) {
		restores = append(restores, w.network.slow(pair.from, pair.to, by))
		w.troubledLink(pair)
		if w.inCore(pair) {
			w.coreSlow++
		}
	}
	w.assess()
	w.schedule.after(pause, func() {
		for _, restore := range restores {
			restore()
		}
		for _, pair := range append(pairs, reversed(pairs)...) {
			w.troubledLink(pair)
			if w.inCore(pair) {
				w.coreSlow--
			}
		}
		w.assess()
	})
}

func resetAction(w *World, a arguments) {
	others, found := a.after("with")
	if !found {
		others = "all"
	}
	pairs := w.pairs(a.word(0), others)
	for _, pair := range append(pairs, reversed(pairs)...) {
		w.network.reset(pair.from, pair.to)
		w.troubledLink(pair)
	}
	for _, one := range a.machines(w, a.word(0)) {
		w.troubled(one)
		one.breakCalls()
	}
}

func answersLostAction(w *World, a arguments) {
	a.setShareFor(w, &w.answersLost)
}

// setShareFor sets a share of the world, given as the first word, for as long as the action says.
func (a arguments) setShareFor(w *World, share *float64) {
	value, err := parseShare(a.word(0))
	if err != nil {
		a.fail(err.Error())
	}
	pause, _ := a.time("for")
	*share = value
	w.schedule.after(pause, func() { *share = 0 })
}

func conditionsAction(w *World, a arguments) {
	var plan Plan
	words := strings.Fields(strings.Join(a.words, " "))
	pause := time.Duration(0)
	for index, word := range words {
		if word == "for" {
			pause, _ = a.time("for")
			words = words[:index]
			break
		}
	}
	if err := plan.takeConditions(words); err != nil {
		a.fail(err.Error())
	}
	before := w.network.conditions
	w.network.conditions = plan.Conditions
	w.coreSlow++
	w.assess()
	w.schedule.after(pause, func() {
		w.network.conditions = before
		w.coreSlow--
		w.coreEvent = w.now()
		w.assess()
	})
}
