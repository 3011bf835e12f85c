package configuration

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// fieldValidator checks the rules in the tags of Contents, Route, Service, Tenant and Limits. It is never changed.
var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	fields := validator.New(validator.WithRequiredStructEnabled())
	fields.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("json") })
	return fields
}

// check returns the first reason why parsed contents can't be put in force.
func check(contents Contents) *Refusal {
	if refusal := checkFields("", contents); refusal != nil {
		return refusal
	}
	services, refusal := checkServices(contents.Services)
	if refusal != nil {
		return refusal
	}
	if refusal := checkRoutes(contents.Routes, services); refusal != nil {
		return refusal
	}
	return checkTenants(contents.Tenants)
}

// nameSet is a set of names.
type nameSet map[string]struct{}

func checkServices(services []Service) (nameSet, *Refusal) {
	known := make(nameSet, len(services))
	for index, service := range services {
		where := label("service", service.Name, "serviceTable", index)
		if refusal := checkFields(where, service); refusal != nil {
			return nil, refusal
		}
		if _, isDuplicate := known[service.Name]; isDuplicate {
			return nil, invalid(where, "has the name of another service")
		}
		known[service.Name] = struct{}{}
	}
	return known, nil
}

// routeMatch is what a request must match to use a route.
type routeMatch struct{ host, pathPrefix string }

func checkRoutes(routes []Route, services nameSet) *Refusal {
	namesByMatch := make(map[routeMatch]string, len(routes))
	for index, route := range routes {
		where := label("route", route.Name, "routeTable", index)
		if refusal := checkFields(where, route); refusal != nil {
			return refusal
		}
		if _, isKnown := services[route.TargetService]; !isKnown {
			return invalid(where, fmt.Sprintf("targetService %q is not in serviceTable", route.TargetService))
		}
		match := routeMatch{host: route.Host, pathPrefix: route.PathPrefix}
		if other, found := namesByMatch[match]; found {
			return invalid(where, fmt.Sprintf("has host %q and pathPrefix %q like route %q", match.host, match.pathPrefix, other))
		}
		namesByMatch[match] = route.Name
	}
	return nil
}

// checkTenants checks each tenant, and that no key belongs to two of them. The problems that it reports don't quote keys.
func checkTenants(tenants []Tenant) *Refusal {
	known := make(nameSet, len(tenants))
	ownersByKey := map[string]string{} // tenant names
	for index, tenant := range tenants {
		where := label("tenant", tenant.Name, tenantTable, index)
		if refusal := checkFields(where, tenant); refusal != nil {
			return refusal
		}
		if strings.ContainsAny(tenant.Name, " \r\n") {
			return invalid(where, "name must not hold a blank or the end of a line")
		}
		if _, isDuplicate := known[tenant.Name]; isDuplicate {
			return invalid(where, "has the name of another tenant")
		}
		known[tenant.Name] = struct{}{}
		if refusal := checkKeys(where, tenant, ownersByKey); refusal != nil {
			return refusal
		}
	}
	return nil
}

func checkKeys(where string, tenant Tenant, ownersByKey map[string]string) *Refusal {
	for _, key := range tenant.Keys {
		if key == "" {
			return invalid(where, "has a key that is empty")
		}
		if strings.ContainsAny(key, " \r\n") {
			return invalid(where, "has a key with a blank or the end of a line, which no client can send")
		}
		if owner, found := ownersByKey[key]; found && owner != tenant.Name {
			return invalid(where, fmt.Sprintf("shares a key with tenant %q", owner))
		}
		ownersByKey[key] = tenant.Name
	}
	return nil
}

// label names a row of a table in a problem: by its name, or by its index if it has none.
func label(row, name, table string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", table, index)
	}
	return fmt.Sprintf("%s %q", row, name)
}

// checkFields checks the rules in the tags of a struct.
func checkFields(where string, part any) *Refusal {
	err := fieldValidator.Struct(part)
	if err == nil {
		return nil
	}
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return invalid(where, err.Error())
	}
	return invalid(where, failureText(failures[0]))
}

func failureText(failure validator.FieldError) string {
	field := failure.Field()
	switch failure.Tag() {
	case "required":
		return field + " is missing or empty"
	case "gt":
		return field + " must be greater than " + failure.Param()
	case "gte":
		return field + " must not be less than " + failure.Param()
	case "oneof":
		return field + " must be one of " + strings.ReplaceAll(failure.Param(), " ", ", ")
	default:
		return field + " is not valid"
	}
}
