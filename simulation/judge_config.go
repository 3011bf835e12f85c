package simulation

import (
	"fmt"
	"time"
)

// gatewayRecord is what was seen of a gateway's configuration in one life.
type gatewayRecord struct {
	life    int
	highest int64
	held    int64
	since   time.Duration
}

func (j *Judge) gatewayRecord(g *gateway) *gatewayRecord {
	found := j.gateways[g.name]
	if found == nil || found.life != g.life {
		found = &gatewayRecord{life: g.life}
		j.gateways[g.name] = found
	}
	return found
}

func (j *Judge) gatewayHeard(*gateway) {}

// gatewayTook notes the configuration that a gateway works by from now on.
func (j *Judge) gatewayTook(g *gateway, number int64) {
	record := j.gatewayRecord(g)
	if number < record.highest {
		j.broken(ruleConfig, fmt.Sprintf("%s goes back from configuration %d to %d", g.name, record.highest, number))
	}
	record.highest = max(record.highest, number)
	if number != record.held {
		record.since = j.world.now()
	}
	record.held = number
	j.judgeTaken(g, number)
}

// judgeTaken looks whether a configuration in force is one that was sent, valid and not refused.
func (j *Judge) judgeTaken(g *gateway, number int64) {
	if number == 0 {
		return
	}
	read, content, err := readBody(g.table.Configuration)
	if err != nil || read != number {
		j.broken(ruleConfig, fmt.Sprintf("%s holds a configuration %d that is not what was sent: number %d", g.name, number, read))
		return
	}
	j.judgeInForce(number, content, g.name)
}

func (j *Judge) judgeInForce(number int64, content, where string) {
	one := j.orderWith(number, content)
	switch {
	case one == nil:
		j.broken(ruleConfig, fmt.Sprintf("%s has configuration %d with content %s, which nobody sent", where, number, content))
	case !one.valid():
		j.broken(ruleConfig, fmt.Sprintf("%s has %s in force, which is invalid", where, one))
	case one.refused != 0:
		j.broken(ruleConfig, fmt.Sprintf("%s has %s in force, which was refused", where, one))
	}
}

func (j *Judge) orderWith(number int64, content string) *order {
	for _, one := range j.world.orders {
		if one.number == number && one.content == content && one.sent >= 0 {
			return one
		}
	}
	return nil
}

// gatewayServes looks at a statement as the gateway handles it: by a configuration that is not too old.
func (j *Judge) gatewayServes(g *gateway, one *statement) {
	w := j.world
	if !w.gatewayCalm(g) {
		return
	}
	held := j.gatewayRecord(g).held
	for _, placed := range w.orders {
		if placed.acked < 0 || placed.number <= held {
			continue
		}
		if one.sent-placed.acked > j.applyBound(placed.acked) {
			j.broken(ruleConfig, fmt.Sprintf("%s in touch works by configuration %d long after %d was acknowledged", g.name, held, placed.number))
		}
	}
}

// applyBound is how long a gateway that is calm may take: an unsettled core adds to it while most of it works.
func (j *Judge) applyBound(since time.Duration) time.Duration {
	w := j.world
	if w.settled() {
		return w.plan.Bounds.ConfigApply
	}
	if !w.weakNow && w.weakSince <= since {
		return w.plan.Bounds.ConfigApply + w.plan.Bounds.StretchMax
	}
	return time.Hour // no bound holds
}

// readBack is the newest answer to a fetch.
type readBack struct {
	at      time.Duration
	found   bool
	number  int64
	content string
}

// orderAnswered judges one answer to one try of an order.
func (j *Judge) orderAnswered(one *order, attempt int, result callResult, again bool) {
	j.register.orderEnded(attempt, j.world.now(), result)
	if result.outcome != callAnswered {
		return
	}
	switch status := result.reply.Status; {
	case status/100 == 2:
		j.judgeAcknowledged(one)
	case status >= 400 && status < 500 && status != 408 && status != 429:
		j.judgeRefused(one, status)
	}
}

func (j *Judge) judgeAcknowledged(one *order) {
	if !one.valid() {
		j.broken(ruleConfig, one.String()+" is invalid and was acknowledged")
	}
	if one.refused != 0 {
		j.broken(ruleConfig, one.String()+" was refused and is acknowledged now")
	}
	for _, other := range j.world.orders {
		if other != one && other.number == one.number && other.acked >= 0 {
			j.broken(ruleConfig, fmt.Sprintf("two contents were acknowledged under number %d: %s and %s", one.number, other.content, one.content))
		}
	}
}

func (j *Judge) judgeRefused(one *order, status int) {
	if one.acked >= 0 {
		j.broken(ruleConfig, fmt.Sprintf("%s was acknowledged and is refused with %d when sent again", one, status))
	}
	if one.valid() && status != 409 {
		j.broken(ruleConfig, fmt.Sprintf("%s is valid and was refused with %d", one, status))
	}
	if one.valid() && status == 409 && !j.rivalSent(one) {
		j.broken(ruleConfig, one.String()+" was refused though nobody sent another content under its number")
	}
}

func (j *Judge) rivalSent(one *order) bool {
	for _, other := range j.world.orders {
		if other.number == one.number && other.content != one.content && other.sent >= 0 && other.valid() {
			return true
		}
	}
	return false
}

// fetchAnswered judges one answer to a fetch.
func (j *Judge) fetchAnswered(attempt int, result callResult) {
	number, content := int64(0), ""
	good := result.outcome == callAnswered && result.reply.Status == 200
	if good {
		var err error
		number, content, err = readBody(result.reply.Body)
		if err != nil {
			j.broken(ruleConfig, "a configuration was read back that can't be read: "+err.Error())
			good = false
		}
	}
	none := result.outcome == callAnswered && result.reply.Status == 404
	j.register.fetchEnded(attempt, j.world.now(), good || none, number, content)
	if !good {
		return
	}
	j.judgeInForce(number, content, "a read-back")
	j.lastRead = readBack{at: j.world.now(), found: true, number: number, content: content}
}

func (j *Judge) orderSent(one *order) int {
	return j.register.orderBegun(j.world.now(), one)
}

func (j *Judge) fetchSent() int { return j.register.fetchBegun(j.world.now()) }

// judgeReadBack looks at the last configuration that was read back against what had been acknowledged. It is read until
// the end of the day, and for the bound of contact at least.
func (j *Judge) judgeReadBack() {
	w := j.world
	newest := int64(0)
	for _, one := range w.orders {
		if one.acked >= 0 && one.acked < j.lastRead.at-callWait {
			newest = max(newest, one.number)
		}
	}
	anyAcked := false
	for _, one := range w.orders {
		anyAcked = anyAcked || one.acked >= 0
	}
	if !anyAcked {
		return
	}
	if !j.lastRead.found || w.now()-j.lastRead.at > w.plan.Bounds.Contact {
		j.broken(ruleConfig, "no configuration could be read back at the end")
		return
	}
	if j.lastRead.number < newest {
		j.broken(ruleLost, fmt.Sprintf("configuration %d is read back at the end though %d was acknowledged", j.lastRead.number, newest))
	}
}
