package gateway

import (
	"strings"

	"github.com/rotisserie/eris"

	"eiderway/control/access"
	"eiderway/control/configuration"
	"eiderway/control/feed"
)

func (d *directory) applyTable(table feed.Table) (tableChanges, error) {
	if table.Version.Less(d.table.Version) {
		return tableChanges{}, errOlderTable
	}
	if table.Version == d.table.Version {
		return tableChanges{}, nil
	}
	table, err := table.On(d.table)
	if err != nil {
		d.needsFullTable = true
		return tableChanges{}, err
	}
	changes := tableChanges{hasNewTable: true}
	contents, err := d.newerConfiguration(table)
	if err != nil {
		return tableChanges{}, err
	}
	if contents != nil {
		changes.hasNewConfiguration = true
		changes.tenants = contents.Tenants
		d.limits = contents.Limits
		d.routes = routesByDatabase(contents.Routes)
		d.access = access.NewTable(contents)
		d.maxConnections = connectionsByService(contents.Services)
	} else {
		table.ConfigurationNumber = d.table.ConfigurationNumber
		table.Configuration = d.table.Configuration
	}
	services := d.readServices(table)
	changes.compare(d.services, services)
	d.table = table
	d.servicesDigest = feed.DigestOf(table.Services)
	d.needsFullTable = false
	d.services = services
	return changes, nil
}

// newerContents reads the table's configuration if it is newer than the one held; nil if it isn't. A lower number is
// never taken over: a process doesn't go back within its life.
func (d *directory) newerConfiguration(table feed.Table) (*configuration.Contents, error) {
	if table.ConfigurationNumber <= d.table.ConfigurationNumber {
		return nil, nil
	}
	if table.Configuration == nil {
		return nil, errNoConfiguration
	}
	order, err := configuration.Parse(table.Configuration)
	if err != nil {
		return nil, eris.Wrap(errInvalidConfiguration, err.Error())
	}
	return &order.Contents, nil
}

// routesByDatabase gives each database name its route. Of several, which differ in their prefix, the one with the
// shortest prefix takes it: a database name has no path.
func routesByDatabase(routes []configuration.Route) map[string]configuration.Route {
	byDatabase := make(map[string]configuration.Route, len(routes))
	for _, route := range routes {
		present, taken := byDatabase[route.Host]
		if !taken || isPreferredPrefix(route.PathPrefix, present.PathPrefix) {
			byDatabase[route.Host] = route
		}
	}
	return byDatabase
}

func isPreferredPrefix(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return strings.Compare(a, b) < 0
}

func (d *directory) readServices(table feed.Table) map[string]*service {
	services := make(map[string]*service, len(table.Services))
	for _, described := range table.Services {
		service := &service{Service: described, maxConnections: d.maxConnections[described.Name]}
		for _, instance := range described.Instances {
			if instance.ID == described.Leader.InstanceID {
				service.address = instance.Address
				service.leaderInstance = instance
			}
		}
		services[described.Name] = service
	}
	return services
}

func connectionsByService(services []configuration.Service) map[string]int {
	maxConnections := make(map[string]int, len(services))
	for _, configured := range services {
		maxConnections[configured.Name] = configured.MaxConnections
	}
	return maxConnections
}
