package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"eiderway/control/feed"
	"eiderway/control/rpc"
	"eiderway/system"
	"eiderway/testing/loopback"
)

const (
	coreSize = 3
	// askAgain is the pause between tries of an operator or an instance.
	askAgain = 20 * time.Millisecond
	// corePatience is how long an acknowledgement may take: a takeover, on a busy test machine.
	corePatience = 30 * time.Second
)

// core is three controllers on loopback addresses of their own, with real disks.
type core struct {
	t           *testing.T
	controllers [coreSize]*running
	settings    [coreSize]system.Settings
	client      *http.Client
}

// running is a controller's process in the test's process.
type running struct {
	kill      context.CancelFunc
	terminate chan struct{}
	reload    chan system.Settings
	ended     chan error
}

func newCore(t *testing.T) *core {
	t.Helper()
	var hosts, addresses []string
	for index := range coreSize {
		hosts = append(hosts, fmt.Sprintf("127.0.0.%d", index+1))
	}
	control, internal := loopback.ReserveForTest(t, hosts...).Number, loopback.ReserveForTest(t, hosts...).Number
	for _, host := range hosts {
		addresses = append(addresses, fmt.Sprintf("%s:%d", host, control))
	}
	c := &core{t: t, client: plainClient(t)}
	c.client.Timeout = 2 * time.Second // callers give up after about a second
	for index := range coreSize {
		c.settings[index] = system.Settings{
			Name:           fmt.Sprintf("core-%d", index+1),
			Serves:         []string{system.ServesControlPlane},
			IPAddress:      hosts[index],
			Zone:           "z",
			Listen:         system.ListenAddresses{Control: addresses[index]},
			InternalPorts:  []int{internal, internal},
			Seeds:          addresses,
			FirstStart:     true,
			DataDirectory:  t.TempDir(),
			BeatIntervalMs: 1000,
			FaultTolerance: system.FaultTolerance{Machines: 1},
			Bounds:         system.DefaultBounds(),
		}
	}
	t.Cleanup(c.killAll)
	return c
}

func (c *core) start(index int) {
	ctx, kill := context.WithCancel(context.Background())
	started := &running{
		kill:      kill,
		terminate: make(chan struct{}),
		reload:    make(chan system.Settings),
		ended:     make(chan error, 1),
	}
	c.controllers[index] = started
	settings := c.settings[index]
	options := Options{Settings: settings, Reload: started.reload, Log: coreLog(settings.Name), Terminate: started.terminate}
	go func() { started.ended <- Run(ctx, options) }()
	c.settings[index].FirstStart = false // for the next start
}

// coreLog shows the controllers' lines if the environment asks for them.
func coreLog(name string) logrus.FieldLogger {
	if os.Getenv("EIDERWAY_TEST_LOG") == "" {
		return quietLog()
	}
	return logrus.WithField("controller", name)
}

// end waits for the end of a controller and returns its error.
func (c *core) end(index int) error {
	c.t.Helper()
	err := receive(c.t, c.controllers[index].ended)
	c.controllers[index].kill()
	c.controllers[index] = nil
	return err
}

func (c *core) kill(index int) {
	c.t.Helper()
	c.controllers[index].kill()
	if err := c.end(index); err != nil {
		c.t.Fatal(err)
	}
}

func (c *core) killAll() {
	for index, controller := range c.controllers {
		if controller != nil {
			c.kill(index)
		}
	}
}

// answered is a call's end, with the controller that gave it after redirects.
type answered struct {
	status int
	body   string
	by     string
}

// ask calls one controller and follows redirects twice, as callers do.
func (c *core) ask(method, address, path, body string) (answered, error) {
	url := "http://" + address + path
	for range 3 {
		request, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return answered{}, err
		}
		response, err := c.client.Do(request)
		if err != nil {
			return answered{}, err
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return answered{}, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return answered{status: response.StatusCode, body: string(content), by: request.URL.Host}, nil
		}
		url = response.Header.Get("Location")
	}
	return answered{}, errors.New("redirected too often")
}

// settle asks the controllers one after the other until one gives a clear answer, beginning with the given one.
func (c *core) settle(first int, method, path, body string) answered {
	c.t.Helper()
	deadline := time.Now().Add(corePatience)
	var last string
	for try := first; time.Now().Before(deadline); try++ {
		answer, err := c.ask(method, c.settings[try%coreSize].Listen.Control, path, body)
		if err == nil && answer.status < http.StatusInternalServerError && answer.status != http.StatusRequestTimeout {
			return answer
		}
		last = fmt.Sprint(answer.status, answer.body, err)
		time.Sleep(askAgain)
	}
	c.t.Fatalf("%s %s got no clear answer; the last try: %s", method, path, last)
	panic("not reached")
}

// indexOf is the controller with this control address.
func (c *core) indexOf(address string) int {
	for index, settings := range c.settings {
		if settings.Listen.Control == address {
			return index
		}
	}
	c.t.Fatalf("no controller at %s", address)
	panic("not reached")
}

