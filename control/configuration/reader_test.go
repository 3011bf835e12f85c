package configuration

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// asDecoded converts a value to the form to which encoding/json decodes it, with numbers in canonical form.
func asDecoded(v value) any {
	switch v.kind {
	case kindObject:
		fields := make(map[string]any)
		for _, member := range v.members {
			fields[member.key] = asDecoded(member.value)
		}
		return fields
	case kindArray:
		items := make([]any, len(v.items))
		for index, item := range v.items {
			items[index] = asDecoded(item)
		}
		return items
	case kindNumber:
		return json.Number(v.text)
	case kindBool:
		return v.text == "true"
	case kindString:
		return v.text
	default:
		return nil
	}
}

// canonical replaces the numbers of a decoded value by their canonical form.
func canonical(decoded any) any {
	switch decoded := decoded.(type) {
	case json.Number:
		number, _ := canonicalNumber(decoded.String())
		return json.Number(number)
	case []any:
		for index, item := range decoded {
			decoded[index] = canonical(item)
		}
	case map[string]any:
		for _, key := range slices.Collect(maps.Keys(decoded)) {
			decoded[key] = canonical(decoded[key])
		}
	}
	return decoded
}

// FuzzReader compares the parser with encoding/json: whatever it accepts is JSON, and gives the same value.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		`null`, ` [ ] `, `{}`, `[1 , -0.5e+3,true,false,null]`, `{"a":{"b":[{}, {"c":"d"}]},"e":""}`, `{"a":1,"a":2}`,
		`["\"\\\/\n\u00e9\ud83d\ude00"]`, `["\ud83d"]`, `["\\ud83d"]`, `[1e9999999999]`, `[[1],[2,[3]],{"x":[4]}]`, `"x`, `{"a" : 1 }`,
		strings.Repeat("[", MaxDepth+1) + strings.Repeat("]", MaxDepth+1),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, refusal := parseValue(body)
		var decoded any
		decoder := json.NewDecoder(strings.NewReader(string(body)))
		decoder.UseNumber()
		if err := decoder.Decode(&decoded); err != nil {
			if refusal == nil {
				t.Fatalf("accepted, although it is not JSON: %v", err)
			}
			return
		}
		if refusal != nil {
			return // TestParseRefuses checks the reasons
		}
		if got, want := asDecoded(parsed), canonical(decoded); !reflect.DeepEqual(got, want) {
			t.Fatalf("parsed %v, encoding/json decoded %v", got, want)
		}
	})
}
