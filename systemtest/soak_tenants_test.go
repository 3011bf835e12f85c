package systemtest

import (
	"eiderway/systemtest/workload"
)

const (
	firstDoomed  = firstHot + 20 // number of the first client whose key is taken away and given back
	crowdClients = 3             // of each kind
)

// startCrowd starts clients of a tenant that exceeds its limit, clients whose key is taken away and given back, and a client
// with a key of no tenant. The returned function stops them.
func (s *soak) startCrowd() (stop func()) {
	settings := s.clientSettings()
	start := func(first, count int, key string) *workload.Clients {
		settings.Key = keyed(key)
		return workload.StartClients(first, count, settings)
	}
	started := []*workload.Clients{
		start(firstHot, crowdClients, hotKey),
		start(firstDoomed, crowdClients, doomedKey),
		start(firstDoomed+crowdClients, 1, unheldKey),
	}
	return func() {
		for _, one := range started {
			one.Stop()
		}
	}
}

// changeTenants changes the tenants of the operators' next configurations: the doomed key belongs to the farmers, to the
// traders or to nobody, and the crowd's limit is the usual one, a higher one or a lower one.
func (s *soak) changeTenants() {
	holder := s.random.IntN(3)
	rate := []float64{crowdRate, 2 * crowdRate, crowdRate / 2}[s.random.IntN(3)]
	list := tenantsWith()
	if holder < 2 {
		list[holder].Keys = append(list[holder].Keys, doomedKey)
	}
	list[2].RatePerS = rate
	s.record("the doomed key: %s; the crowd's limit: %v", []string{farmers, traders, "nobody's"}[holder], rate)
	s.tenants.set(list)
}
