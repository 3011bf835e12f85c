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
	// openPause is the time between attempts to open the store while the disk refuses. Ending the process instead would
	// only have it started again against the same disk.
	openPause = 500 * time.Millisecond
	// listenPause and listenAttempts bound the wait for a port that the process before this one has not let go yet.
	listenPause    = 200 * time.Millisecond
	listenAttempts = 25
)

// openStore opens the store, and waits for a disk in trouble.
func openStore(ctx context.Context, options Options) (*store.Store, replication.DurableState, error) {
	storeOptions := store.Options{FirstStart: options.Settings.FirstStart, Log: options.Log}
	told := false
	for {
		opened, durable, err := store.Open(options.Settings.DataDirectory, storeOptions)
		if err == nil {
			return opened, durable, nil
		}
		if isFinal(err) {
			return nil, replication.DurableState{}, err
		}
		if !told {
			options.Log.WithError(err).Warn("disk: the store does not open; trying on")
			told = true
		}
		if !sleep(ctx, openPause) {
			return nil, replication.DurableState{}, err
		}
	}
}

// isFinal tells errors that no wait will mend. A process before this one may still be about to let go of the file.
func isFinal(err error) bool { return errors.Is(err, store.ErrNewerFormat) }

// listeners are the sockets on which the process is called.
type listeners struct {
	control  net.Listener // operators and instances
	internal net.Listener // other processes of the system
}

func openListeners(ctx context.Context, settings system.Settings) (listeners, error) {
	control, err := listenPatiently(ctx, settings.Listen.Control)
	if err != nil {
		return listeners{}, err
	}
	internal, err := listenPatiently(ctx, settings.RPCAddress())
	if err != nil {
		_ = control.Close()
		return listeners{}, err
	}
	return listeners{control: control, internal: internal}, nil
}

func listenPatiently(ctx context.Context, address string) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := listen(ctx, address)
		if err == nil {
			return listener, nil
		}
		if attempt == listenAttempts || !sleep(ctx, listenPause) {
			return nil, eris.Wrap(err, "host")
		}
	}
}

// sleep waits, and tells whether the context has not ended meanwhile.
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

// Descriptors of the process: fileDescriptors are kept by the machine for files, ownDescriptors are for connections that
// this process makes (other controllers, instances, the platform), its disk and its listeners.
const (
	defaultDescriptors = 1024 // where the settings don't say: the usual limit of a process
	fileDescriptors    = 200
	ownDescriptors     = 400
	probesKept         = 250 // connections to instances that are kept between probes, of ownDescriptors
	controlShare       = 4   // one in four of the rest is for HTTP callers, the others for gateways and controllers
)

// connectionLimits bound the accepted connections.
type connectionLimits struct{ control, internal int }

// kept is how many callers of the control plane keep their connections. Instances keep theirs from one heartbeat to the next, and operators
// must find room beside any number of them.
func (l connectionLimits) kept() int { return l.control / 2 }

func connectionLimitsOf(descriptors int) connectionLimits {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	rest := max(descriptors-fileDescriptors-ownDescriptors, descriptors/4)
	control := rest / controlShare
	return connectionLimits{control: control, internal: rest - control}
}

func platformAddress(settings system.Settings) string {
	if settings.PlatformAPI == nil {
		return ""
	}
	return settings.PlatformAPI.Address
}
