package wire

import "sync/atomic"

// Budget bounds the memory that the long messages of many readers use together. A message that fits a reader's buffer
// uses nothing of it.
type Budget struct{ available atomic.Int64 }

// NewBudget returns a budget of this many bytes.
func NewBudget(bytes int64) *Budget {
	budget := &Budget{}
	budget.available.Store(bytes)
	return budget
}

func (b *Budget) take(bytes int) bool {
	if b.available.Add(-int64(bytes)) < 0 {
		b.available.Add(int64(bytes))
		return false
	}
	return true
}

func (b *Budget) giveBack(bytes int) { b.available.Add(int64(bytes)) }

// WithBudget makes the reader reserve memory for long messages from the budget. A message for which too little is available
// is refused with ErrTooLong. The reservation lasts until the next message is read or Release is called.
func (r *Reader) WithBudget(budget *Budget) *Reader {
	r.budget = budget
	return r
}

// Release returns what the last message reserved to the budget.
func (r *Reader) Release() {
	if r.reserved > 0 {
		r.budget.giveBack(r.reserved)
		r.reserved = 0
	}
}

// reservationStep is the number of bytes by which a reader raises its reservation.
const reservationStep = 16 << 10

// reserve raises the reservation to cover a message of this many bytes; false if the budget is used up.
func (r *Reader) reserve(bytes int) bool {
	for r.budget != nil && r.reserved < bytes {
		if !r.budget.take(reservationStep) {
			return false
		}
		r.reserved += reservationStep
	}
	return true
}
