package host

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/replication"
	"eiderway/control/store"
	"eiderway/system"
)

const (
	// openRetryInterval is the time between attempts to open the store while the disk fails. If the process exited instead, it would only be
	// started again with the same disk.
	openRetryInterval = 500 * time.Millisecond
	// listenRetryInterval and listenAttempts bound the wait for a port that the previous process has not released yet.
	listenRetryInterval = 200 * time.Millisecond
	listenAttempts      = 25
)

// openStore opens the store. It retries while the disk fails.
func openStore(ctx context.Context, options Options) (*store.Store, replication.DurableState, error) {
	storeOptions := store.Options{FirstStart: options.Settings.FirstStart, Log: options.Log}
	warned := false
	for {
		opened, durable, err := store.Open(options.Settings.DataDirectory, storeOptions)
		if err == nil {
			return opened, durable, nil
		}
		if isFinal(err) {
			return nil, replication.DurableState{}, err
		}
		if !warned {
			options.Log.WithError(err).Warn("disk: opening the store failed; retrying")
			warned = true
		}
		if !sleep(ctx, openRetryInterval) {
			return nil, replication.DurableState{}, err
		}
	}
}

// isFinal reports whether a retry can't help. Other errors may pass: a previous process, for example, may still hold the file.
func isFinal(err error) bool { return errors.Is(err, store.ErrNewerFormat) }

// listeners are the sockets on which the process accepts connections.
type listeners struct {
	control  net.Listener // operators and instances
	internal net.Listener // other processes of the system
}

func openListeners(ctx context.Context, settings system.Settings) (listeners, error) {
	control, err := listenWithRetry(ctx, settings.Listen.Control)
	if err != nil {
		return listeners{}, err
	}
	internal, err := listenWithRetry(ctx, settings.RPCAddress())
	if err != nil {
		_ = control.Close()
		return listeners{}, err
	}
	return listeners{control: control, internal: internal}, nil
}

func listenWithRetry(ctx context.Context, address string) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := listen(ctx, address)
		if err == nil {
			return listener, nil
		}
		if attempt == listenAttempts || !sleep(ctx, listenRetryInterval) {
			return nil, eris.Wrap(err, "host")
		}
	}
}

// sleep pauses, and returns false if the context ended meanwhile.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// File descriptors of the process: reservedForFiles are left to files of the machine; reservedForProcess are for connections that this
// process opens (to other controllers, instances and the platform), its disk and its listeners.
const (
	defaultDescriptors = 1024 // if the settings don't say: the usual limit of a process
	reservedForFiles   = 200
	reservedForProcess = 400
	maxIdleProbeConns  = 250 // connections to instances that are kept between probes; part of reservedForProcess
	controlShare       = 4   // one in four of the remaining descriptors is for HTTP callers, the others are for gateways and controllers
)

// connectionLimits bound the accepted connections of each listener.
type connectionLimits struct{ control, internal int }

// maxKeptAlive is how many callers of the control plane may keep their connections. Instances keep theirs from one heartbeat to the next,
// and any number of them must leave room for operators.
func (l connectionLimits) maxKeptAlive() int { return l.control / 2 }

func connectionLimitsOf(descriptors int) connectionLimits {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	rest := max(descriptors-reservedForFiles-reservedForProcess, descriptors/4)
	control := rest / controlShare
	return connectionLimits{control: control, internal: rest - control}
}

func platformAddress(settings system.Settings) string {
	if settings.PlatformAPI == nil {
		return ""
	}
	return settings.PlatformAPI.Address
}
