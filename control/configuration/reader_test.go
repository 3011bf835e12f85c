package configuration

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// asDecoded gives a value the form that encoding/json decodes it to, with numbers in their normal form.
func asDecoded(v value) any {
	switch v.kind {
	case isObject:
		fields := make(map[string]any)
		for _, member := range v.members {
			fields[member.key] = asDecoded(member.value)
		}
		return fields
	case isList:
		items := make([]any, len(v.items))
		for index, item := range v.items {
			items[index] = asDecoded(item)
		}
		return items
	case isNumber:
		return json.Number(v.text)
	case isBool:
		return v.text == "true"
	case isText:
		return v.text
	default:
		return nil
	}
}

// normalised replaces the numbers of a decoded value by their normal form.
func normalised(decoded any) any {
	switch decoded := decoded.(type) {
	case json.Number:
		normal, _ := normalNumber(decoded.String())
		return json.Number(normal)
	case []any:
		for index, item := range decoded {
			decoded[index] = normalised(item)
		}
	case map[string]any:
		for _, key := range slices.Collect(maps.Keys(decoded)) {
			decoded[key] = normalised(decoded[key])
		}
	}
	return decoded
}

// FuzzReader holds the reader against encoding/json: what it takes is JSON, and the same value.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		`null`, ` [ ] `, `{}`, `[1 , -0.5e+3,true,false,null]`, `{"a":{"b":[{}, {"c":"d"}]},"e":""}`, `{"a":1,"a":2}`,
		`["\"\\\/\n\u00e9\ud83d\ude00"]`, `["\ud83d"]`, `["\\ud83d"]`, `[1e9999999999]`, `[[1],[2,[3]],{"x":[4]}]`, `"x`, `{"a" : 1 }`,
		strings.Repeat("[", MaxDepth+1) + strings.Repeat("]", MaxDepth+1),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		read, refusal := readValue(body)
		var decoded any
		decoder := json.NewDecoder(strings.NewReader(string(body)))
		decoder.UseNumber()
		if err := decoder.Decode(&decoded); err != nil {
			if refusal == nil {
				t.Fatalf("taken, though it is not JSON: %v", err)
			}
			return
		}
		if refusal != nil {
			return // TestParseRefuses says for what
		}
		if got, want := asDecoded(read), normalised(decoded); !reflect.DeepEqual(got, want) {
			t.Fatalf("read %v, decoded %v", got, want)
		}
	})
}
