package configuration

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// parseValue parses a body, which must hold exactly one JSON value that all decoders read alike.
func parseValue(body []byte) (value, *Refusal) {
	if len(body) > MaxBody {
		return value{}, &Refusal{Reason: TooLarge, Problem: fmt.Sprintf("the body is larger than %d bytes", MaxBody)}
	}
	if !utf8.Valid(body) {
		return value{}, malformed("", "the body is not UTF-8 text")
	}
	if !json.Valid(body) {
		return value{}, malformed("", "the body is not one whole JSON value")
	}
	parser := &valueParser{rest: string(body)}
	root := parser.value(0)
	return root, parser.refusal
}

// valueParser parses text that json.Valid has accepted as one JSON value, so it doesn't check the syntax. Configurations
// with thousands of routes are parsed on small machines, and the token decoder of encoding/json takes several times as
// long. Strings are substrings of the body where possible.
type valueParser struct {
	rest    string
	refusal *Refusal // the first reason why the value can't be accepted
	items   []value  // stack of the items of the arrays being parsed, the outermost array first
	members []member // likewise of the members of objects

	inTenants bool // in the table of tenants anything may be a secret key, also the name of a field: problems quote nothing of it
}

func (p *valueParser) refuse(problem string) {
	if p.refusal == nil {
		p.refusal = malformed("", problem)
	}
	p.rest = "" // ends the parsing
}

// next skips white space and returns the next byte without consuming it; 0 at the end.
func (p *valueParser) next() byte {
	p.rest = strings.TrimLeft(p.rest, " \t\r\n")
	if p.rest == "" {
		return 0
	}
	return p.rest[0]
}

// take consumes a number of bytes.
func (p *valueParser) take(count int) string {
	taken := p.rest[:count]
	p.rest = p.rest[count:]
	return taken
}

func (p *valueParser) value(depth int) value {
	if depth > MaxDepth {
		p.refuse(fmt.Sprintf("the body is nested deeper than %d levels", MaxDepth))
	}
	switch p.next() {
	case 0:
		return value{}
	case '{':
		return p.object(depth)
	case '[':
		return p.array(depth)
	case '"':
		return value{kind: kindString, text: p.text()}
	case 'n':
		p.take(len("null"))
		return value{kind: kindNull}
	case 't':
		return value{kind: kindBool, text: p.take(len("true"))}
	case 'f':
		return value{kind: kindBool, text: p.take(len("false"))}
	default:
		return p.number()
	}
}

// more consumes the bracket or comma before an element of an array or object, and tells whether an element follows.
func (p *valueParser) more(closing byte) bool {
	if p.next() == 0 {
		return false
	}
	if p.take(1)[0] == closing {
		return false
	}
	if p.next() == closing { // an empty array or object: valid JSON has no comma before a closing bracket
		p.take(1)
		return false
	}
	return true
}

func (p *valueParser) array(depth int) value {
	start := len(p.items)
	for p.more(']') {
		p.items = append(p.items, p.value(depth+1))
	}
	array := value{kind: kindArray, items: slices.Clone(p.items[start:])}
	p.items = p.items[:start]
	return array
}

func (p *valueParser) object(depth int) value {
	start := len(p.members)
	for p.more('}') {
		p.members = append(p.members, p.member(depth))
	}
	object := value{kind: kindObject, members: slices.Clone(p.members[start:])}
	p.members = p.members[:start]
	slices.SortFunc(object.members, func(a, b member) int { return cmp.Compare(a.key, b.key) })
	if key, found := duplicateKey(object.members); found && p.inTenants {
		p.refuse("an object in " + tenantTable + " has a field twice")
	} else if found {
		p.refuse(fmt.Sprintf("an object has the field %q twice", key))
	}
	return object
}

func (p *valueParser) member(depth int) member {
	p.next()
	key := p.text()
	if p.next() == ':' {
		p.take(1)
	}
	if key == tenantTable {
		defer func(outer bool) { p.inTenants = outer }(p.inTenants)
		p.inTenants = true
	}
	return member{key: key, value: p.value(depth + 1)}
}

// duplicateKey finds a key that occurs twice. Decoders differ in which of the two they use.
func duplicateKey(sorted []member) (string, bool) {
	for index := 1; index < len(sorted); index++ {
		if sorted[index].key == sorted[index-1].key {
			return sorted[index].key, true
		}
	}
	return "", false
}

func (p *valueParser) text() string {
	quoted := p.take(quotedLength(p.rest))
	if !strings.Contains(quoted, `\`) {
		return quoted[1 : len(quoted)-1]
	}
	if hasLoneSurrogate(quoted) {
		p.refuse("a text holds half of a surrogate pair")
		return ""
	}
	var text string
	if err := json.Unmarshal([]byte(quoted), &text); err != nil {
		p.refuse(err.Error())
	}
	return text
}

// quotedLength returns the length of the quoted string at the start of rest, with its quotes.
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

func (p *valueParser) number() value {
	length := strings.IndexAny(p.rest, ",]} \t\r\n")
	if length < 0 {
		length = len(p.rest)
	}
	canonical, ok := canonicalNumber(p.take(length))
	if !ok {
		p.refuse("the exponent of a number is out of range")
	}
	return value{kind: kindNumber, text: canonical}
}
