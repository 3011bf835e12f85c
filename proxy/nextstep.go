package proxy

// This file owns the timer of a book that is to be stepped when something in it is due. It must not know what.

import "math"

// stepped has a book.
type stepped interface {
	// step has the book do what is due.
	step()
}

// nextStep is the timer of a book's next step. The core's goroutine alone uses it.
type nextStep struct {
	armed float64 // the time of the timer that is set
}

func newNextStep() nextStep { return nextStep{armed: math.Inf(1)} }

// arm sets the timer for a time of the core's, unless one is set that comes no later.
func (n *nextStep) arm(c *core, at float64, book stepped) {
	if at >= n.armed {
		return
	}
	n.armed = at
	c.After(at, func() {
		n.armed = math.Inf(1)
		book.step()
	})
}
