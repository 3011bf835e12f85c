package rpc

import "fmt"

// UnreachableError ends a request of which nothing was sent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("controller %s can't be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError ends a request that was sent, wholly or in part, and got no answer. The controller may have processed it.
type UnknownOutcomeError struct {
	Address string
	Cause   error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("controller %s gave no answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
