package configuration

import (
	"strconv"
	"strings"
)

// maxExponentDigits bounds the exponents that are accepted, so that their sums fit into an int.
const maxExponentDigits = 9

// maxInt64Digits is the largest number of decimal digits of an int64.
const maxInt64Digits = 19

// canonicalNumber returns the canonical form of a JSON number: a sign if it is negative, the digits without leading and
// trailing zeros, and the power of ten by which they are multiplied. 1, 1.0 and 10e-1 all give 1e0. No digit is lost. The
// result is false if the exponent is out of range.
func canonicalNumber(literal string) (string, bool) {
	mantissa, isNegative := strings.CutPrefix(literal, "-")
	exponent := 0
	if index := strings.IndexAny(mantissa, "eE"); index >= 0 {
		parsed, ok := parseExponent(mantissa[index+1:])
		if !ok {
			return "", false
		}
		mantissa, exponent = mantissa[:index], parsed
	}
	whole, fraction, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(whole+fraction, "0")
	exponent -= len(fraction)
	if digits == "" {
		return "0e0", true
	}
	trimmed := strings.TrimRight(digits, "0")
	exponent += len(digits) - len(trimmed)
	canonical := trimmed + "e" + strconv.Itoa(exponent)
	if isNegative {
		canonical = "-" + canonical
	}
	return canonical, true
}

func parseExponent(text string) (int, bool) {
	unsigned, isNegative := strings.CutPrefix(text, "-")
	unsigned = strings.TrimLeft(strings.TrimPrefix(unsigned, "+"), "0")
	if len(unsigned) > maxExponentDigits {
		return 0, false
	}
	if unsigned == "" {
		return 0, true
	}
	exponent, err := strconv.Atoi(unsigned)
	if isNegative {
		exponent = -exponent
	}
	return exponent, err == nil
}

// parseInteger converts a number in canonical form; false if it has a fraction or doesn't fit into an int64.
func parseInteger(canonical string) (int64, bool) {
	digits, power, _ := strings.Cut(canonical, "e")
	exponent, err := strconv.Atoi(power)
	if err != nil || exponent < 0 || exponent > maxInt64Digits {
		return 0, false
	}
	whole, err := strconv.ParseInt(digits+strings.Repeat("0", exponent), 10, 64)
	return whole, err == nil
}