func configurationText(number int) string {
	return fmt.Sprintf(`{"configRevision":%d,"routeTable":[{"name":"r","host":"h","pathPrefix":"/","routeClass":"primary",`+
		`"timeoutMs":1000,"targetLatencyMs":200,"priority":1,"targetService":"s","maxAttempts":2}],`+
		`"serviceTable":[{"name":"s","healthPath":"/health","maxConnections":84,"protocol":"h1","syncReplicas":1}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txnIdleMs":3000}}`, number)
}

func beatText(address, role string, sequence int) string {
	return fmt.Sprintf(`{"targetService":"s","address":%q,"zone":"z","configRevision":"v1","slotCount":7,"operState":"ready",`+
		`"warmupLeftMs":0,"dbRole":%q,"callSeq":%d}`, address, role, sequence)
}

// watch asks as a gateway until the table is as wanted, and returns the last answer.
func (c *core) watch(client *rpc.Client, wanted func(feed.Table) bool) feed.Table {
	c.t.Helper()
	deadline := time.Now().Add(corePatience)
	for try := 0; time.Now().Before(deadline); try++ {
		ctx, cancel := context.WithTimeout(c.t.Context(), 2*time.Second)
		request := feed.WatchRequest{Gateway: "g-1", Name: "g", Wait: time.Second}
		answer, err := client.Watch(ctx, c.settings[try%coreSize].RPCAddress(), request)
		cancel()
		if err == nil && answer.Table != nil && answer.Lease > 0 && wanted(*answer.Table) {
			return *answer.Table
		}
		time.Sleep(askAgain)
	}
	c.t.Fatal("the table did not come to be as wanted")
	panic("not reached")
}

func TestCoreFromTheFirstStartThroughALoss(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	for index := range coreSize {
		c.start(index)
	}

	// Founding, the first order, and its reading at every controller.
	first, second := configurationText(1), configurationText(2)
	taken := c.settle(0, "POST", "/config/replace", first)
	is.Equal(taken.status, 200)
	for index := range coreSize {
		read := c.settle(index, "GET", "/config/fetch", "")
		is.Equal(read.status, 200)
		is.Equal(read.body, first)
	}
	is.Equal(c.settle(0, "POST", "/config/replace", `{"configRevision":3`).status, 400)

	// An instance appears, is probed, and is in the table of a gateway as the leader.
	instance := newAnsweringInstance(t, true)
	address := instance.listener.Addr().String()
	is.Equal(c.settle(1, "POST", "/instances/i-1/heartbeat", beatText(address, "primary", 1)).status, 200)
	gateway := &rpc.Client{}
	defer gateway.Close()
	leads := func(table feed.Table) bool {
		return table.ConfigurationNumber == 1 && len(table.Services) == 1 && table.Services[0].Leader.InstanceID == "i-1"
	}
	is.Equal(c.watch(gateway, leads).Services[0].Leader.Term, uint64(3))

	// The primary is lost: the others know all that was acknowledged, and take the next order.
	lost := c.indexOf(c.settle(0, "GET", "/config/fetch", "").by)
	c.kill(lost)
	is.Equal(c.settle(lost+1, "GET", "/config/fetch", "").body, first)
	is.Equal(c.settle(lost+1, "POST", "/config/replace", second).status, 200)
	is.Equal(c.settle(lost+2, "POST", "/config/replace", first).status, 200) // sent again: acknowledged again
	is.Equal(c.settle(lost+2, "GET", "/config/fetch", "").body, second)
	is.Equal(c.settle(lost+1, "POST", "/instances/i-1/heartbeat", beatText(address, "primary", 2)).status, 200)

	// It comes back with its disk.
	c.start(lost)
	is.Equal(c.settle(lost, "GET", "/config/fetch", "").body, second)
}

func TestCoreSurvivesTheEndOfAllProcesses(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	for index := range coreSize {
		c.start(index)
	}
	is.Equal(c.settle(0, "POST", "/config/replace", configurationText(5)).status, 200)
	c.killAll()
	for index := range coreSize {
		c.start(index)
	}
	is.Equal(c.settle(0, "GET", "/config/fetch", "").body, configurationText(5))
}

func TestControllerThatIsTerminatedHandsOver(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	for index := range coreSize {
		c.start(index)
	}
	taken := c.settle(0, "POST", "/config/replace", configurationText(1))
	is.Equal(taken.status, 200)
	leaving := c.indexOf(taken.by)
	close(c.controllers[leaving].terminate)
	is.NoErr(c.end(leaving)) // within its grace
	is.Equal(c.settle(leaving+1, "POST", "/config/replace", configurationText(2)).status, 200)
	is.Equal(c.settle(leaving+2, "GET", "/config/fetch", "").body, configurationText(2))
}

func TestRunNeedsAController(t *testing.T) {
	is := is.New(t)
	is.True(Run(t.Context(), Options{Settings: system.Settings{Serves: []string{system.ServesEdge}}, Log: quietLog()}) != nil)
}
