package system

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
)

// check applies the rules on single fields, then those on combinations of fields.
func check(settings Settings) error {
	if err := checkFields(settings); err != nil {
		return err
	}
	return checkCombinations(settings)
}

func checkFields(settings Settings) error {
	checker := validator.New()
	checker.RegisterTagNameFunc(jsonName)
	if err := checker.RegisterValidation("address", isAddress); err != nil {
		return eris.Wrap(err, "settings")
	}
	err := checker.Struct(settings)
	var violations validator.ValidationErrors
	if errors.As(err, &violations) {
		return fieldError(violations[0])
	}
	return err
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// isAddress accepts an IPv4 address and a port. Host names are never resolved, so they are not accepted.
func isAddress(field validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(field.Field().String())
	return err == nil && address.Addr().Is4() && address.Port() != 0
}

func fieldError(violation validator.FieldError) error {
	_, field, _ := strings.Cut(violation.Namespace(), ".")
	return invalidField(field, violation.Value(), expectation(violation))
}

func expectation(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required":
		return "a name"
	case "address":
		return "an IPv4 address and a port, such as 10.1.0.8:8784"
	case "ip4_addr":
		return "an IPv4 address, such as 10.1.0.8"
	case "len":
		return "a list of length " + violation.Param()
	case "gt":
		return "a number above " + violation.Param()
	case "gte", "min":
		return "a number of " + violation.Param() + " or more"
	case "lte", "max":
		return "a number of at most " + violation.Param()
	}
	return "a value that satisfies " + violation.Tag() + "=" + violation.Param()
}

func checkCombinations(settings Settings) error {
	if !settings.IsGateway() && !settings.IsController() {
		return invalidField("serves", settings.Serves, ServesEdge+" or "+ServesControlPlane)
	}
	if settings.InternalPorts[0] > settings.InternalPorts[1] {
		return invalidField("internalPortRange", settings.InternalPorts, "a first port that is not above the last")
	}
	if settings.IsGateway() {
		if err := checkGateway(settings); err != nil {
			return err
		}
	}
	if settings.IsController() {
		return checkController(settings)
	}
	return nil
}

func checkGateway(settings Settings) error {
	if settings.Listen.Front == "" {
		return invalidField("listenAddrs.front", "", "the address for clients of a process that serves "+ServesEdge)
	}
	if settings.Listen.Readiness == "" {
		return invalidField("listenAddrs.readiness", "", "the address for readiness checks of a process that serves "+ServesEdge)
	}
	return nil
}

func checkController(settings Settings) error {
	if settings.Listen.Control == "" {
		return invalidField("listenAddrs.control", "", "the address for callers of a process that serves "+ServesControlPlane)
	}
	if settings.DataDirectory == "" {
		return invalidField("dataDir", "", "the directory of a process that serves "+ServesControlPlane)
	}
	return nil
}

func invalidField(field string, value any, wanted string) error {
	return eris.Errorf("settings: %s holds %s: want %s", field, formatValue(value), wanted)
}

// formatValue formats the value on one line and shortens it to fit into a line of a log.
func formatValue(value any) string {
	const maxLength = 80 // bytes: enough for any valid value
	text := fmt.Sprintf("%v", value)
	if quoted, ok := value.(string); ok {
		text = fmt.Sprintf("%q", quoted)
	}
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}

func jsonTypeOf(kind reflect.Type) string {
	switch kind.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Map, reflect.Struct, reflect.Pointer:
		return "an object"
	case reflect.Int:
		return "a whole number"
	}
	return "a number"
}
