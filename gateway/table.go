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
	table, err := table.ApplyTo(d.table)
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

// newerConfiguration parses the table's configuration if it is newer than the current one; else it returns nil. A lower
// number is never taken over: a process doesn't go back during its life.
func (d *directory) newerConfiguration(table feed.Table) (*configuration.Contents, error) {
	if table.ConfigurationNumber <= d.table.ConfigurationNumber {
		return nil, nil
	}
	if table.Configuration == nil {
		return nil, errNoConfiguration
	}
	parsed, err := configuration.Parse(table.Configuration)
	if err != nil {
		return nil, eris.Wrap(errInvalidConfiguration, err.Error())
	}
	return &parsed.Contents, nil
}

// routesByDatabase maps each database name to its route. Of several routes that differ in their path prefix, the one
// with the shortest prefix wins, since a database name has no path.
func routesByDatabase(routes []configuration.Route) map[string]configuration.Route {
	byDatabase := make(map[string]configuration.Route, len(routes))
	for _, route := range routes {
		current, exists := byDatabase[route.Host]
		if !exists || isPreferredPrefix(route.PathPrefix, current.PathPrefix) {
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
