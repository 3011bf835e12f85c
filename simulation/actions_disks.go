package simulation

// Troubles of disks.

func diskSlowAction(w *World, a arguments) {
	text, _ := a.after("by")
	factor := float64(a.number(text))
	a.forDisks(w, func(d *disk) { d.slowness *= factor }, func(d *disk) { d.slowness /= factor })
}

func diskStallAction(w *World, a arguments) { a.forDisks(w, (*disk).stall, (*disk).resume) }

func diskFullAction(w *World, a arguments) {
	a.forDisks(w, func(d *disk) { d.full = true }, func(d *disk) { d.full = false })
}

func (a arguments) forDisks(w *World, begin, end func(*disk)) {
	pause, _ := a.time("for")
	for _, one := range a.machines(w, a.word(0)) {
		one.lastTrouble = w.now()
		begin(one.disk)
		w.schedule.after(pause, func() {
			one.lastTrouble = w.now()
			end(one.disk)
		})
	}
}
