package main

import (
	"github.com/rotisserie/eris"

	"eiderway/system"
)

// role is the part that a process has in the system.
type role string

const (
	gatewayRole    role = "gateway"
	controllerRole role = "controller"
)

func roleOf(settings system.Settings) (role, error) {
	switch {
	case settings.IsGateway() && settings.IsController():
		return "", eris.Errorf("settings: serves holds %v: one of %s and %s for each process would do",
			settings.Serves, system.ServesEdge, system.ServesControlPlane)
	case settings.IsGateway():
		return gatewayRole, nil
	case settings.IsController():
		return controllerRole, nil
	}
	return "", eris.Errorf("settings: serves holds %v: %s or %s would do",
		settings.Serves, system.ServesEdge, system.ServesControlPlane)
}
