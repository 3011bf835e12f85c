package host

import (
	"context"
	"errors"

	"eiderway/control/failover"
	"eiderway/wire"
)

// probeFailure is the outcome of a probe that got no status.
type probeFailure struct {
	answer       failover.ProbeAnswer
	isConnUsable bool // the instance answered, so the connection can take another query
}

// classifyFailure derives the outcome of a probe from its error. ctx is the context that bounded the call.
func classifyFailure(ctx context.Context, err error) *probeFailure {
	var refusal *wire.RefusedError
	if errors.As(err, &refusal) {
		return &probeFailure{answer: classifyRefusal(refusal.Code), isConnUsable: true}
	}
	var failure *wire.ConnError
	timedOut := ctx.Err() != nil || !errors.As(err, &failure) || failure.Timeout
	if !timedOut && failure.Delivery == wire.NotSent {
		return &probeFailure{answer: failover.Refused}
	}
	return &probeFailure{answer: failover.Silent}
}

// classifyRefusal derives the outcome of a probe from the code of an ERROR answer.
func classifyRefusal(code wire.Code) failover.ProbeAnswer {
	switch code {
	case wire.WrongNode, wire.NoDB:
		return failover.Replaced
	case wire.ExecFail, wire.Timeout, wire.InDoubt:
		return failover.Silent // the command may have been executed
	}
	return failover.Busy // the instance is up and has executed nothing
}
