package configuration

import (
	"cmp"
	"slices"
)

// kind of a JSON value.
type kind byte

const (
	isNull   kind = 'z'
	isBool   kind = 'b'
	isNumber kind = 'n'
	isText   kind = 's'
	isList   kind = 'l'
	isObject kind = 'o'
)

// value is a JSON value in its normal form: equal values have equal forms.
type value struct {
	kind    kind
	text    string   // of a text; of a number, as normalNumber gives it; "true" or "false"
	items   []value  // of a list
	members []member // of an object, sorted by key; no key twice
}

// member is a field of an object.
type member struct {
	key   string
	value value
}

// field returns the member with this key. One that is null counts as left out.
func (v value) field(key string) (value, bool) {
	index, found := slices.BinarySearchFunc(v.members, key, compareKey)
	if !found || v.members[index].value.kind == isNull {
		return value{}, false
	}
	return v.members[index].value, true
}

// isNullAt tells whether there is a member with this key that is null.
func (v value) isNullAt(key string) bool {
	index, found := slices.BinarySearchFunc(v.members, key, compareKey)
	return found && v.members[index].value.kind == isNull
}

func compareKey(m member, key string) int { return cmp.Compare(m.key, key) }
