package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"eiderway/control/failover"
	"eiderway/control/state"
)

// giveUpAfter is how long a copy must have been silent before what it held may be given up, in lengths of the silence that makes an
// instance lost: a machine that restarts, or is cut off for a while, is back sooner.
const giveUpAfter = 3

func (c *Controller) takeGiveUp(in GiveUp) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	if c.term == nil {
		text := "this controller is not primary; ask on the machine of the primary"
		if primary, known := c.node.PrimaryMember(); known {
			text += ", " + primary.Name
		}
		c.reply(Reply{Call: in.Call, Status: http.StatusMisdirectedRequest, Body: errorBody(text)})
		return
	}
	given := state.GiveUp{Service: in.Service, By: in.By, At: in.At.UTC().Format(time.RFC3339)}
	c.queueCall(command{kind: giveUpCopies, call: in.Call, giveUp: given})
}

// decideGiveUp gives up what lost copies held, unless one of them is there or may still return.
func (c *Controller) decideGiveUp(transaction *state.Transaction, command *command) {
	service := command.giveUp.Service
	missing := c.term.failover.BlockingInstances(service)
	command.refusal = c.whyKept(service, missing)
	if command.refusal != "" {
		return
	}
	silent := slices.DeleteFunc(missing, func(id string) bool { return id == failover.DepartedEarlier })
	transaction.GiveUpService(command.giveUp, silent)
	c.event("given up", fmt.Sprintf("%s, by %s: what %s may have held", service, command.giveUp.By, strings.Join(silent, " ")))
}

// whyKept says why what the lost copies of a service held must not be given up now; "": it may.
func (c *Controller) whyKept(service string, missing []string) string {
	if !slices.ContainsFunc(c.term.services, named(service)) {
		return "there is no service " + service
	}
	if len(missing) == 0 {
		return "service " + service + " does not wait for lost copies: it has a leader, or an instance that could lead has yet to come"
	}
	least := giveUpAfter * c.settings.InstanceTimeout
	for _, id := range missing {
		if id == failover.DepartedEarlier {
			continue
		}
		if silence := c.term.registry.SilentFor(c.now, id); silence < least {
			return fmt.Sprintf("instance %s may hold what would be given up, and was heard %v ago; it must have been silent for %v",
				id, silence.Round(time.Second), least)
		}
	}
	return ""
}

func giveUpReply(command command) Reply {
	if command.refusal != "" {
		return Reply{Call: command.call, Status: http.StatusConflict, Body: errorBody(command.refusal)}
	}
	body, _ := json.Marshal(command.giveUp) // plain data always encodes
	return Reply{Call: command.call, Status: http.StatusOK, Body: body}
}
