package proxy

// This file owns what operators ask of zones on the admin socket. It hands orders to the book, and tells how far they are
// until they are carried out; it must never move a zone itself.

import (
	"encoding/json"
	"net"

	"eiderway/zone"
)

// ZoneState is a line of `zone leave`, `zone return`, `zone hold` and `zone auto`: how far an order is, here.
type ZoneState struct {
	zone.State
	Obeyed bool   `json:"obeyed"` // the holder's word has it, here
	Done   bool   `json:"done"`   // and the zone is as ordered
	Error  string `json:"error,omitempty"`
}

var orders = map[string]zone.Override{"leave": zone.Leave, "hold": zone.Hold, "return": zone.Auto, "auto": zone.Auto}

// askedZone answers a question on zones.
func (c *core) askedZone(nc net.Conn, out *json.Encoder, words []string, fail func(string, ...any)) {
	z := c.zones
	what, known := zone.Auto, false
	if len(words) == 2 {
		what, known = orders[words[0]]
	}
	switch {
	case z == nil:
		fail("the section zones is off")
	case len(words) == 1 && words[0] == "status":
		if states, ok := z.states(); ok {
			out.Encode(states)
		}
	case len(words) == 2 && words[0] == "bears":
		var b zone.LeaveEstimate
		found := false
		if z.asks(func() { b, found = z.book.EstimateLeave(words[1], z.core.now) }) && found {
			out.Encode(b)
		} else {
			fail("%q is no zone of the list", words[1])
		}
	case known:
		z.order(nc, out, words[1], what, fail)
	default:
		fail("ask `zone status`, `zone bears ZONE`, `zone leave ZONE`, `zone return ZONE`, `zone hold ZONE` or `zone auto ZONE`")
	}
}

// order tells how far an order is until it is done, the asker goes, or it is given up.
func (z *zones) order(nc net.Conn, out *json.Encoder, name string, what zone.Override, fail func(string, ...any)) {
	var err error
	var was, now zone.State
	look := func() {
		for _, s := range z.book.States(z.core.now) {
			if s.Zone == name {
				now = s
			}
		}
	}
	if !z.asks(func() {
		look()
		was = now
		err = z.book.Order(name, what, z.core.now)
		look()
	}) {
		return
	}
	if err != nil {
		fail("%s", err)
		return
	}
	asker := z.core.report(nc)
	defer asker.end()
	same := now.Hand == what.String() && now.Number == was.Number // there was nothing to order
	for {
		s := ZoneState{State: now, Obeyed: same || now.Hand == what.String() && now.Number > was.Number}
		switch s.Done = s.Obeyed; what {
		case zone.Leave:
			s.Done = s.Obeyed && now.Share == 0
		case zone.Auto:
			s.Done = s.Obeyed && now.Share == 1
		}
		if out.Encode(s) != nil || s.Done {
			return
		}
		if !asker.wait() || !z.asks(look) {
			return
		}
	}
}
