package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"unicode/utf8"

	"github.com/go-playground/validator/v10"

	"eiderway/control/state"
)

// MaxBody is the largest body of a heartbeat that is read, in bytes. Known ones have about 250.
const MaxBody = 16 << 10

// maxIDLength bounds the ids of instances, in bytes: each is kept for long.
const maxIDLength = 256

// Values of Heartbeat.OperState and Heartbeat.DBRole.
const (
	Ready    = "ready"
	Draining = "draining"
	Primary  = "primary"
	Replica  = "replica"
)

// InvalidHeartbeatError says why a heartbeat is refused.
type InvalidHeartbeatError struct {
	Field   string // "": the body as a whole
	Problem string
}

func (b *InvalidHeartbeatError) Error() string {
	if b.Field == "" {
		return "heartbeat: " + b.Problem
	}
	return fmt.Sprintf("heartbeat: %s %s", b.Field, b.Problem)
}

// heartbeatBody tells a callSeq of 0 from one that is missing.
type heartbeatBody struct {
	Heartbeat
	CallSeq *uint64 `json:"callSeq"`
}

// fieldChecks holds the rules that the tags of Heartbeat state. It is never changed.
var fieldChecks = newFieldChecks()

func newFieldChecks() *validator.Validate {
	checks := validator.New(validator.WithRequiredStructEnabled())
	checks.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("json") })
	return checks
}

// ParseHeartbeat reads the body of a heartbeat of the instance with this id. Unknown fields are ignored. The error is a
// *InvalidHeartbeatError.
func ParseHeartbeat(id string, body []byte) (Heartbeat, error) {
	if !validID(id) {
		return Heartbeat{}, &InvalidHeartbeatError{Field: "id", Problem: "is empty, too long or not UTF-8"}
	}
	if len(body) > MaxBody {
		return Heartbeat{}, &InvalidHeartbeatError{Problem: fmt.Sprintf("is larger than %d bytes", MaxBody)}
	}
	var read heartbeatBody
	if err := json.Unmarshal(body, &read); err != nil {
		return Heartbeat{}, &InvalidHeartbeatError{Problem: err.Error()}
	}
	if read.CallSeq == nil {
		return Heartbeat{}, &InvalidHeartbeatError{Field: "callSeq", Problem: "is missing"}
	}
	beat := read.Heartbeat
	beat.InstanceID = id
	beat.CallSeq = *read.CallSeq
	if err := checkFields(beat); err != nil {
		return Heartbeat{}, err
	}
	return beat, nil
}

// IsRoutine tells whether a beat of an instance with this record says nothing that must be recorded, or looked at closer: a backup may take it and
// tell the primary.
func (b Heartbeat) IsRoutine(record state.Instance) bool {
	isReady := b.OperState == Ready && !record.Draining && !record.Left && !record.HasAnnouncedLeave()
	return isReady && b.CallSeq > record.CallSeq && record.Instance == instanceOf(b)
}

// RoutineHeartbeat is a beat that says what is recorded of the instance.
func RoutineHeartbeat(record state.Instance, callSeq uint64, role string, warmupLeftMs int64) Heartbeat {
	return Heartbeat{
		InstanceID:    record.ID,
		TargetService: record.Service,
		Address:       record.Address,
		Zone:          record.Zone,
		SlotCount:     record.Slots,
		OperState:     Ready,
		WarmupLeftMs:  warmupLeftMs,
		DBRole:        role,
		CallSeq:       callSeq,
	}
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && utf8.ValidString(id)
}

func checkFields(beat Heartbeat) error {
	err := fieldChecks.Struct(beat)
	if err == nil {
		return nil
	}
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return &InvalidHeartbeatError{Problem: err.Error()}
	}
	failure := failures[0]
	return &InvalidHeartbeatError{Field: failure.Field(), Problem: "does not meet the rule " + failure.Tag() + " " + failure.Param()}
}
