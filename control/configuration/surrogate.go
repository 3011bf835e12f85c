package configuration

import (
	"strconv"
	"unicode"
	"unicode/utf16"
)

// escapeLength is the length of an escape such as \u00e9.
const escapeLength = 6

// hasLoneSurrogate tells whether a quoted text of valid JSON escapes half of a surrogate pair. Such texts are no Unicode;
// decoders replace all halves by the same character, so that different bodies would have one digest.
func hasLoneSurrogate(quoted string) bool {
	for index := 0; index < len(quoted); {
		if quoted[index] != '\\' {
			index++
			continue
		}
		first, escaped := escapedUnit(quoted[index:])
		if !escaped {
			index += len(`\n`)
			continue
		}
		index += escapeLength
		if !utf16.IsSurrogate(first) {
			continue
		}
		second, escaped := escapedUnit(quoted[index:])
		if !escaped || utf16.DecodeRune(first, second) == unicode.ReplacementChar {
			return true
		}
		index += escapeLength
	}
	return false
}

// escapedUnit reads the UTF-16 unit of an escape that the text starts with.
func escapedUnit(text string) (rune, bool) {
	if len(text) < escapeLength || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(text[2:escapeLength], 16, 16)
	return rune(unit), err == nil
}
