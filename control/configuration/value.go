package configuration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"unicode/utf8"
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

func compareKey(m member, key string) int { return cmp.Compare(m.key, key) }

// readValue reads a body that must hold exactly one JSON value with exactly one reading.
func readValue(body []byte) (value, *Refusal) {
	if len(body) > MaxBody {
		return value{}, &Refusal{Reason: TooLarge, Problem: fmt.Sprintf("the body is larger than %d bytes", MaxBody)}
	}
	if !utf8.Valid(body) {
		return value{}, unreadable("", "the body is not UTF-8 text")
	}
	if !json.Valid(body) {
		return value{}, unreadable("", "the body is not one whole JSON value")
	}
	if hasLoneSurrogate(body) {
		return value{}, unreadable("", "a text holds half of a surrogate pair")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	reader := &valueReader{decoder: decoder}
	return reader.value(0)
}

// valueReader reads values from a body that is known to be valid JSON.
type valueReader struct{ decoder *json.Decoder }

func (r *valueReader) value(depth int) (value, *Refusal) {
	if depth > MaxDepth {
		return value{}, unreadable("", fmt.Sprintf("the body is nested deeper than %d levels", MaxDepth))
	}
	token, err := r.decoder.Token()
	if err != nil {
		return value{}, unreadable("", err.Error())
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return r.object(depth)
		}
		return r.list(depth)
	case string:
		return value{kind: isText, text: token}, nil
	case json.Number:
		return numberValue(token.String())
	case bool:
		return value{kind: isBool, text: strconv.FormatBool(token)}, nil
	default:
		return value{kind: isNull}, nil
	}
}

func numberValue(literal string) (value, *Refusal) {
	normal, ok := normalNumber(literal)
	if !ok {
		return value{}, unreadable("", "the exponent of a number is out of range")
	}
	return value{kind: isNumber, text: normal}, nil
}

func (r *valueReader) list(depth int) (value, *Refusal) {
	list := value{kind: isList}
	for r.decoder.More() {
		item, refusal := r.value(depth + 1)
		if refusal != nil {
			return value{}, refusal
		}
		list.items = append(list.items, item)
	}
	return list, r.end()
}

func (r *valueReader) object(depth int) (value, *Refusal) {
	object := value{kind: isObject}
	for r.decoder.More() {
		key, refusal := r.key()
		if refusal != nil {
			return value{}, refusal
		}
		field, refusal := r.value(depth + 1)
		if refusal != nil {
			return value{}, refusal
		}
		object.members = append(object.members, member{key: key, value: field})
	}
	slices.SortFunc(object.members, func(a, b member) int { return cmp.Compare(a.key, b.key) })
	if key, twice := keyTwice(object.members); twice {
		return value{}, unreadable("", fmt.Sprintf("an object has the field %q twice", key))
	}
	return object, r.end()
}

func (r *valueReader) key() (string, *Refusal) {
	token, err := r.decoder.Token()
	if err != nil {
		return "", unreadable("", err.Error())
	}
	key, _ := token.(string)
	return key, nil
}

// end reads the closing bracket of a list or an object.
func (r *valueReader) end() *Refusal {
	if _, err := r.decoder.Token(); err != nil {
		return unreadable("", err.Error())
	}
	return nil
}

// keyTwice finds a key that stands twice. Readers differ in which of the two they take.
func keyTwice(sorted []member) (string, bool) {
	for index := 1; index < len(sorted); index++ {
		if sorted[index].key == sorted[index-1].key {
			return sorted[index].key, true
		}
	}
	return "", false
}
