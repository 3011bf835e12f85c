package wire

import "sync/atomic"

// Budget bounds the memory that long messages of many readers take together. A message that fits a reader's buffer
// takes nothing from it.
type Budget struct{ left atomic.Int64 }

// NewBudget makes a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	budget := &Budget{}
	budget.left.Store(bytes)
	return budget
}

func (b *Budget) claim(bytes int) bool {
	if b.left.Add(-int64(bytes)) < 0 {
		b.left.Add(int64(bytes))
		return false
	}
	return true
}

func (b *Budget) giveBack(bytes int) { b.left.Add(int64(bytes)) }

// WithBudget makes the reader take what its long messages need out of the budget. A message for which too little is
// left is refused with ErrTooLong. It holds until the next message is read, or until Release.
func (r *Reader) WithBudget(budget *Budget) *Reader {
	r.budget = budget
	return r
}

// Release gives back what the last message took from the budget.
func (r *Reader) Release() {
	if r.claimed > 0 {
		r.budget.giveBack(r.claimed)
		r.claimed = 0
	}
}

// claimStep is by how many bytes a reader raises its claim.
const claimStep = 16 << 10

// afford raises the claim to cover a message of so many bytes.
func (r *Reader) afford(bytes int) bool {
	for r.budget != nil && r.claimed < bytes {
		if !r.budget.claim(claimStep) {
			return false
		}
		r.claimed += claimStep
	}
	return true
}
