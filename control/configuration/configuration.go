// Package configuration parses and checks the configurations that operators send.
//
// Parse is a pure function of the bytes: every controller decides alike on a body, also after changes among the
// controllers. What depends on the control state, such as whether a number is taken, is decided in package state.
//
// Two bodies have the same digest if they mean the same: white space, the order of keys and the spelling of strings and
// numbers don't matter. Fields that are unknown here count, since a later version may know them.
package configuration

// MaxBody is the largest body that is accepted, in bytes. A route takes about 250 bytes, so this is room for some sixteen
// thousand routes. Parsing needs a few times the size of the body in memory, of which controllers have little.
const MaxBody = 4 << 20

// MaxDepth is the deepest nesting of arrays and objects that is accepted. Configurations known today have a depth of three.
const MaxDepth = 64

// Parse parses and checks a complete configuration. The error is a *Refusal.
func Parse(body []byte) (Document, error) {
	root, refusal := parseValue(body)
	if refusal != nil {
		return Document{}, refusal
	}
	contents, refusal := readContents(root)
	if refusal != nil {
		return Document{}, refusal
	}
	if refusal := check(contents); refusal != nil {
		return Document{}, refusal
	}
	return Document{Number: contents.Number, Digest: digestOf(root), Body: body, Contents: contents}, nil
}
