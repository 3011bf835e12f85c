package configuration_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"eiderway/control/configuration"
)

// tree is a JSON value that can be spelled in many ways.
type tree struct {
	text     string // if not empty, the value is this string
	number   int64
	items    []tree
	fields   []field // sorted by name
	isArray  bool
	isObject bool
}

type field struct {
	name  string
	value tree
}

func drawTree(t *rapid.T, depth int) tree {
	kinds := 4
	if depth == 0 {
		kinds = 2
	}
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		return tree{text: rapid.StringMatching(`[a-z"\\/é😀]{1,6}`).Draw(t, "text")}
	case 1:
		return tree{number: rapid.Int64().Draw(t, "number")}
	case 2:
		array := tree{isArray: true}
		for range rapid.IntRange(0, 3).Draw(t, "items") {
			array.items = append(array.items, drawTree(t, depth-1))
		}
		return array
	default:
		object := tree{isObject: true}
		for index := range rapid.IntRange(0, 4).Draw(t, "fields") {
			object.fields = append(object.fields, field{name: "f" + strconv.Itoa(index), value: drawTree(t, depth-1)})
		}
		return object
	}
}

// write returns the value as JSON, in a random spelling.
func (v tree) write(t *rapid.T) string {
	switch {
	case v.isArray:
		parts := make([]string, len(v.items))
		for index, item := range v.items {
			parts[index] = item.write(t)
		}
		return "[" + join(t, parts) + "]"
	case v.isObject:
		parts := make([]string, len(v.fields))
		for index, field := range rapid.Permutation(v.fields).Draw(t, "order") {
			parts[index] = writeText(t, field.name) + blank(t) + ":" + field.value.write(t)
		}
		return "{" + join(t, parts) + "}"
	case v.text != "":
		return writeText(t, v.text)
	default:
		return writeNumber(t, v.number)
	}
}

func join(t *rapid.T, parts []string) string {
	return blank(t) + strings.Join(parts, blank(t)+","+blank(t)) + blank(t)
}

func blank(t *rapid.T) string { return rapid.SampledFrom([]string{"", " ", "\n\t "}).Draw(t, "blank") }

func writeText(t *rapid.T, text string) string {
	var out strings.Builder
	for _, letter := range text {
		switch {
		case letter > 0xffff:
			out.WriteString(rapid.SampledFrom([]string{string(letter), `\ud83d\ude00`}).Draw(t, "letter"))
		case letter == '"' || letter == '\\' || rapid.Bool().Draw(t, "escaped"):
			fmt.Fprintf(&out, `\u%04x`, letter)
		default:
			out.WriteRune(letter)
		}
	}
	return `"` + out.String() + `"`
}

func writeNumber(t *rapid.T, number int64) string {
	plain := strconv.FormatInt(number, 10)
	if number == 0 {
		return rapid.SampledFrom([]string{"0", "-0", "0.0", "0e7"}).Draw(t, "zero")
	}
	switch rapid.IntRange(0, 3).Draw(t, "spelling") {
	case 0:
		return plain
	case 1:
		return plain + ".00"
	case 2:
		return plain + "0e-1"
	default:
		return plain + "E+0"
	}
}

func TestDigestDependsOnlyOnMeaning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		extra, other := drawTree(t, 3), drawTree(t, 3)
		first := parseWith(t, extra.write(t))
		if second := parseWith(t, extra.write(t)); first != second {
			t.Fatalf("the same content has the digests %s and %s", first, second)
		}
		isSame := fmt.Sprintf("%+v", extra) == fmt.Sprintf("%+v", other)
		if another := parseWith(t, other.write(t)); (first == another) != isSame {
			t.Fatalf("digests %s and %s, contents are the same: %t", first, another, isSame)
		}
	})
}

func parseWith(t *rapid.T, extra string) string {
	document, err := configuration.Parse([]byte(strings.Replace(smallest, `{}`, `{"extra":`+extra+`}`, 1)))
	if err != nil {
		t.Fatalf("%s: %v", extra, err)
	}
	return document.Digest
}
