package configuration

import (
	"strconv"
	"unicode"
	"unicode/utf16"
)

// escapeLength is the length of an escape such as \u00e9.
const escapeLength = 6

// hasLoneSurrogate tells whether a quoted string of valid JSON escapes half of a surrogate pair. Such a string is not valid
// Unicode: decoders replace every half by the same character, so that different bodies would have the same digest.
func hasLoneSurrogate(quoted string) bool {
	for index := 0; index < len(quoted); {
		if quoted[index] != '\\' {
			index++
			continue
		}
		first, isEscape := escapedUnit(quoted[index:])
		if !isEscape {
			index += len(`\n`)
			continue
		}
		index += escapeLength
		if !utf16.IsSurrogate(first) {
			continue
		}
		second, isEscape := escapedUnit(quoted[index:])
		if !isEscape || utf16.DecodeRune(first, second) == unicode.ReplacementChar {
			return true
		}
		index += escapeLength
	}
	return false
}

// escapedUnit returns the UTF-16 code unit of the \u escape at the start of the text; false if there is none.
func escapedUnit(text string) (rune, bool) {
	if len(text) < escapeLength || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(text[2:escapeLength], 16, 16)
	return rune(unit), err == nil
}
