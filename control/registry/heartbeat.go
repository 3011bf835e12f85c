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

// MaxBody is the largest heartbeat body that is accepted, in bytes. Bodies seen so far have about 250.
const MaxBody = 16 << 10

// maxIDLength is the length limit of instance ids, in bytes: an id is kept for long after its instance has left.
const maxIDLength = 256

// Values of Heartbeat.OperState and Heartbeat.DBRole.
const (
	Ready    = "ready"
	Draining = "draining"
	Primary  = "primary"
	Replica  = "replica"
)

// InvalidHeartbeatError says why a heartbeat is rejected.
type InvalidHeartbeatError struct {
	Field   string // "": the body as a whole
	Problem string
}

func (e *InvalidHeartbeatError) Error() string {
	if e.Field == "" {
		return "heartbeat: " + e.Problem
	}
	return fmt.Sprintf("heartbeat: %s %s", e.Field, e.Problem)
}

// heartbeatBody distinguishes a callSeq of 0 from a missing one.
type heartbeatBody struct {
	Heartbeat
	CallSeq *uint64 `json:"callSeq"`
}

// fieldValidator checks the rules in the tags of Heartbeat. It is never changed.
var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	fields := validator.New(validator.WithRequiredStructEnabled())
	fields.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("json") })
	return fields
}

// ParseHeartbeat parses and checks the body of a heartbeat of the instance with this id. Unknown fields are ignored. The error is an
// *InvalidHeartbeatError.
func ParseHeartbeat(id string, body []byte) (Heartbeat, error) {
	if !isValidID(id) {
		return Heartbeat{}, &InvalidHeartbeatError{Field: "id", Problem: "is empty, too long or not UTF-8"}
	}
	if len(body) > MaxBody {
		return Heartbeat{}, &InvalidHeartbeatError{Problem: fmt.Sprintf("is larger than %d bytes", MaxBody)}
	}
	var parsed heartbeatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Heartbeat{}, &InvalidHeartbeatError{Problem: err.Error()}
	}
	if parsed.CallSeq == nil {
		return Heartbeat{}, &InvalidHeartbeatError{Field: "callSeq", Problem: "is missing"}
	}
	heartbeat := parsed.Heartbeat
	heartbeat.InstanceID = id
	heartbeat.CallSeq = *parsed.CallSeq
	if err := checkFields(heartbeat); err != nil {
		return Heartbeat{}, err
	}
	return heartbeat, nil
}

// IsRoutine tells whether a heartbeat of an instance with this record contains nothing that the primary must record or examine: a
// backup may accept it and forward it to the primary.
func (b Heartbeat) IsRoutine(record state.Instance) bool {
	isReady := b.OperState == Ready && !record.Draining && !record.Left && !record.HasAnnouncedLeave()
	return isReady && b.CallSeq > record.CallSeq && record.Instance == instanceOf(b)
}

// RoutineHeartbeat returns a heartbeat that matches the record of the instance.
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

func isValidID(id string) bool {
	return id != "" && len(id) <= maxIDLength && utf8.ValidString(id)
}

func checkFields(heartbeat Heartbeat) error {
	err := fieldValidator.Struct(heartbeat)
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
