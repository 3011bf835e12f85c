package configuration

import (
	"strconv"
	"strings"
)

// maxExponentDigits bounds the exponents that are read, so that sums of them fit into an int.
const maxExponentDigits = 9

// maxWholeDigits is how many decimal digits an int64 has at most.
const maxWholeDigits = 19

// normalNumber gives a JSON number in its normal form: a sign if it is negative, the digits without zeros at either
// end, and the power of ten that they are multiplied by. 1, 1.0 and 10e-1 all give 1e0. No digit is lost.
func normalNumber(literal string) (string, bool) {
	mantissa, sign := strings.CutPrefix(literal, "-")
	exponent := 0
	if index := strings.IndexAny(mantissa, "eE"); index >= 0 {
		read, ok := readExponent(mantissa[index+1:])
		if !ok {
			return "", false
		}
		mantissa, exponent = mantissa[:index], read
	}
	whole, fraction, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(whole+fraction, "0")
	exponent -= len(fraction)
	if digits == "" {
		return "0e0", true
	}
	trimmed := strings.TrimRight(digits, "0")
	exponent += len(digits) - len(trimmed)
	normal := trimmed + "e" + strconv.Itoa(exponent)
	if sign {
		normal = "-" + normal
	}
	return normal, true
}

func readExponent(text string) (int, bool) {
	unsigned, negative := strings.CutPrefix(text, "-")
	unsigned = strings.TrimLeft(strings.TrimPrefix(unsigned, "+"), "0")
	if len(unsigned) > maxExponentDigits {
		return 0, false
	}
	if unsigned == "" {
		return 0, true
	}
	exponent, err := strconv.Atoi(unsigned)
	if negative {
		exponent = -exponent
	}
	return exponent, err == nil
}

// wholeNumber converts a number in its normal form, if it is whole and fits.
func wholeNumber(normal string) (int64, bool) {
	digits, power, _ := strings.Cut(normal, "e")
	exponent, err := strconv.Atoi(power)
	if err != nil || exponent < 0 || exponent > maxWholeDigits {
		return 0, false
	}
	whole, err := strconv.ParseInt(digits+strings.Repeat("0", exponent), 10, 64)
	return whole, err == nil
}
