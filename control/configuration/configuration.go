// Package configuration reads and checks the configurations that operators send.
//
// Parse is a pure function of the bytes: each controller comes to the same verdict on a body, now and after any
// change of the core. What depends on the control state, such as whether a number is taken, is decided in package
// state.
//
// Two bodies have the same digest if they mean the same: neither blanks, nor the order of keys, nor the spelling of
// strings and numbers counts. Fields that are unknown here count, since a later version may know them.
package configuration

// MaxBody is the largest body that is read, in bytes. A route takes about 250 bytes, so this is room for some sixteen
// thousand of them; reading takes a few times the size of the body in memory, which controllers have little of.
const MaxBody = 4 << 20

// MaxDepth is the deepest nesting of arrays and objects that is read. Configurations known today have a depth of three.
const MaxDepth = 64

// Parse reads and checks a whole configuration. The error is a *Refusal.
func Parse(body []byte) (Document, error) {
	root, refusal := readValue(body)
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
