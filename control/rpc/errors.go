package rpc

import "fmt"

// Unreachable ends a question of which nothing was sent.
type Unreachable struct {
	Address string
	Cause   error
}

func (e *Unreachable) Error() string {
	return fmt.Sprintf("controller %s can't be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Cause }

// Unknown ends a question that was sent, wholly or in part, and got no answer. It may have been taken.
type Unknown struct {
	Address string
	Cause   error
}

func (e *Unknown) Error() string {
	return fmt.Sprintf("controller %s gave no answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *Unknown) Unwrap() error { return e.Cause }
