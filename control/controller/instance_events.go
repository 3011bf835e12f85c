package controller

import (
	"fmt"
	"slices"

	"eiderway/control/failover"
	"eiderway/control/feed"
)

// logInstanceChanges logs each instance that has joined, drains, is ready again or has left since the services were last read. Each line
// says how many other instances the service has, because that decides whether a leader can be replaced.
func (c *Controller) logInstanceChanges(before, after []failover.ServiceView) {
	previous := make(map[string]failover.ServiceView, len(before))
	for _, view := range before {
		previous[view.Name] = view
	}
	for _, view := range after {
		c.logServiceInstances(previous[view.Name], view)
		delete(previous, view.Name)
	}
	for _, view := range before {
		if _, isGone := previous[view.Name]; isGone {
			c.logServiceInstances(view, failover.ServiceView{Name: view.Name})
		}
	}
}

func (c *Controller) logServiceInstances(before, after failover.ServiceView) {
	if slices.Equal(before.Instances, after.Instances) {
		return
	}
	for _, instance := range after.Instances {
		previous, known := findInstance(before, instance.ID)
		switch {
		case !known:
			c.logInstance("instance joined", after, instance)
		case instance.Draining && !previous.Draining:
			c.logInstance("instance draining", after, instance)
		case !instance.Draining && previous.Draining:
			c.logInstance("instance ready again", after, instance)
		}
	}
	for _, instance := range before.Instances {
		if _, present := findInstance(after, instance.ID); !present {
			c.logInstance("instance gone", after, instance)
		}
	}
}

func (c *Controller) logInstance(what string, service failover.ServiceView, instance feed.Instance) {
	role := "replica"
	if instance.ID == service.Leader.InstanceID {
		role = "leader"
	}
	others := len(service.Instances)
	if _, present := findInstance(service, instance.ID); present {
		others--
	}
	c.logEvent(what, fmt.Sprintf("%s of %s at %s, %s, %d others", instance.ID, service.Name, instance.Address, role, others))
}

func hasName(name string) func(failover.ServiceView) bool {
	return func(view failover.ServiceView) bool { return view.Name == name }
}

func findInstance(service failover.ServiceView, id string) (feed.Instance, bool) {
	index := slices.IndexFunc(service.Instances, func(instance feed.Instance) bool { return instance.ID == id })
	if index < 0 {
		return feed.Instance{}, false
	}
	return service.Instances[index], true
}
