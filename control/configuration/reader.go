package configuration

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

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
	reader := &valueReader{rest: string(body)}
	root := reader.value(0)
	return root, reader.refusal
}

// valueReader takes a text apart that json.Valid has found to be one JSON value, so it looks for no faults of syntax.
// Configurations come with thousands of routes to small machines, and the decoder of encoding/json takes several
// times as long to give out tokens. Texts are parts of the body where they can be.
type valueReader struct {
	rest    string
	refusal *Refusal // the first thing for which the value can't be taken
	items   []value  // of the lists that are being read, the outer ones first
	members []member // likewise of objects

	inTenants bool // where anything may be a key, also the name of a field: no problem quotes it
}

func (r *valueReader) refuse(problem string) {
	if r.refusal == nil {
		r.refusal = unreadable("", problem)
	}
	r.rest = "" // ends the reading
}

// next returns the byte after any blanks, without taking it; 0 at the end.
func (r *valueReader) next() byte {
	r.rest = strings.TrimLeft(r.rest, " \t\r\n")
	if r.rest == "" {
		return 0
	}
	return r.rest[0]
}

// take takes a number of bytes.
func (r *valueReader) take(count int) string {
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}

func (r *valueReader) value(depth int) value {
	if depth > MaxDepth {
		r.refuse(fmt.Sprintf("the body is nested deeper than %d levels", MaxDepth))
	}
	switch r.next() {
	case 0:
		return value{}
	case '{':
		return r.object(depth)
	case '[':
		return r.list(depth)
	case '"':
		return value{kind: isText, text: r.text()}
	case 'n':
		r.take(len("null"))
		return value{kind: isNull}
	case 't':
		return value{kind: isBool, text: r.take(len("true"))}
	case 'f':
		return value{kind: isBool, text: r.take(len("false"))}
	default:
		return r.number()
	}
}

// more takes the bracket or comma before a part of a list or object, and tells whether one follows.
func (r *valueReader) more(closing byte) bool {
	if r.next() == 0 {
		return false
	}
	if r.take(1)[0] == closing {
		return false
	}
	if r.next() == closing { // an empty list or object: no comma stands before a closing bracket
		r.take(1)
		return false
	}
	return true
}

func (r *valueReader) list(depth int) value {
	start := len(r.items)
	for r.more(']') {
		r.items = append(r.items, r.value(depth+1))
	}
	list := value{kind: isList, items: slices.Clone(r.items[start:])}
	r.items = r.items[:start]
	return list
}

func (r *valueReader) object(depth int) value {
	start := len(r.members)
	for r.more('}') {
		r.members = append(r.members, r.member(depth))
	}
	object := value{kind: isObject, members: slices.Clone(r.members[start:])}
	r.members = r.members[:start]
	slices.SortFunc(object.members, func(a, b member) int { return cmp.Compare(a.key, b.key) })
	if key, twice := keyTwice(object.members); twice && r.inTenants {
		r.refuse("an object in " + tenantTable + " has a field twice")
	} else if twice {
		r.refuse(fmt.Sprintf("an object has the field %q twice", key))
	}
	return object
}

func (r *valueReader) member(depth int) member {
	r.next()
	key := r.text()
	if r.next() == ':' {
		r.take(1)
	}
	if key == tenantTable {
		defer func(outer bool) { r.inTenants = outer }(r.inTenants)
		r.inTenants = true
	}
	return member{key: key, value: r.value(depth + 1)}
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

func (r *valueReader) text() string {
	quoted := r.take(quotedLength(r.rest))
	if !strings.Contains(quoted, `\`) {
		return quoted[1 : len(quoted)-1]
	}
	if hasLoneSurrogate(quoted) {
		r.refuse("a text holds half of a surrogate pair")
		return ""
	}
	var text string
	if err := json.Unmarshal([]byte(quoted), &text); err != nil {
		r.refuse(err.Error())
	}
	return text
}

// quotedLength is the length of the quoted text at the start.
func quotedLength(rest string) int {
	length := 1
	for rest[length] != '"' {
		if rest[length] == '\\' {
			length++
		}
		length++
	}
	return length + 1
}

func (r *valueReader) number() value {
	length := strings.IndexAny(r.rest, ",]} \t\r\n")
	if length < 0 {
		length = len(r.rest)
	}
	normal, ok := normalNumber(r.take(length))
	if !ok {
		r.refuse("the exponent of a number is out of range")
	}
	return value{kind: isNumber, text: normal}
}
