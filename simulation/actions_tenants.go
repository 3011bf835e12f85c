package simulation

import (
	"strconv"
	"time"
)

// Operators' work on tenants, and what their clients do. Each change goes with an order of its own, and stays in those that are made later.

func revokeAction(w *World, a arguments) {
	key := a.word(0)
	w.desk.take(key)
	w.placeTenants(a, "revoke-"+key)
}

func keyAction(w *World, a arguments) {
	key := a.word(0)
	tenant, _ := a.after("for")
	w.desk.give(key, tenant)
	w.placeTenants(a, "key-"+key+"-"+tenant)
}

func limitAction(w *World, a arguments) {
	tenant := a.word(0)
	w.desk.limit(tenant, a.decimal(a.word(1)), a.decimal(a.word(2)))
	w.placeTenants(a, "limit-"+tenant)
}

func (w *World) placeTenants(a arguments, content string) {
	text, found := a.after("order")
	if !found {
		a.fail("order N is wanted")
	}
	w.place(w.orderOf(a.number(text), content, 1), a.target(w, "to", 0))
}

func hotAction(w *World, a arguments) {
	text, _ := a.after("at")
	lasting, found := a.time("for")
	if !found {
		a.fail("for a time is wanted")
	}
	rate := a.decimal(text)
	w.pressOn(a.word(0), time.Duration(float64(time.Second)/rate), w.now()+lasting)
}

func (a arguments) decimal(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		a.fail(err.Error())
	}
	return value
}
