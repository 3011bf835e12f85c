package session

import (
	"maps"
	"slices"

	"eiderway/wire"
)

// maxPreparedShapes is the number of prepared shapes from which on a backend connection is reset before its next use.
const maxPreparedShapes = 128

// Backend tracks which names are prepared and which values are set on a backend connection.
type Backend struct {
	prepared             map[string]struct{}
	values               map[string]string
	hasUnknownState      bool // its prepared names and values are unknown: it must be reset before use
	changedInTransaction bool // a setup step ran inside the open transaction
}

// NewBackend returns the state of a new connection.
func NewBackend() *Backend { return &Backend{} }

// StepKind is the kind of a setup step.
type StepKind int

const (
	// StepReset drops all prepared names and values.
	StepReset StepKind = iota
	// StepValue sets a session value.
	StepValue
	// StepPrepare prepares a shape.
	StepPrepare
)

// Step is a statement of the gateway that sets up a connection before the client's statement runs on it.
type Step struct {
	Kind  StepKind
	Name  string
	Value string
	Text  string
}

// Fit says how little setup a connection needs for a session; among idle connections the best fit is used.
type Fit int

const (
	// NeedsReset means that the connection must be reset first.
	NeedsReset Fit = iota
	// NeedsValues means that some values must be set.
	NeedsValues
	// Fits means that the connection has exactly the session's values.
	Fits
)

// FitOf returns how well the connection fits the session.
func (s *Session) FitOf(backend *Backend) Fit {
	if backend.hasUnknownState || len(backend.prepared) >= maxPreparedShapes {
		return NeedsReset
	}
	for name := range backend.values {
		if _, wanted := s.values[name]; !wanted {
			return NeedsReset
		}
	}
	if maps.Equal(backend.values, s.values) {
		return Fits
	}
	return NeedsValues
}

// SetupSteps returns the steps that must run on the connection, in this order, before the statement. COMMIT and ABORT need
// none.
func (s *Session) SetupSteps(backend *Backend, statement Statement) []Step {
	if statement.Class == Commit || statement.Class == Abort {
		return nil
	}
	var steps []Step
	current := backend
	if s.state == wire.Idle && s.FitOf(backend) == NeedsReset {
		steps = append(steps, Step{Kind: StepReset, Text: string(wire.Reset)})
		current = NewBackend()
	}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		value := s.values[name]
		if set, known := current.values[name]; !known || set != value {
			steps = append(steps, Step{Kind: StepValue, Name: name, Value: value, Text: wire.SetOptText(name, value)})
		}
	}
	if statement.Prepared == nil {
		return steps
	}
	name := statement.Prepared.BackendName()
	if _, known := current.prepared[name]; !known {
		text := wire.PrepareText(name, statement.Prepared.Kind, statement.Prepared.Shape)
		steps = append(steps, Step{Kind: StepPrepare, Name: name, Text: text})
	}
	return steps
}

// BackendText returns the text of the statement as it is sent to an instance.
func (statement Statement) BackendText() string {
	if statement.Prepared == nil {
		return statement.Text
	}
	return wire.RenameExecute(statement.Text, statement.Prepared.BackendName())
}

// RecordStep records that the instance has run the step. inTransaction says whether it ran inside the session's open
// transaction.
func (b *Backend) RecordStep(step Step, inTransaction bool) {
	b.changedInTransaction = b.changedInTransaction || inTransaction
	switch step.Kind {
	case StepReset:
		*b = Backend{}
	case StepValue:
		if b.values == nil {
			b.values = map[string]string{}
		}
		b.values[step.Name] = step.Value
	case StepPrepare:
		if b.prepared == nil {
			b.prepared = map[string]struct{}{}
		}
		b.prepared[step.Name] = struct{}{}
	}
}

// MarkUnknown records that the prepared names and values of the connection are no longer known.
func (b *Backend) MarkUnknown() { b.hasUnknownState = true }

// EndTransaction records that the transaction on the connection has ended. After a rollback it is unknown whether setup
// steps that ran inside the transaction are still in effect.
func (b *Backend) EndTransaction(rolledBack bool) {
	b.hasUnknownState = b.hasUnknownState || (rolledBack && b.changedInTransaction)
	b.changedInTransaction = false
}
