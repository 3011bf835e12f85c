package systemtest

import (
	"eiderway/system"
	"eiderway/systemtest/workload"
)

// links are relays that stand between each process and each controller that it speaks to, so that a test can cut one from the other.
type links struct {
	relays map[link]*workload.Relay
}

// link is a way from a process, which connects, to a controller.
type link struct{ from, to string }

// startLinks starts relays between all processes of a world.
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

// through gives the settings of a process with the ways through the relays; without relays as they are.
func (l *links) through(w *world, settings system.Settings) system.Settings {
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

// direction of a cut, as seen from the first of two processes.
type direction int

const (
	bothWays direction = iota
	onlyThere
	onlyBack
)

// cut sets whether one process is cut from another. Either may connect to the other.
func (l *links) cut(one, other string, how direction, isCut bool) {
	there, back := !isCut || how == onlyBack, !isCut || how == onlyThere
	if relay := l.relays[link{one, other}]; relay != nil {
		relay.SetPassing(there, back)
	}
	if relay := l.relays[link{other, one}]; relay != nil {
		relay.SetPassing(back, there)
	}
}
