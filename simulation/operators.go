package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"eiderway/control/controller"
)

// Times of operators.
const (
	longestPause = 800 * time.Millisecond // between tries; the first pause is retryPause, and each is twice the last
	readEvery    = 400 * time.Millisecond // between fetches
	otherTries   = 3                      // after which a 4xx without a meaning of its own ends a call
)

// order is a configuration that an operator wants in force.
type order struct {
	number  int64
	content string // a name for the content; those that begin with ! are invalid
	body    []byte
	routes  int
	tenants []wireTenant

	sent    time.Duration // first try
	acked   time.Duration // first acknowledgement; negative: none
	refused int           // status of the refusal that ended it; zero: none
	refusal time.Duration
	open    bool // tries go on
	late    bool // reported for Acks
}

func (o *order) valid() bool { return !strings.HasPrefix(o.content, "!") }

func (o *order) String() string { return fmt.Sprintf("order %d %s", o.number, o.content) }

// wireRoute and wireOrder are written here a second time on purpose: the judge must not read with the code it judges.
type wireRoute struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Class           string `json:"routeClass"`
	TimeoutMs       int64  `json:"timeoutMs"`
	TargetLatencyMs int64  `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	TargetService   string `json:"targetService"`
	MaxAttempts     int    `json:"maxAttempts"`
}

type wireService struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	SyncReplicas   int    `json:"syncReplicas"`
}

type wireLimits struct {
	MaxHeaderBytes  int64 `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
	TxnIdleMs       int64 `json:"txnIdleMs"`
}

type wireOrder struct {
	Number   int64         `json:"configRevision"`
	Routes   []wireRoute   `json:"routeTable"`
	Services []wireService `json:"serviceTable"`
	Tenants  []wireTenant  `json:"tenantTable,omitempty"`
	Limits   wireLimits    `json:"limits"`
}

// Contents that are invalid, and why.
const (
	contentZeroTimeout    = "!timeout"
	contentUnknownService = "!service"
	contentTwoRoutes      = "!routes"
	contentCutOff         = "!text"
	contentSharedKey      = "!keys"
)

// makeBody writes a configuration down. The content's name is that of the first route.
func (w *World) makeBody(number int64, content string, routes int, tenants []wireTenant) []byte {
	whole := wireOrder{Number: number, Tenants: tenants, Limits: wireLimits{16384, 262144, 3000, 15000, 3000}}
	for _, service := range w.services {
		whole.Services = append(whole.Services, wireService{service.name, "/health", 84, "h1", service.syncReplicas})
	}
	target := w.services[0].name
	whole.Routes = append(whole.Routes, wireRoute{"r-" + content, "app", "/", "primary", 1000, 200, 1, target, 2})
	for extra := 1; extra < routes; extra++ {
		host := fmt.Sprintf("app%d", extra)
		whole.Routes = append(whole.Routes, wireRoute{"r" + host, host, "/", "primary", 1000, 200, 1, target, 2})
	}
	switch content {
	case contentZeroTimeout:
		whole.Routes[0].TimeoutMs = 0
	case contentUnknownService:
		whole.Routes[0].TargetService = "nobody"
	case contentSharedKey:
		whole.Tenants = []wireTenant{{Name: "one", Keys: []string{"shared"}}, {Name: "other", Keys: []string{"shared"}}}
	case contentTwoRoutes:
		whole.Routes = append(whole.Routes, whole.Routes[0])
	}
	body, _ := json.Marshal(whole) // plain structs always encode
	if content == contentCutOff {
		body = body[:len(body)-2]
	}
	return body
}

// readBody gives number and content of a configuration that was read back.
func readBody(body []byte) (number int64, content string, err error) {
	var whole wireOrder
	if err := json.Unmarshal(body, &whole); err != nil {
		return 0, "", err
	}
	if len(whole.Routes) > 0 {
		content = strings.TrimPrefix(whole.Routes[0].Name, "r-")
	}
	return whole.Number, content, nil
}

// call is one operator's work on one order: tries until there is a clear answer.
type orderCall struct {
	world    *World
	order    *order
	operator string
	list     []string // control addresses in the order of the tries
	tries    int
	others   int
	pause    time.Duration
	again    bool // the order had been acknowledged before this call
}

// place starts a call for an order. The first try goes to the machine named, or to any.
func (w *World) place(one *order, first string) {
	list := w.listedControls()
	w.random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	if first != "" {
		list = append([]string{first + ":8782"}, list...)
	}
	w.operators++
	call := &orderCall{
		world: w, order: one, operator: fmt.Sprintf("operator%d", w.operators), list: list, pause: retryPause,
		again: one.acked >= 0,
	}
	if one.sent < 0 {
		one.sent = w.now()
	}
	one.open = true
	w.note(call.operator, "sends "+one.String())
	call.try()
}

func (c *orderCall) try() {
	w := c.world
	control := c.list[c.tries%len(c.list)]
	if c.tries > 0 && c.tries%len(c.list) == 0 {
		c.list = w.listedControls()
		control = c.list[0]
	}
	c.tries++
	attempt := w.judge.orderSent(c.order)
	makeInput := func(call controller.CallID) controller.Input {
		return controller.ReplaceConfiguration{Call: call, Body: c.order.body}
	}
	w.callControl(c.operator, control, makeInput, func(result callResult) {
		w.judge.orderAnswered(c.order, attempt, result, c.again)
		c.answered(result)
	})
}

func (c *orderCall) answered(result callResult) {
	status := result.reply.Status
	switch {
	case result.outcome != callAnswered, status >= 500, status == 408, status == 429, status/100 == 3:
		c.tryAgain()
	case status/100 == 2:
		c.acknowledged(result.by)
	case status == 400, status == 409, status == 412, status == 413, status == 422:
		c.refused(status)
	default:
		c.others++
		if c.others >= otherTries {
			c.refused(status)
			return
		}
		c.tryAgain()
	}
}

func (c *orderCall) acknowledged(by string) {
	w := c.world
	c.order.open = false
	if c.order.acked < 0 {
		c.order.acked = w.now()
	}
	w.note(c.operator, fmt.Sprintf("%s acknowledged by %s", c.order, by))
	w.lastAcknowledging = by
	w.fire(fmt.Sprintf("ack %d", c.order.number))
}

func (c *orderCall) refused(status int) {
	c.order.open = false
	c.order.refused = status
	c.order.refusal = c.world.now()
	c.world.note(c.operator, fmt.Sprintf("%s refused with %d", c.order, status))
}

func (c *orderCall) tryAgain() {
	if c.world.closing {
		return
	}
	pause := c.pause
	c.pause = min(2*c.pause, longestPause)
	c.world.schedule.after(pause, c.try)
}

// readLoop fetches the configuration again and again, from one controller after the other.
func (w *World) readLoop(reader string, turn int) {
	list := w.listedControls()
	control := list[turn%len(list)]
	attempt := w.judge.fetchSent()
	makeInput := func(call controller.CallID) controller.Input { return controller.FetchConfiguration{Call: call} }
	w.callControl(reader, control, makeInput, func(result callResult) {
		w.judge.fetchAnswered(attempt, result)
		w.schedule.after(readEvery, func() { w.readLoop(reader, turn+1) })
	})
}
