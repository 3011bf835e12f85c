package configuration

// Reason tells why a configuration is refused.
type Reason int

const (
	// Malformed: the body is not one JSON object with one reading, or a known field has a value of another type.
	Malformed Reason = iota + 1
	// Invalid: the body can be read, and its contents can't be put in force.
	Invalid
	// TooLarge: the body is longer than MaxBody.
	TooLarge
)

// Refusal is a verdict on a body. It depends on nothing but the bytes.
type Refusal struct {
	Reason  Reason
	Where   string // the part of the body, such as `route "r1"`; "": the whole
	Problem string
}

func (r *Refusal) Error() string {
	if r.Where == "" {
		return r.Problem
	}
	return r.Where + ": " + r.Problem
}

func unreadable(where, problem string) *Refusal {
	return &Refusal{Reason: Malformed, Where: where, Problem: problem}
}

func invalid(where, problem string) *Refusal {
	return &Refusal{Reason: Invalid, Where: where, Problem: problem}
}
