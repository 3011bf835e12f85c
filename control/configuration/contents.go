package configuration

import (
	"fmt"
	"strconv"
	"strings"
)

// defaultPathPrefix is the prefix of a route that names none.
const defaultPathPrefix = "/"

// tenantTable is the only table that may be left out: a system without tenants has none.
const tenantTable = "tenantTable"

// readContents takes the known fields out of a body. Field names count letter by letter, as they do in the digest.
func readContents(root value) (Contents, *Refusal) {
	if root.kind != isObject {
		return Contents{}, unreadable("", "the body is not a JSON object")
	}
	reader := &contentsReader{}
	top := object{value: root}
	contents := Contents{
		Number:   reader.whole(top, "configRevision"),
		Routes:   reader.routes(top),
		Services: reader.services(top),
		Tenants:  reader.tenants(top),
		Limits:   reader.limits(top),
	}
	_, contents.HasTenants = root.field(tenantTable)
	return contents, reader.refusal
}

// object is a JSON object with its place in the body.
type object struct {
	value
	where string
}

// contentsReader keeps the first thing that is wrong. A field that was left out reads as zero.
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
		TimeoutMs:       r.whole(from, "timeoutMs"),
		TargetLatencyMs: r.whole(from, "targetLatencyMs"),
		Priority:        int(r.whole(from, "priority")),
		TargetService:   r.text(from, "targetService"),
		MaxAttempts:     int(r.whole(from, "maxAttempts")),
		MaxStalenessMs:  r.whole(from, "maxStalenessMs"),
		NoAuth:          r.flag(from, "noAuth"),
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
			MaxConnections: int(r.whole(item, "maxConnections")),
			Protocol:       r.text(item, "protocol"),
			SyncReplicas:   int(r.whole(item, "syncReplicas")),
		})
	}
	return services
}

func (r *contentsReader) tenants(top object) []Tenant {
	if top.isNullAt(tenantTable) {
		r.refuse(unreadable(tenantTable, "is null: leave it out where nobody needs a key, or send an empty array to let nobody in"))
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
			Priority:  int(r.whole(item, "priority")),
			Limited:   limited,
			RatePerS:  r.decimal(item, "ratePerS"),
			BurstSize: r.decimal(item, "burstSize"),
		})
	}
	return tenants
}

func (r *contentsReader) limits(top object) Limits {
	field, given := top.field("limits")
	if !given {
		r.refuse(invalid("limits", "is missing"))
	} else if field.kind != isObject {
		r.refuse(unreadable("limits", "is not an object"))
	}
	from := object{value: field, where: "limits"}
	return Limits{
		MaxHeaderBytes:  r.whole(from, "maxHeaderBytes"),
		MaxBodyBytes:    r.whole(from, "maxBodyBytes"),
		HeaderTimeoutMs: r.whole(from, "headerTimeoutMs"),
		IdleTimeoutMs:   r.whole(from, "idleTimeoutMs"),
		TxnIdleMs:       r.whole(from, "txnIdleMs"),
	}
}

// objects reads a table, which must be there. Each row is called by its name, or by its place if it has none.
func (r *contentsReader) objects(top object, table, row string) []object {
	field, given := top.field(table)
	if !given {
		r.refuse(invalid(table, "is missing"))
		return nil
	}
	if field.kind != isList {
		r.refuse(unreadable(table, "is not an array"))
		return nil
	}
	objects := make([]object, 0, len(field.items))
	for index, item := range field.items {
		if item.kind != isObject {
			r.refuse(unreadable(fmt.Sprintf("%s[%d]", table, index), "is not an object"))
			return nil
		}
		objects = append(objects, object{value: item, where: rowLabel(item, table, row, index)})
	}
	return objects
}

func rowLabel(item value, table, row string, index int) string {
	name, given := item.field("name")
	if !given || name.kind != isText {
		return label(row, "", table, index)
	}
	return label(row, name.text, table, index)
}

func (r *contentsReader) text(from object, name string) string {
	field, given := from.field(name)
	if !given {
		return ""
	}
	if field.kind != isText {
		r.refuse(unreadable(from.where, name+" is not a text"))
	}
	return strings.Clone(field.text) // a part of the body would keep all of it in memory
}

// texts reads a list of texts. Problems don't quote them: they may be keys.
func (r *contentsReader) texts(from object, name string) []string {
	field, given := from.field(name)
	if !given {
		return nil
	}
	if field.kind != isList {
		r.refuse(unreadable(from.where, name+" is not an array"))
		return nil
	}
	texts := make([]string, 0, len(field.items))
	for _, item := range field.items {
		if item.kind != isText {
			r.refuse(unreadable(from.where, name+" holds something that is not a text"))
			return nil
		}
		texts = append(texts, strings.Clone(item.text))
	}
	return texts
}

func (r *contentsReader) flag(from object, name string) bool {
	field, given := from.field(name)
	if !given {
		return false
	}
	if field.kind != isBool {
		r.refuse(unreadable(from.where, name+" is neither true nor false"))
	}
	return field.text == "true"
}

// decimal reads a number that need not be whole.
func (r *contentsReader) decimal(from object, name string) float64 {
	field, given := from.field(name)
	if !given {
		return 0
	}
	if field.kind != isNumber {
		r.refuse(unreadable(from.where, name+" is not a number"))
		return 0
	}
	number, err := strconv.ParseFloat(field.text, 64)
	if err != nil {
		r.refuse(unreadable(from.where, name+" is out of range"))
	}
	return number
}

func (r *contentsReader) whole(from object, name string) int64 {
	field, given := from.field(name)
	if !given {
		return 0
	}
	if field.kind != isNumber {
		r.refuse(unreadable(from.where, name+" is not a number"))
		return 0
	}
	number, fits := wholeNumber(field.text)
	if !fits {
		r.refuse(unreadable(from.where, name+" is not a whole number of 64 bits"))
	}
	return number
}

func (r *contentsReader) refuse(refusal *Refusal) {
	if r.refusal == nil {
		r.refusal = refusal
	}
}
