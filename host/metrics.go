package host

import (
	"eiderway/control/controller"
	"eiderway/control/replication"
	"eiderway/system/metrics"
)

// samples returns the metrics of the process: its counters, and the status of its controller when it was last read.
func (p *process) samples() []metrics.Sample {
	var samples []metrics.Sample
	for _, entry := range p.counters.reported() {
		samples = append(samples, metrics.Sample{
			Name: entry.name + "_total", Help: "Counted since the start: " + entry.name + ".", Value: float64(entry.counter.Load()),
		})
	}
	if status := p.loop.status.Load(); status != nil {
		samples = append(samples, statusSamples(*status)...)
	}
	return samples
}

func statusSamples(status controller.Status) []metrics.Sample {
	samples := []metrics.Sample{
		metrics.NewGauge("primary", "1 while this controller leads the control state.", metrics.BoolValue(status.Role == replication.Primary)),
		metrics.NewGauge("epoch", "Epoch of the view.", float64(status.View.ID.Epoch)),
		metrics.NewGauge("view_voters", "Voters of the view.", float64(len(status.View.Voters))),
		metrics.NewGauge("view_copies", "Copies of the control state by the view.", float64(len(status.View.Copies))),
		metrics.NewGauge("configuration", "Number of the configuration in force.", float64(status.ConfigurationNumber)),
	}
	samples = append(samples, metrics.Sample{
		Name: "invariants_broken_total", Help: "Invariants that did not hold, since the start.", Value: float64(status.BrokenInvariants),
	})
	for name, count := range map[string]uint64{
		"asked": status.Operations.Requests, "granted": status.Operations.Granted, "denied": status.Operations.Denied,
	} {
		samples = append(samples, metrics.Sample{
			Name: "operations_total", Help: "Questions of gateways for operations of tenants, and operations granted and denied.",
			Value: float64(count), Label: name,
		})
	}
	for _, service := range status.Services {
		samples = append(samples,
			metrics.NewLabeledGauge("service_instances", "Instances that are present.", service.Name, float64(service.Instances)),
			metrics.NewLabeledGauge("service_draining", "Instances that are present and drain.", service.Name, float64(service.Draining)),
			metrics.NewLabeledGauge("service_frozen", "1 while no statement may be started at the leader.", service.Name, metrics.BoolValue(service.Frozen)),
		)
	}
	return samples
}
