package configuration

import (
	"fmt"
	"strconv"
	"strings"
)

// defaultPathPrefix is the prefix of a route that sets none.
const defaultPathPrefix = "/"

// tenantTable is the name of the only table that may be omitted: a system without tenants has none.
const tenantTable = "tenantTable"

// readContents extracts the known fields of a body. Field names are case-sensitive, as they are in the digest.
func readContents(root value) (Contents, *Refusal) {
	if root.kind != kindObject {
		return Contents{}, malformed("", "the body is not a JSON object")
	}
	reader := &contentsReader{}
	top := object{value: root}
	contents := Contents{
		Number:   reader.integer(top, "configRevision"),
		Routes:   reader.routes(top),
		Services: reader.services(top),
		Tenants:  reader.tenants(top),
		Limits:   reader.limits(top),
	}
	_, contents.HasTenants = root.field(tenantTable)
	return contents, reader.refusal
}

// object is a JSON object with its place in the body, as problems name it.
type object struct {
	value
	where string
}

// contentsReader reads fields and keeps the first problem found. An omitted field reads as zero.
type contentsReader struct{ refusal *Refusal }

func (r *contentsReader) routes(top object) []Route {
	var routes []Route
	for _, item := range r.objects(top, "routeTable", "route") {
		routes = append(routes, r.route(item))
	}
	return routes
}

func (r *contentsReader) route(from object) Route {
	route := Route{
		Name:            r.text(from, "name"),
		Host:            r.text(from, "host"),
		PathPrefix:      defaultPathPrefix,
		Class:           r.text(from, "routeClass"),
		TimeoutMs:       r.integer(from, "timeoutMs"),
		TargetLatencyMs: r.integer(from, "targetLatencyMs"),
		Priority:        int(r.integer(from, "priority")),
		TargetService:   r.text(from, "targetService"),
		MaxAttempts:     int(r.integer(from, "maxAttempts")),
		MaxStalenessMs:  r.integer(from, "maxStalenessMs"),
		NoAuth:          r.boolean(from, "noAuth"),
	}
	if _, given := from.field("pathPrefix"); given {
		route.PathPrefix = r.text(from, "pathPrefix")
	}
	return route
}

func (r *contentsReader) services(top object) []Service {
	var services []Service
	for _, item := range r.objects(top, "serviceTable", "service") {
		services = append(services, Service{
			Name:           r.text(item, "name"),
			HealthPath:     r.text(item, "healthPath"),
			MaxConnections: int(r.integer(item, "maxConnections")),
			Protocol:       r.text(item, "protocol"),
			SyncReplicas:   int(r.integer(item, "syncReplicas")),
		})
	}
	return services
}

func (r *contentsReader) tenants(top object) []Tenant {
	if top.hasNull(tenantTable) {
		r.refuse(malformed(tenantTable, "is null: leave it out where nobody needs a key, or send an empty array to let nobody in"))
		return nil
	}
	if _, given := top.field(tenantTable); !given {
		return nil
	}
	var tenants []Tenant
	for _, item := range r.objects(top, tenantTable, "tenant") {
		_, limited := item.field("ratePerS")
		tenants = append(tenants, Tenant{
			Name:      r.text(item, "name"),
			Keys:      r.texts(item, "apiKeys"),
			Priority:  int(r.integer(item, "priority")),
			Limited:   limited,
			RatePerS:  r.number(item, "ratePerS"),
			BurstSize: r.number(item, "burstSize"),
		})
	}
	return tenants
}

func (r *contentsReader) limits(top object) Limits {
	field, given := top.field("limits")
	if !given {
		r.refuse(invalid("limits", "is missing"))
	} else if field.kind != kindObject {
		r.refuse(malformed("limits", "is not an object"))
	}
	from := object{value: field, where: "limits"}
	return Limits{
		MaxHeaderBytes:  r.integer(from, "maxHeaderBytes"),
		MaxBodyBytes:    r.integer(from, "maxBodyBytes"),
		HeaderTimeoutMs: r.integer(from, "headerTimeoutMs"),
		IdleTimeoutMs:   r.integer(from, "idleTimeoutMs"),
		TxnIdleMs:       r.integer(from, "txnIdleMs"),
	}
}

// objects reads a table, which must be present. Problems refer to a row by its name, or by its index if it has none.
func (r *contentsReader) objects(top object, table, row string) []object {
	field, given := top.field(table)
	if !given {
		r.refuse(invalid(table, "is missing"))
		return nil
	}
	if field.kind != kindArray {
		r.refuse(malformed(table, "is not an array"))
		return nil
	}
	objects := make([]object, 0, len(field.items))
	for index, item := range field.items {
		if item.kind != kindObject {
			r.refuse(malformed(fmt.Sprintf("%s[%d]", table, index), "is not an object"))
			return nil
		}
		objects = append(objects, object{value: item, where: rowLabel(item, table, row, index)})
	}
	return objects
}

func rowLabel(item value, table, row string, index int) string {
	name, given := item.field("name")
	if !given || name.kind != kindString {
		return label(row, "", table, index)
	}
	return label(row, name.text, table, index)
}

func (r *contentsReader) text(from object, name string) string {
	field, given := from.field(name)
	if !given {
		return ""
	}
	if field.kind != kindString {
		r.refuse(malformed(from.where, name+" is not a text"))
	}
	return strings.Clone(field.text) // a substring of the body would keep all of it in memory
}

// texts reads an array of strings. Problems don't quote them: they may be keys.
func (r *contentsReader) texts(from object, name string) []string {
	field, given := from.field(name)
	if !given {
		return nil
	}
	if field.kind != kindArray {
		r.refuse(malformed(from.where, name+" is not an array"))
		return nil
	}
	texts := make([]string, 0, len(field.items))
	for _, item := range field.items {
		if item.kind != kindString {
			r.refuse(malformed(from.where, name+" holds something that is not a text"))
			return nil
		}
		texts = append(texts, strings.Clone(item.text))
	}
	return texts
}

func (r *contentsReader) boolean(from object, name string) bool {
	field, given := from.field(name)
	if !given {
		return false
	}
	if field.kind != kindBool {
		r.refuse(malformed(from.where, name+" is neither true nor false"))
	}
	return field.text == "true"
}

// number reads a number that may have a fraction.
func (r *contentsReader) number(from object, name string) float64 {
	field, given := from.field(name)
	if !given {
		return 0
	}
	if field.kind != kindNumber {
		r.refuse(malformed(from.where, name+" is not a number"))
		return 0
	}
	number, err := strconv.ParseFloat(field.text, 64)
	if err != nil {
		r.refuse(malformed(from.where, name+" is out of range"))
	}
	return number
}

// integer reads a number that must fit into an int64.
func (r *contentsReader) integer(from object, name string) int64 {
	field, given := from.field(name)
	if !given {
		return 0
	}
	if field.kind != kindNumber {
		r.refuse(malformed(from.where, name+" is not a number"))
		return 0
	}
	number, ok := parseInteger(field.text)
	if !ok {
		r.refuse(malformed(from.where, name+" is not a whole number of 64 bits"))
	}
	return number
}

// refuse keeps a refusal unless an earlier one has been found.
func (r *contentsReader) refuse(refusal *Refusal) {
	if r.refusal == nil {
		r.refusal = refusal
	}
}
