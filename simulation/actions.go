package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"eiderway/control/controller"
)

// action carries out the words of an item. A wrong word ends the play with a message: it is a mistake in the file.
type action func(w *World, words arguments)

// actions by their first word. WHO is a name, several with commas between, or one of the words of World.resolve.
var actions map[string]action

func init() {
	actions = map[string]action{
		"order":        orderAction,       // order N content X [to WHO] [routes N]
		"orders":       ordersAction,      // orders 13..40 every 100ms [to WHO]
		"race":         raceAction,        // race N content X and Y [to WHO,WHO]
		"again":        againAction,       // again N [to WHO]: sent once more, unchanged; "reformatted": in other bytes
		"kill":         killAction,        // kill WHO [for 3s]
		"power":        powerAction,       // power WHO [for 3s] [loses all|some|none]
		"wipe":         wipeAction,        // wipe WHO [for 3s]
		"freeze":       freezeAction,      // freeze WHO for 3s
		"cut":          cutAction,         // cut WHO from WHO [for 20s] [resetting]: it answers the probes of controllers with resets
		"oneway":       oneWayAction,      // oneway WHO to WHO [for 5s]: nothing gets from the first to the second
		"slow":         slowAction,        // slow WHO to WHO by 50ms for 5s
		"reset":        resetAction,       // reset WHO [with WHO]
		"disk-slow":    diskSlowAction,    // disk-slow WHO by 25 for 5s
		"disk-stall":   diskStallAction,   // disk-stall WHO for 3s
		"disk-full":    diskFullAction,    // disk-full WHO for 3s
		"replace":      replaceAction,     // replace WHO by c4: gone for good, without a word
		"retire":       retireAction,      // retire WHO by c4: gone for good, SIGTERM first
		"return":       returnAction,      // return WHO: one that was replaced comes back with its old disk
		"terminate":    terminateAction,   // terminate WHO [for 8s]: SIGTERM, and back after that time
		"seeds":        seedsAction,       // seeds WHO c4 c5 c6 | seeds WHO listed: three of the operator's list
		"answers-lost": answersLostAction, // answers-lost 40% for 5s
		"conditions":   conditionsAction,  // conditions loss 5% reorder 20ms for 5s
		"crash":        crashAction,       // crash INSTANCE [for 5s [as db4]]: it comes back with its log, under its id or a new one
		"drain":        drainAction,       // drain INSTANCE [by db4]
		"leave":        leaveAction,       // leave INSTANCE [beating] [by db4]: without a drain; it serves on, and may go on beating
		"join":         joinAction,        // join db4 to db: a new instance, at an address of its own, with an empty log
		"give-up":      giveUpAction,      // give-up SERVICE: an operator gives up what its lost copies held, asked of the acting controller
		"late-beats":   lateBeatsAction,   // late-beats 40% for 20s: so many heartbeats come seconds late, half of them in time as well
		"revoke":       revokeAction,      // revoke KEY order N [to WHO]: takes a key away with an order of its own
		"key":          keyAction,         // key KEY for TENANT order N [to WHO]: gives it a new key, or one that another tenant has
		"limit":        limitAction,       // limit TENANT RATE BURST order N [to WHO]
		"hot":          hotAction,         // hot TENANT at 200 for 5s: so many operations a second more
		"platform":     platformAction,    // platform slow 2s for 5s | lose-call | lose-answer | late 4s
	}
}

// arguments are the words after the first, read by keyword.
type arguments struct {
	words []string
	text  string
}

func (a arguments) word(index int) string {
	if index < len(a.words) {
		return a.words[index]
	}
	a.fail("a word is missing")
	return ""
}

func (a arguments) after(keyword string) (string, bool) {
	for index, word := range a.words {
		if word == keyword && index+1 < len(a.words) {
			return a.words[index+1], true
		}
	}
	return "", false
}

func (a arguments) has(word string) bool { return slices.Contains(a.words, word) }

func (a arguments) time(keyword string) (time.Duration, bool) {
	text, found := a.after(keyword)
	if !found {
		return 0, false
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		a.fail(err.Error())
	}
	return value, true
}

func (a arguments) number(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		a.fail(err.Error())
	}
	return value
}

func (a arguments) fail(why string) { panic("scenario line " + strconv.Quote(a.text) + ": " + why) }

// trigger is an item that waits for an event.
type trigger struct {
	item Item
	done bool
}

func (w *World) enter(item Item) {
	if item.On == "" {
		w.schedule.at(item.At, func() { w.carryOut(item) })
		return
	}
	w.triggers = append(w.triggers, &trigger{item: item})
}

func (w *World) carryOut(item Item) {
	w.note("trouble", strings.Join(item.Action, " "))
	actions[item.Action[0]](w, arguments{words: item.Action[1:], text: item.Text})
}

// fire starts the items that wait for an event: "ack N" (an operator has the acknowledgement), "arrive N" (an order has
// reached the acting controller), "call SERVICE" (a failover call was sent), "promote SERVICE" (it has taken effect),
// "drained INSTANCE" (its draining was acknowledged), "left INSTANCE" (its leave, without a drain, was).
func (w *World) fire(event string) {
	for _, waiting := range w.triggers {
		if waiting.done || waiting.item.On != event {
			continue
		}
		waiting.done = true
		item := waiting.item
		w.schedule.after(item.At, func() { w.carryOut(item) })
	}
}

