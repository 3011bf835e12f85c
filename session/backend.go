package session

import (
	"maps"
	"slices"

	"eiderway/wire"
)

// maxPrepared is the most shapes that are left prepared on one backend connection; beyond it the connection is reset.
const maxPrepared = 128

// Backend is what is known of a backend connection: the names prepared there and the values set there.
type Backend struct {
	prepared map[string]struct{}
	values   map[string]string
	unsure   bool // what is set there isn't known: it must be reset first
	inside   bool // something was put in order inside the open transaction
}

// NewBackend describes a connection that was just made.
func NewBackend() *Backend { return &Backend{} }

// StepKind says what a step puts in order.
type StepKind int

const (
	// StepReset drops all prepared names and values.
	StepReset StepKind = iota
	// StepValue sets a session value.
	StepValue
	// StepPrepare prepares a shape.
	StepPrepare
)

// Step is one of the system's own statements that must be run on a connection before the client's statement.
type Step struct {
	Kind  StepKind
	Name  string
	Value string
	Text  string
}

// Fit says how well a connection suits a session, for the choice among idle ones.
type Fit int

const (
	// NeedsReset: the connection must be reset first.
	NeedsReset Fit = iota
	// NeedsValues: some values must be set.
	NeedsValues
	// Fits: its values are the session's.
	Fits
)

// FitOf tells how well the connection suits the session.
func (s *Session) FitOf(backend *Backend) Fit {
	if backend.unsure || len(backend.prepared) >= maxPrepared {
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

// SetupSteps are what must be run on the connection, in this order, before the statement. None of them is needed for the
// end of a transaction.
func (s *Session) SetupSteps(backend *Backend, statement Statement) []Step {
	if statement.Class == Commit || statement.Class == Abort {
		return nil
	}
	var steps []Step
	present := backend
	if s.state == wire.Idle && s.FitOf(backend) == NeedsReset {
		steps = append(steps, Step{Kind: StepReset, Text: string(wire.Reset)})
		present = NewBackend()
	}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		value := s.values[name]
		if set, known := present.values[name]; !known || set != value {
			steps = append(steps, Step{Kind: StepValue, Name: name, Value: value, Text: wire.SetOptText(name, value)})
		}
	}
	if statement.Prepared == nil {
		return steps
	}
	name := statement.Prepared.BackendName()
	if _, known := present.prepared[name]; !known {
		text := wire.PrepareText(name, statement.Prepared.Kind, statement.Prepared.Shape)
		steps = append(steps, Step{Kind: StepPrepare, Name: name, Text: text})
	}
	return steps
}

// BackendText is the text of the statement as it is sent to an instance.
func (statement Statement) BackendText() string {
	if statement.Prepared == nil {
		return statement.Text
	}
	return wire.RenameExecute(statement.Text, statement.Prepared.BackendName())
}

// Done records that the instance has carried out the step; inTransaction tells whether that was inside the session's
// open transaction.
func (b *Backend) RecordStep(step Step, inTransaction bool) {
	b.inside = b.inside || inTransaction
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

// MarkUnknown records that what is set on the connection isn't known any more.
func (b *Backend) MarkUnknown() { b.unsure = true }

// EndTransaction records that the transaction on the connection has ended. After a rollback it isn't known whether what was
// put in order inside the transaction still holds.
func (b *Backend) EndTransaction(rolledBack bool) {
	b.unsure = b.unsure || (rolledBack && b.inside)
	b.inside = false
}
