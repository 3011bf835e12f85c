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
	clusterSize = 3
	// retryInterval is the pause between attempts of an operator or an instance.
	retryInterval = 20 * time.Millisecond
	// clusterTimeout is how long an acknowledgement may take: it covers a takeover on a busy test machine.
	clusterTimeout = 30 * time.Second
)

// cluster is three controllers on separate loopback addresses, with real disks.
type cluster struct {
	t           *testing.T
	controllers [clusterSize]*runningController
	settings    [clusterSize]system.Settings
	client      *http.Client
}

// runningController is a controller that runs within the test's process.
type runningController struct {
	kill      context.CancelFunc
	terminate chan struct{}
	reload    chan system.Settings
	ended     chan error
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	var hosts, addresses []string
	for index := range clusterSize {
		hosts = append(hosts, fmt.Sprintf("127.0.0.%d", index+1))
	}
	control, internal := loopback.ReserveForTest(t, hosts...).Number, loopback.ReserveForTest(t, hosts...).Number
	for _, host := range hosts {
		addresses = append(addresses, fmt.Sprintf("%s:%d", host, control))
	}
	c := &cluster{t: t, client: plainClient(t)}
	c.client.Timeout = 2 * time.Second // callers give up after about a second
	for index := range clusterSize {
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

func (c *cluster) start(index int) {
	ctx, kill := context.WithCancel(context.Background())
	started := &runningController{
		kill:      kill,
		terminate: make(chan struct{}),
		reload:    make(chan system.Settings),
		ended:     make(chan error, 1),
	}
	c.controllers[index] = started
	settings := c.settings[index]
	options := Options{Settings: settings, Reload: started.reload, Log: controllerLog(settings.Name), Terminate: started.terminate}
	go func() { started.ended <- Run(ctx, options) }()
	c.settings[index].FirstStart = false // for the next start
}

// controllerLog shows the log of the controllers if EIDERWAY_TEST_LOG is set.
func controllerLog(name string) logrus.FieldLogger {
	if os.Getenv("EIDERWAY_TEST_LOG") == "" {
		return quietLog()
	}
	return logrus.WithField("controller", name)
}

// end waits for the end of a controller and returns its error.
func (c *cluster) end(index int) error {
	c.t.Helper()
	err := receive(c.t, c.controllers[index].ended)
	c.controllers[index].kill()
	c.controllers[index] = nil
	return err
}

func (c *cluster) kill(index int) {
	c.t.Helper()
	c.controllers[index].kill()
	if err := c.end(index); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) killAll() {
	for index, controller := range c.controllers {
		if controller != nil {
			c.kill(index)
		}
	}
}

// finalAnswer is the answer to a call, and the address of the controller that gave it after redirects.
type finalAnswer struct {
	status int
	body   string
	by     string
}

// ask calls one controller and follows up to two redirects, as callers do.
func (c *cluster) ask(method, address, path, body string) (finalAnswer, error) {
	url := "http://" + address + path
	for range 3 {
		request, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return finalAnswer{}, err
		}
		response, err := c.client.Do(request)
		if err != nil {
			return finalAnswer{}, err
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return finalAnswer{}, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return finalAnswer{status: response.StatusCode, body: string(content), by: request.URL.Host}, nil
		}
		url = response.Header.Get("Location")
	}
	return finalAnswer{}, errors.New("redirected too often")
}

// askUntilAnswered calls the controllers in turn, beginning with the given one, until one answers with neither a server error nor 408.
func (c *cluster) askUntilAnswered(first int, method, path, body string) finalAnswer {
	c.t.Helper()
	deadline := time.Now().Add(clusterTimeout)
	var last string
	for try := first; time.Now().Before(deadline); try++ {
		answer, err := c.ask(method, c.settings[try%clusterSize].Listen.Control, path, body)
		if err == nil && answer.status < http.StatusInternalServerError && answer.status != http.StatusRequestTimeout {
			return answer
		}
		last = fmt.Sprint(answer.status, answer.body, err)
		time.Sleep(retryInterval)
	}
	c.t.Fatalf("%s %s got no clear answer; the last try: %s", method, path, last)
	panic("not reached")
}

// indexOf returns the index of the controller with this control address.
func (c *cluster) indexOf(address string) int {
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

// watch requests tables as a gateway does until one is as wanted, and returns it.
func (c *cluster) watch(client *rpc.Client, wanted func(feed.Table) bool) feed.Table {
	c.t.Helper()
	deadline := time.Now().Add(clusterTimeout)
	for try := 0; time.Now().Before(deadline); try++ {
		ctx, cancel := context.WithTimeout(c.t.Context(), 2*time.Second)
		request := feed.WatchRequest{Gateway: "g-1", Name: "g", Wait: time.Second}
		answer, err := client.Watch(ctx, c.settings[try%clusterSize].RPCAddress(), request)
		cancel()
		if err == nil && answer.Table != nil && answer.Lease > 0 && wanted(*answer.Table) {
			return *answer.Table
		}
		time.Sleep(retryInterval)
	}
	c.t.Fatal("no controller returned the wanted table")
	panic("not reached")
}

func TestClusterSurvivesLossOfPrimary(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	for index := range clusterSize {
		c.start(index)
	}

	// The first start: the cluster forms, accepts a configuration, and every controller returns it.
	first, second := configurationText(1), configurationText(2)
	accepted := c.askUntilAnswered(0, "POST", "/config/replace", first)
	is.Equal(accepted.status, 200)
	for index := range clusterSize {
		read := c.askUntilAnswered(index, "GET", "/config/fetch", "")
		is.Equal(read.status, 200)
		is.Equal(read.body, first)
	}
	is.Equal(c.askUntilAnswered(0, "POST", "/config/replace", `{"configRevision":3`).status, 400)

	// An instance registers, is probed, and appears as the leader in a gateway's table.
	instance := newAnsweringInstance(t, true)
	address := instance.listener.Addr().String()
	is.Equal(c.askUntilAnswered(1, "POST", "/instances/i-1/heartbeat", beatText(address, "primary", 1)).status, 200)
	gateway := &rpc.Client{}
	defer gateway.Close()
	leads := func(table feed.Table) bool {
		return table.ConfigurationNumber == 1 && len(table.Services) == 1 && table.Services[0].Leader.InstanceID == "i-1"
	}
	is.Equal(c.watch(gateway, leads).Services[0].Leader.Term, uint64(3))

	// The primary is lost: the others have everything that was acknowledged, and accept the next configuration.
	lost := c.indexOf(c.askUntilAnswered(0, "GET", "/config/fetch", "").by)
	c.kill(lost)
	is.Equal(c.askUntilAnswered(lost+1, "GET", "/config/fetch", "").body, first)
	is.Equal(c.askUntilAnswered(lost+1, "POST", "/config/replace", second).status, 200)
	is.Equal(c.askUntilAnswered(lost+2, "POST", "/config/replace", first).status, 200) // sent again: acknowledged again
	is.Equal(c.askUntilAnswered(lost+2, "GET", "/config/fetch", "").body, second)
	is.Equal(c.askUntilAnswered(lost+1, "POST", "/instances/i-1/heartbeat", beatText(address, "primary", 2)).status, 200)

	// The lost controller returns with its disk.
	c.start(lost)
	is.Equal(c.askUntilAnswered(lost, "GET", "/config/fetch", "").body, second)
}

func TestClusterSurvivesRestartOfAllProcesses(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	for index := range clusterSize {
		c.start(index)
	}
	is.Equal(c.askUntilAnswered(0, "POST", "/config/replace", configurationText(5)).status, 200)
	c.killAll()
	for index := range clusterSize {
		c.start(index)
	}
	is.Equal(c.askUntilAnswered(0, "GET", "/config/fetch", "").body, configurationText(5))
}

func TestTerminatedControllerHandsOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	for index := range clusterSize {
		c.start(index)
	}
	accepted := c.askUntilAnswered(0, "POST", "/config/replace", configurationText(1))
	is.Equal(accepted.status, 200)
	leaving := c.indexOf(accepted.by)
	close(c.controllers[leaving].terminate)
	is.NoErr(c.end(leaving)) // within its grace period
	is.Equal(c.askUntilAnswered(leaving+1, "POST", "/config/replace", configurationText(2)).status, 200)
	is.Equal(c.askUntilAnswered(leaving+2, "GET", "/config/fetch", "").body, configurationText(2))
}

func TestRunRequiresControllerSettings(t *testing.T) {
	is := is.New(t)
	is.True(Run(t.Context(), Options{Settings: system.Settings{Serves: []string{system.ServesEdge}}, Log: quietLog()}) != nil)
}
