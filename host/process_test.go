package host

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/controller"
	"eiderway/control/failover"
	"eiderway/system"
)

func exampleSettings() system.Settings {
	return system.Settings{
		Name:           "core-1",
		Serves:         []string{system.ServesControlPlane},
		IPAddress:      "10.0.0.1",
		Zone:           "z",
		Listen:         system.ListenAddresses{Control: "10.0.0.1:8782"},
		InternalPorts:  []int{7440, 7455},
		Seeds:          []string{"10.0.0.1:8782", "10.0.0.2:8782"},
		BeatIntervalMs: 2000,
		FaultTolerance: system.FaultTolerance{Machines: 1},
		Bounds:         system.Bounds{GraceS: 0.05, FenceChecked: true},
		PlatformAPI:    &system.PlatformAPI{Address: "10.0.0.9:80", DutyPerS: 50},
	}
}

func TestControllerSettings(t *testing.T) {
	is := is.New(t)
	settings := exampleSettings()
	is.Equal(ControllerSettings(settings).Failover.DrainLimit, failover.DefaultSettings().DrainLimit) // no bound is set
	settings.Bounds.DrainMs = 5000
	derived := ControllerSettings(settings)
	is.Equal(derived.Failover.DrainLimit, 5*time.Second)
	is.Equal(derived.Failover.DrainMargin, time.Second)
	is.Equal(derived.Lease, 2500*time.Millisecond) // a gateway that has not heard of a drain goes on for one lease at most
	settings.Bounds.ConfigApplyMs = 2000
	is.Equal(ControllerSettings(settings).Lease, 2*time.Second)
	settings.Bounds.DrainMs = 800
	is.Equal(ControllerSettings(settings).Failover.DrainMargin, 200*time.Millisecond)
	is.Equal(ControllerSettings(settings).Lease, 400*time.Millisecond)
	is.Equal(derived.Replication.Self.Address, "10.0.0.1:7440")
	is.Equal(derived.Replication.Self.Control, "10.0.0.1:8782")
	is.Equal(derived.Replication.Seeds, []string{"10.0.0.1:7440", "10.0.0.2:7440"})
	is.Equal(derived.Replication.Tolerance, 1)
	is.Equal(derived.Failover.Holder, "core-1")
	is.True(derived.Failover.FenceChecked)
	is.Equal(derived.Failover.CallsPerSecond, 25.0)
	is.Equal(derived.InstanceTimeout, 16*time.Second)
	is.True(derived.MaxWatchWait < derived.Lease)
}

// newLifecycleProcess returns a process of which only watchLifecycle runs.
func newLifecycleProcess(t *testing.T, options Options) *process {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	p := &process{options: options, inbox: newMailbox(mailboxLimit), parent: t.Context(), ctx: ctx, cancel: cancel}
	p.background.Go(p.watchLifecycle)
	t.Cleanup(func() {
		cancel(nil)
		p.background.Wait()
	})
	return p
}

func TestTerminateIsForwardedAndBounded(t *testing.T) {
	is := is.New(t)
	terminate := make(chan struct{})
	p := newLifecycleProcess(t, Options{Settings: exampleSettings(), Terminate: terminate})
	close(terminate)
	receive(t, p.inbox.ready)
	is.Equal(p.inbox.take(nil), []controller.Input{controller.Terminate{}})
	receive(t, p.ctx.Done()) // a controller that never finishes its handover is ended within the grace period
	is.Equal(context.Cause(p.ctx), errGraceExpired)
	is.NoErr(p.exitError())
}

func TestReloadForwardsSeeds(t *testing.T) {
	is := is.New(t)
	reload := make(chan system.Settings)
	p := newLifecycleProcess(t, Options{Settings: exampleSettings(), Reload: reload})
	changed := exampleSettings()
	changed.Seeds = []string{"10.0.0.7:8782"}
	reload <- changed
	receive(t, p.inbox.ready)
	is.Equal(p.inbox.take(nil), []controller.Input{controller.SeedsChanged{Seeds: []string{"10.0.0.7:7440"}}})
}

func TestCancelCauseIsExitError(t *testing.T) {
	is := is.New(t)
	p := newLifecycleProcess(t, Options{})
	p.cancel(errForeignIncarnation)
	is.Equal(p.exitError(), errForeignIncarnation)
}

func TestDescriptorsAreDividedAmongListeners(t *testing.T) {
	is := is.New(t)
	is.Equal(connectionLimitsOf(4096), connectionLimits{control: 874, internal: 2622})
	small := connectionLimitsOf(0)
	is.True(small.control > 0 && small.control+small.internal < defaultDescriptors-reservedForFiles)
}

func TestSlowSenderIsDisconnected(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: echoInput})
	server := newHTTPServer(r.handler, quietLog())
	server.ReadTimeout = 50 * time.Millisecond
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	defer func() {
		is.NoErr(server.Close())
		receive(t, ended)
	}()
	slow := begin(t, listener.Addr().String(), "POST /config/replace HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\nhalf")
	answer, err := io.ReadAll(slow) // ends only because the server closes
	is.NoErr(err)
	is.True(len(answer) > 0)
	is.Equal(len(r.controller.inputs), 0)
}
