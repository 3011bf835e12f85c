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

// giveUpSilenceFactor times Settings.InstanceTimeout is how long a copy must have been silent before the commits on it may be given up. A
// machine that restarts, or is cut off for a while, is back sooner.
const giveUpSilenceFactor = 3

func (c *Controller) handleGiveUp(in GiveUp) {
	c.calls.add(in.Call, c.now+c.settings.CallTimeout)
	if c.term == nil {
		text := "this controller is not primary; ask on the machine of the primary"
		if primary, known := c.node.PrimaryMember(); known {
			text += ", " + primary.Name
		}
		c.reply(Reply{Call: in.Call, Status: http.StatusMisdirectedRequest, Body: errorBody(text)})
		return
	}
	record := state.GiveUp{Service: in.Service, By: in.By, At: in.At.UTC().Format(time.RFC3339)}
	c.enqueueForCaller(command{kind: giveUpCopies, call: in.Call, giveUp: record})
}

// applyGiveUp gives up the commits on the lost copies of a service, unless one of the copies is present or may still return.
func (c *Controller) applyGiveUp(transaction *state.Transaction, command *command) {
	service := command.giveUp.Service
	missing := c.term.failover.BlockingInstances(service)
	command.refusal = c.giveUpRefusal(service, missing)
	if command.refusal != "" {
		return
	}
	silent := slices.DeleteFunc(missing, func(id string) bool { return id == failover.DepartedEarlier })
	transaction.GiveUpService(command.giveUp, silent)
	c.logEvent("given up", fmt.Sprintf("%s, by %s: what %s may have held", service, command.giveUp.By, strings.Join(silent, " ")))
}

// giveUpRefusal returns why the commits on the lost copies of a service must not be given up now, or "" if they may be.
func (c *Controller) giveUpRefusal(service string, missing []string) string {
	if !slices.ContainsFunc(c.term.services, hasName(service)) {
		return "there is no service " + service
	}
	if len(missing) == 0 {
		return "service " + service + " does not wait for lost copies: it has a leader, or an instance that could lead has yet to come"
	}
	minSilence := giveUpSilenceFactor * c.settings.InstanceTimeout
	for _, id := range missing {
		if id == failover.DepartedEarlier {
			continue
		}
		if silence := c.term.registry.SilentFor(c.now, id); silence < minSilence {
			return fmt.Sprintf("instance %s may hold what would be given up, and was heard %v ago; it must have been silent for %v",
				id, silence.Round(time.Second), minSilence)
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
