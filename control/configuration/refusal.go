package configuration

// Reason says why a configuration is refused.
type Reason int

const (
	// Malformed: the body is not one unambiguous JSON object, or a known field has a value of the wrong type.
	Malformed Reason = iota + 1
	// Invalid: the body can be parsed, but its contents can't be put in force.
	Invalid
	// TooLarge: the body is longer than MaxBody.
	TooLarge
)

// Refusal is the error for a body that isn't accepted. It depends on nothing but the bytes.
type Refusal struct {
	Reason  Reason
	Where   string // the part of the body, such as `route "r1"`; "" for the whole body
	Problem string
}

func (r *Refusal) Error() string {
	if r.Where == "" {
		return r.Problem
	}
	return r.Where + ": " + r.Problem
}

func malformed(where, problem string) *Refusal {
	return &Refusal{Reason: Malformed, Where: where, Problem: problem}
}

func invalid(where, problem string) *Refusal {
	return &Refusal{Reason: Invalid, Where: where, Problem: problem}
}
