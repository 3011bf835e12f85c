package configuration

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// fieldChecks holds the rules that the tags of Contents, Route, Service and Limits state. It is never changed.
var fieldChecks = newFieldChecks()

func newFieldChecks() *validator.Validate {
	checks := validator.New(validator.WithRequiredStructEnabled())
	checks.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("json") })
	return checks
}

// check finds the first thing for which contents that could be read can't be put in force.
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

// names is a set of names.
type names map[string]struct{}

func checkServices(services []Service) (names, *Refusal) {
	known := make(names, len(services))
	for index, service := range services {
		where := label("service", service.Name, "serviceTable", index)
		if refusal := checkFields(where, service); refusal != nil {
			return nil, refusal
		}
		if _, twice := known[service.Name]; twice {
			return nil, invalid(where, "has the name of another service")
		}
		known[service.Name] = struct{}{}
	}
	return known, nil
}

// place is where requests find a route.
type place struct{ host, pathPrefix string }

func checkRoutes(routes []Route, services names) *Refusal {
	taken := make(map[place]string, len(routes))
	for index, route := range routes {
		where := label("route", route.Name, "routeTable", index)
		if refusal := checkFields(where, route); refusal != nil {
			return refusal
		}
		if _, known := services[route.TargetService]; !known {
			return invalid(where, fmt.Sprintf("targetService %q is not in serviceTable", route.TargetService))
		}
		at := place{host: route.Host, pathPrefix: route.PathPrefix}
		if other, found := taken[at]; found {
			return invalid(where, fmt.Sprintf("has host %q and pathPrefix %q like route %q", at.host, at.pathPrefix, other))
		}
		taken[at] = route.Name
	}
	return nil
}

// checkTenants looks at each tenant, and that no key leads to two of them. Problems don't quote keys.
func checkTenants(tenants []Tenant) *Refusal {
	known := make(names, len(tenants))
	holders := map[string]string{} // by key
	for index, tenant := range tenants {
		where := label("tenant", tenant.Name, tenantTable, index)
		if refusal := checkFields(where, tenant); refusal != nil {
			return refusal
		}
		if strings.ContainsAny(tenant.Name, " \r\n") {
			return invalid(where, "name must not hold a blank or the end of a line")
		}
		if _, twice := known[tenant.Name]; twice {
			return invalid(where, "has the name of another tenant")
		}
		known[tenant.Name] = struct{}{}
		if refusal := checkKeys(where, tenant, holders); refusal != nil {
			return refusal
		}
	}
	return nil
}

func checkKeys(where string, tenant Tenant, holders map[string]string) *Refusal {
	for _, key := range tenant.Keys {
		if key == "" {
			return invalid(where, "has a key that is empty")
		}
		if strings.ContainsAny(key, " \r\n") {
			return invalid(where, "has a key with a blank or the end of a line, which no client can send")
		}
		if holder, taken := holders[key]; taken && holder != tenant.Name {
			return invalid(where, fmt.Sprintf("shares a key with tenant %q", holder))
		}
		holders[key] = tenant.Name
	}
	return nil
}

func label(row, name, table string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", table, index)
	}
	return fmt.Sprintf("%s %q", row, name)
}

// checkFields applies the rules of the tags.
func checkFields(where string, part any) *Refusal {
	err := fieldChecks.Struct(part)
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
