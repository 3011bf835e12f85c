package systemtest

import (
	"eiderway/system"
	"eiderway/systemtest/workload"
)

// links are relays between each process and each controller that it connects to, so that a test can cut the connection.
type links struct {
	relays map[link]*workload.Relay
}

// link is the path from a process, which connects, to a controller.
type link struct{ from, to string }

// startLinks starts the relays from all processes of a world to the controllers.
func startLinks(w *world) *links {
	w.Helper()
	l := &links{relays: map[link]*workload.Relay{}}
	var callers []string
	for number := range workload.ControllerCount {
		callers = append(callers, controllerName(number))
	}
	for number := range gatewayCount {
		callers = append(callers, gatewayName(number))
	}
	for number := range workload.ControllerCount {
		target := w.layout.Controller(number, false, "").RPCAddress()
		for _, from := range callers {
			to := controllerName(number)
			if from == to {
				continue
			}
			relay, err := workload.StartRelay(target)
			if err != nil {
				w.Fatal(err)
			}
			w.Cleanup(relay.Close)
			l.relays[link{from, to}] = relay
		}
	}
	return l
}

// withRoutes returns the settings with routes through the relays, or unchanged if there are no relays.
func (l *links) withRoutes(w *world, settings system.Settings) system.Settings {
	if l == nil {
		return settings
	}
	settings.InternalRoutes = map[string]string{}
	for number := range workload.ControllerCount {
		target := w.layout.Controller(number, false, "").RPCAddress()
		if relay := l.relays[link{settings.Name, controllerName(number)}]; relay != nil {
			settings.InternalRoutes[target] = relay.Address()
		}
	}
	return settings
}

// direction is which way a cut holds bytes back, as seen from the first of two processes.
type direction int

const (
	bothWays direction = iota
	onlyForward
	onlyBackward
)

// cut cuts or restores the link between two processes, whichever of them connects.
func (l *links) cut(one, other string, how direction, isCut bool) {
	forward, backward := !isCut || how == onlyBackward, !isCut || how == onlyForward
	if relay := l.relays[link{one, other}]; relay != nil {
		relay.SetPassing(forward, backward)
	}
	if relay := l.relays[link{other, one}]; relay != nil {
		relay.SetPassing(backward, forward)
	}
}
