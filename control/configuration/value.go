package configuration

import (
	"cmp"
	"slices"
)

// kind is the type of a JSON value. Its byte is part of the digest.
type kind byte

const (
	kindNull   kind = 'z'
	kindBool   kind = 'b'
	kindNumber kind = 'n'
	kindString kind = 's'
	kindArray  kind = 'l'
	kindObject kind = 'o'
)

// value is a JSON value in canonical form: equal values have equal forms.
type value struct {
	kind    kind
	text    string   // a string; a number in the form of canonicalNumber; "true" or "false"
	items   []value  // of an array
	members []member // of an object, sorted by key, without duplicates
}

// member is a field of an object.
type member struct {
	key   string
	value value
}

// field returns the value of the member with this key. A member that is null counts as omitted.
func (v value) field(key string) (value, bool) {
	index, found := slices.BinarySearchFunc(v.members, key, compareKey)
	if !found || v.members[index].value.kind == kindNull {
		return value{}, false
	}
	return v.members[index].value, true
}

// hasNull tells whether there is a member with this key whose value is null.
func (v value) hasNull(key string) bool {
	index, found := slices.BinarySearchFunc(v.members, key, compareKey)
	return found && v.members[index].value.kind == kindNull
}

func compareKey(m member, key string) int { return cmp.Compare(m.key, key) }
