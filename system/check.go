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

// check applies the rules on single fields, then those on several fields together.
func check(settings Settings) error {
	if err := checkFields(settings); err != nil {
		return err
	}
	return checkTogether(settings)
}

func checkFields(settings Settings) error {
	checker := validator.New()
	checker.RegisterTagNameFunc(jsonName)
	if err := checker.RegisterValidation("address", isAddress); err != nil {
		return eris.Wrap(err, "settings")
	}
	err := checker.Struct(settings)
	var broken validator.ValidationErrors
	if errors.As(err, &broken) {
		return fieldError(broken[0])
	}
	return err
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// isAddress wants an IPv4 address and a port: names are not looked up.
func isAddress(field validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(field.Field().String())
	return err == nil && address.Addr().Is4() && address.Port() != 0
}

func fieldError(broken validator.FieldError) error {
	_, field, _ := strings.Cut(broken.Namespace(), ".")
	return refusal(field, broken.Value(), whatWouldDo(broken))
}

func whatWouldDo(broken validator.FieldError) string {
	switch broken.Tag() {
	case "required":
		return "a name"
	case "address":
		return "an IPv4 address and a port, such as 10.1.0.8:8784,"
	case "ip4_addr":
		return "an IPv4 address, such as 10.1.0.8,"
	case "len":
		return "a list of " + broken.Param()
	case "gt":
		return "a number over " + broken.Param()
	case "gte", "min":
		return "a number from " + broken.Param() + " on"
	case "lte", "max":
		return "a number up to " + broken.Param()
	}
	return "what satisfies " + broken.Tag() + "=" + broken.Param()
}

func checkTogether(settings Settings) error {
	if !settings.IsGateway() && !settings.IsController() {
		return refusal("serves", settings.Serves, ServesEdge+" or "+ServesControlPlane)
	}
	if settings.InternalPorts[0] > settings.InternalPorts[1] {
		return refusal("internalPortRange", settings.InternalPorts, "a first port that is not above the last")
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
		return refusal("listenAddrs.front", "", "the address for clients of a process that serves "+ServesEdge)
	}
	if settings.Listen.Readiness == "" {
		return refusal("listenAddrs.readiness", "", "the address for the platform's question of a process that serves "+ServesEdge)
	}
	return nil
}

func checkController(settings Settings) error {
	if settings.Listen.Control == "" {
		return refusal("listenAddrs.control", "", "the address for callers of a process that serves "+ServesControlPlane)
	}
	if settings.DataDirectory == "" {
		return refusal("dataDir", "", "the directory of a process that serves "+ServesControlPlane)
	}
	return nil
}

func refusal(field string, holds any, wouldDo string) error {
	return eris.Errorf("settings: %s holds %s: %s would do", field, shown(holds), wouldDo)
}

// shown is the value on one line, not longer than a line of a log should be.
func shown(value any) string {
	const longest = 80 // bytes: enough for any sound value
	text := fmt.Sprintf("%v", value)
	if quoted, ok := value.(string); ok {
		text = fmt.Sprintf("%q", quoted)
	}
	if len(text) > longest {
		return text[:longest] + "..."
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