func (w *World) orderArrived(target *machine, order controller.ReplaceConfiguration) {
	if w.acting() != target {
		return
	}
	if number, _, err := readBody(order.Body); err == nil {
		w.fire(fmt.Sprintf("arrive %d", number))
	}
}

// resolve gives the hosts that a text names now.
func (w *World) resolve(text string) []string {
	var names []string
	for _, part := range strings.Split(text, ",") {
		names = append(names, w.resolveOne(part)...)
	}
	return names
}

func (w *World) resolveOne(word string) []string {
	kind, of, _ := strings.Cut(word, ":")
	switch kind {
	case "core":
		return w.coreNames()
	case "acting":
		return []string{w.actingName()}
	case "acknowledging":
		return []string{w.lastAcknowledging}
	case "backups":
		return without(w.coreNames(), w.actingName())
	case "backup":
		return pick(without(w.coreNames(), w.actingName()), 0)
	case "backup2":
		return pick(without(w.coreNames(), w.actingName()), 1)
	case "gateways":
		return w.gatewayNames()
	case "instances":
		return w.instanceNames()
	case "leader":
		return []string{w.service(of).leader.id}
	case "replicas":
		return w.replicaNames(of)
	case "replica":
		return pick(w.replicaNames(of), 0)
	case "all":
		all := append(w.coreNames(), w.gatewayNames()...)
		return append(append(all, w.instanceNames()...), platformName)
	}
	return []string{word}
}

// pick gives one of the names, or none.
func pick(names []string, index int) []string {
	if index >= len(names) {
		return nil
	}
	return names[index : index+1]
}

func without(names []string, one string) []string {
	var others []string
	for _, name := range names {
		if name != one {
			others = append(others, name)
		}
	}
	return others
}

func (w *World) actingName() string {
	if acting := w.acting(); acting != nil {
		return acting.name
	}
	return w.coreNames()[0]
}

func (w *World) coreNames() []string {
	var names []string
	for _, one := range w.machines {
		if !one.gone {
			names = append(names, one.name)
		}
	}
	return names
}

func (w *World) gatewayNames() []string {
	var names []string
	for _, one := range w.gateways {
		names = append(names, one.name)
	}
	return names
}

func (w *World) instanceNames() []string {
	var names []string
	for _, one := range w.instances {
		if !one.left {
			names = append(names, one.id)
		}
	}
	return names
}

func (w *World) replicaNames(of string) []string {
	var names []string
	for _, one := range w.service(of).live() {
		if one != w.service(of).leader {
			names = append(names, one.id)
		}
	}
	return names
}

func (a arguments) machines(w *World, text string) []*machine {
	var machines []*machine
	for _, name := range w.resolve(text) {
		if one := w.machineByName(name); one != nil {
			machines = append(machines, one)
		}
	}
	return machines
}

// Orders.

func orderAction(w *World, a arguments) {
	number := a.number(a.word(0))
	content, found := a.after("content")
	if !found {
		content = "x" + a.word(0)
	}
	routes := 1
	if text, found := a.after("routes"); found {
		routes = int(a.number(text))
	}
	w.place(w.orderOf(number, content, routes), a.target(w, "to", 0))
}

// target gives the index-th machine of those named after a keyword, or "".
func (a arguments) target(w *World, keyword string, index int) string {
	text, found := a.after(keyword)
	if !found || text == "any" {
		return ""
	}
	names := w.resolve(text)
	return names[index%len(names)]
}

// orderOf gives the order with this number and content, made when it is first named.
func (w *World) orderOf(number int64, content string, routes int) *order {
	for _, one := range w.orders {
		if one.number == number && one.content == content {
			return one
		}
	}
	made := &order{number: number, content: content, routes: routes, sent: -1, acked: -1}
	made.tenants = w.desk.snapshot()
	made.body = w.makeBody(number, content, routes, made.tenants)
	w.orders = append(w.orders, made)
	return made
}

func ordersAction(w *World, a arguments) {
	fromText, toText, _ := strings.Cut(a.word(0), "..")
	every, _ := a.time("every")
	from, to := a.number(fromText), a.number(toText)
	for number := from; number <= to; number++ {
		w.schedule.after(time.Duration(number-from)*every, func() {
			w.place(w.orderOf(number, fmt.Sprintf("x%d", number), 1), a.target(w, "to", 0))
		})
	}
}

func raceAction(w *World, a arguments) {
	number := a.number(a.word(0))
	one, _ := a.after("content")
	other, _ := a.after("and")
	w.place(w.orderOf(number, one, 1), a.target(w, "to", 0))
	w.place(w.orderOf(number, other, 1), a.target(w, "to", 1))
}

func againAction(w *World, a arguments) {
	number := a.number(a.word(0))
	for _, one := range w.orders {
		if one.number == number && (one.refused == 0) {
			if a.has("reformatted") {
				one.body = reformatted(one.body)
			}
			w.place(one, a.target(w, "to", 0))
			return
		}
	}
}

// reformatted gives other bytes with the same meaning.
func reformatted(body []byte) []byte {
	var spaced bytes.Buffer
	if json.Indent(&spaced, body, " ", "\t") != nil {
		return body
	}
	return spaced.Bytes()
}
