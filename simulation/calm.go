package simulation

// What follows says when the rules hold: "settled" and "in touch" of the operators' page of rules.

// troubled notes an event at a machine of the core.
func (w *World) troubled(one *machine) {
	one.lastTrouble = w.now()
	w.coreEvent = w.now()
}

// troubledLink notes the begin or end of a trouble on a link.
func (w *World) troubledLink(ends linkEnds) {
	for _, name := range []string{ends.from, ends.to} {
		if one := w.machineByName(name); one != nil {
			one.lastTrouble = w.now()
		}
		if one := w.gatewayByName(name); one != nil {
			one.lastTrouble = w.now()
		}
	}
	if w.inCore(ends) {
		w.coreEvent = w.now()
	}
}

func (w *World) inCore(ends linkEnds) bool {
	return w.machineByName(ends.from) != nil && w.machineByName(ends.to) != nil
}

// assess looks whether more than half of the core is running, connected and not slowed. It is called at every change.
func (w *World) assess() {
	strong := w.coreSlow == 0 && w.majorityConnected()
	if !strong {
		w.weakNow = true
		return
	}
	if w.weakNow {
		w.weakNow = false
		w.weakSince = w.now()
	}
}

// reaches tells whether one machine of the core runs and is connected to more than half of the core.
func (w *World) reachesMost(one *machine) bool {
	if !one.running || one.frozen {
		return false
	}
	all, reached := 0, 0
	for _, other := range w.machines {
		if other.gone {
			continue
		}
		all++
		if other == one || other.running && !other.frozen && w.network.open(one.name, other.name) {
			reached++
		}
	}
	return 2*reached > all
}

func (w *World) majorityConnected() bool {
	for _, one := range w.machines {
		if !one.gone && w.reachesMost(one) {
			return true
		}
	}
	return false
}

// settled tells whether the core is settled now.
func (w *World) settled() bool {
	return w.now()-w.coreEvent >= w.plan.Bounds.Contact && w.coreSlow == 0 && !w.weakNow
}

// gatewayCalm is parts (1) and (3) of "in touch".
func (w *World) gatewayCalm(g *gateway) bool {
	if !g.running || g.frozen || w.now()-g.lastTrouble < w.plan.Bounds.Contact || w.network.conditions.Loss > 0 {
		return false
	}
	for _, one := range w.machines {
		if one.gone || !w.reachesMost(one) {
			continue
		}
		if !w.network.open(g.name, one.name) {
			return false
		}
	}
	return true
}

func (w *World) gatewayInTouch(g *gateway) bool { return w.gatewayCalm(g) && w.settled() }

// linksCalm tells whether no link is in trouble.
func (w *World) linksCalm() bool {
	conditions := w.network.conditions
	harmed := conditions.Loss > 0 || conditions.Duplicate > 0 || conditions.Reorder > 0 || w.answersLost > 0
	return w.network.cutLinks == 0 && w.network.slowLinks == 0 && !harmed
}
