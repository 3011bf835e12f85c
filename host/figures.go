package host

import (
	"eiderway/control/controller"
	"eiderway/control/replication"
	"eiderway/system/metrics"
)

// figures gives the process's own figures: its counters, and how its controller stood at the last look.
func (p *process) figures() []metrics.Sample {
	var figures []metrics.Sample
	for _, entry := range p.counters.news() {
		figures = append(figures, metrics.Sample{
			Name: entry.name + "_total", Help: "Counted since the start: " + entry.name + ".", Value: float64(entry.counter.Load()),
		})
	}
	if status := p.loop.status.Load(); status != nil {
		figures = append(figures, statusFigures(*status)...)
	}
	return figures
}

func statusFigures(status controller.Status) []metrics.Sample {
	figures := []metrics.Sample{
		metrics.NewGauge("primary", "1 while this controller leads the control state.", metrics.BoolValue(status.Role == replication.Primary)),
		metrics.NewGauge("epoch", "Epoch of the view.", float64(status.View.ID.Epoch)),
		metrics.NewGauge("view_voters", "Voters of the view.", float64(len(status.View.Voters))),
		metrics.NewGauge("view_copies", "Copies of the control state by the view.", float64(len(status.View.Copies))),
		metrics.NewGauge("configuration", "Number of the configuration in force.", float64(status.ConfigurationNumber)),
	}
	figures = append(figures, metrics.Sample{
		Name: "invariants_broken_total", Help: "Invariants that did not hold, since the start.", Value: float64(status.BrokenInvariants),
	})
	for name, count := range map[string]uint64{
		"asked": status.Operations.Requests, "granted": status.Operations.Granted, "denied": status.Operations.Denied,
	} {
		figures = append(figures, metrics.Sample{
			Name: "operations_total", Help: "Questions of gateways for operations of tenants, and operations granted and denied.",
			Value: float64(count), Label: name,
		})
	}
	for _, service := range status.Services {
		figures = append(figures,
			metrics.NewLabeledGauge("service_instances", "Instances that are present.", service.Name, float64(service.Instances)),
			metrics.NewLabeledGauge("service_draining", "Instances that are present and drain.", service.Name, float64(service.Draining)),
			metrics.NewLabeledGauge("service_frozen", "1 while no statement may be started at the leader.", service.Name, metrics.BoolValue(service.Frozen)),
		)
	}
	return figures
}
