package systemtest

import (
	"eiderway/systemtest/workload"
)

const (
	doomedFirst  = hotFirst + 20 // the number of the first client whose key comes and goes
	crowdClients = 3             // of each kind
)

// startCrowd starts clients of a hot tenant, clients whose key comes and goes, and strangers. The function returned ends them.
func (s *soak) startCrowd() (stop func()) {
	settings := s.clientSettings()
	start := func(first, count int, key string) *workload.Clients {
		settings.Key = keyed(key)
		return workload.StartClients(first, count, settings)
	}
	started := []*workload.Clients{
		start(hotFirst, crowdClients, hotKey),
		start(doomedFirst, crowdClients, doomedKey),
		start(doomedFirst+crowdClients, 1, unheldKey),
	}
	return func() {
		for _, one := range started {
			one.Stop()
		}
	}
}

// changeTenants changes what the operators' next configurations say of tenants: the doomed key is the farmers', the traders' or nobody's, and the
// crowd's limit is the usual one, a higher one or a lower one.
func (s *soak) changeTenants() {
	holder := s.random.IntN(3)
	rate := []float64{crowdRate, 2 * crowdRate, crowdRate / 2}[s.random.IntN(3)]
	list := tenantsWith()
	if holder < 2 {
		list[holder].Keys = append(list[holder].Keys, doomedKey)
	}
	list[2].RatePerS = rate
	s.tell("the doomed key: %s; the crowd's limit: %v", []string{farmers, traders, "nobody's"}[holder], rate)
	s.tenants.set(list)
}
