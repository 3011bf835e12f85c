package controller

import (
	"fmt"
	"slices"

	"eiderway/control/failover"
	"eiderway/control/feed"
)

// noteInstances writes a line for each instance that has joined, drains or has left since the services were read last, with how
// many others its service has: that decides whether somebody can follow a leader.
func (c *Controller) noteInstances(before, after []failover.ServiceView) {
	last := make(map[string]failover.ServiceView, len(before))
	for _, view := range before {
		last[view.Name] = view
	}
	for _, view := range after {
		c.noteInstancesOf(last[view.Name], view)
		delete(last, view.Name)
	}
	for _, view := range before {
		if _, gone := last[view.Name]; gone {
			c.noteInstancesOf(view, failover.ServiceView{Name: view.Name})
		}
	}
}

func (c *Controller) noteInstancesOf(before, after failover.ServiceView) {
	if slices.Equal(before.Instances, after.Instances) {
		return
	}
	for _, instance := range after.Instances {
		last, known := instanceIn(before, instance.ID)
		switch {
		case !known:
			c.noteInstance("instance joined", after, instance)
		case instance.Draining && !last.Draining:
			c.noteInstance("instance draining", after, instance)
		case !instance.Draining && last.Draining:
			c.noteInstance("instance ready again", after, instance)
		}
	}
	for _, instance := range before.Instances {
		if _, present := instanceIn(after, instance.ID); !present {
			c.noteInstance("instance gone", after, instance)
		}
	}
}

func (c *Controller) noteInstance(what string, service failover.ServiceView, instance feed.Instance) {
	role := "replica"
	if instance.ID == service.Leader.InstanceID {
		role = "leader"
	}
	others := len(service.Instances)
	if _, present := instanceIn(service, instance.ID); present {
		others--
	}
	c.event(what, fmt.Sprintf("%s of %s at %s, %s, %d others", instance.ID, service.Name, instance.Address, role, others))
}

func named(name string) func(failover.ServiceView) bool {
	return func(view failover.ServiceView) bool { return view.Name == name }
}

func instanceIn(service failover.ServiceView, id string) (feed.Instance, bool) {
	index := slices.IndexFunc(service.Instances, func(instance feed.Instance) bool { return instance.ID == id })
	if index < 0 {
		return feed.Instance{}, false
	}
	return service.Instances[index], true
}
