package host

import (
	"context"
	"errors"

	"eiderway/control/failover"
	"eiderway/wire"
)

// probeFailure is a probe that got no status.
type probeFailure struct {
	answer failover.ProbeAnswer
	sound  bool // the instance answered, so the connection can take another question
}

// failureOf tells what an error shows of the instance. The context is the one that bounded the call.
func failureOf(ctx context.Context, err error) *probeFailure {
	var refusal *wire.RefusedError
	if errors.As(err, &refusal) {
		return &probeFailure{answer: answerOfRefusal(refusal.Code), sound: true}
	}
	var failure *wire.ConnError
	timedOut := ctx.Err() != nil || !errors.As(err, &failure) || failure.Timeout
	if !timedOut && failure.Delivery == wire.NotSent {
		return &probeFailure{answer: failover.Refused}
	}
	return &probeFailure{answer: failover.Silent}
}

// answerOfRefusal tells what an ERROR shows of the instance.
func answerOfRefusal(code wire.Code) failover.ProbeAnswer {
	switch code {
	case wire.WrongNode, wire.NoDB:
		return failover.Refused // another instance is there
	case wire.ExecFail, wire.Timeout, wire.InDoubt:
		return failover.Silent // it may have been carried out
	}
	return failover.Busy // the instance is there and has done nothing
}
