package gateway

import "eiderway/system/metrics"

// figures returns the gateway's metrics.
func (g *Gateway) figures() []metrics.Sample {
	totals := g.counters.totals()
	answers := map[string]uint64{
		"completed": totals.completed, "busy": totals.busy, "rolledback": totals.rolledBack, "indoubt": totals.inDoubt,
		"timeout": totals.timedOut, "malformed": totals.malformed, "nodb": totals.noDatabase, "authfail": totals.keyRejected, "other": totals.otherError,
	}
	var figures []metrics.Sample
	for answer, count := range answers {
		figures = append(figures, metrics.Sample{
			Name: "answers_total", Help: "Statements answered, by answer.", Value: float64(count), Label: answer,
		})
	}
	for name, count := range map[string]uint64{"served": totals.replicaReads, "lagging": totals.lagging} {
		figures = append(figures, metrics.Sample{
			Name: "replica_reads_total", Help: "Reads at replicas, by how they ended.", Value: float64(count), Label: name,
		})
	}
	for tenant, count := range g.limiter.refusedByTenant() {
		figures = append(figures, metrics.Sample{
			Name: "operations_refused_total", Help: "Operations that their tenant's limit didn't allow, by tenant.", Value: float64(count), Label: tenant,
		})
	}
	for outcome, count := range map[string]uint64{"sent": g.counters.operationRequests.Load(), "failed": g.counters.failedOperationRequests.Load()} {
		figures = append(figures, metrics.Sample{
			Name: "operation_questions_total", Help: "Questions to the primary for operations of tenants.", Value: float64(count), Label: outcome,
		})
	}
	figures = append(figures, g.backendCounts.figures()...)
	figures = append(figures, metrics.NewGauge("backends", "Connections to instances that are open or being made.", float64(g.openBackends())))
	figures = append(figures, metrics.Sample{
		Name: "operations_over_limit_total", Help: "Operations refused since their tenants' limits were used up.", Value: float64(totals.overLimit),
	})
	figures = append(figures, metrics.Sample{
		Name: "invariants_broken_total", Help: "Invariants that did not hold, since the start.", Value: float64(g.counters.brokenInvariants.Load()),
	})
	return append(figures, g.stateFigures()...)
}

// stateFigures returns the metrics of the gateway's sessions, lease, table and services.
func (g *Gateway) stateFigures() []metrics.Sample {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	directory := g.directory
	figures := []metrics.Sample{
		metrics.NewGauge("sessions", "Sessions of clients that are open.", float64(len(g.clients))),
		metrics.NewGauge("flights", "Statements and transactions that are under way.", float64(len(g.flights))),
		metrics.NewGauge("lease_left_seconds", "How long the gateway may work by its table; negative: not any more.", (directory.leaseUntil - g.elapsed()).Seconds()),
		metrics.NewGauge("table_epoch", "Epoch of the table.", float64(directory.table.Version.Epoch)),
		metrics.NewGauge("table_sequence", "Number of the table in its epoch.", float64(directory.table.Version.Sequence)),
		metrics.NewGauge("configuration", "Number of the configuration in force.", float64(directory.table.ConfigurationNumber)),
	}
	for name, service := range directory.services {
		figures = append(figures,
			metrics.NewLabeledGauge("service_frozen", "1 while no statement may be started at the leader.", name, metrics.BoolValue(service.Frozen)),
			metrics.NewLabeledGauge("service_leader_draining", "1 while the leader drains.", name, metrics.BoolValue(service.leaderInstance.Draining)),
			metrics.NewLabeledGauge("service_vacant", "1 while no leader is known.", name, metrics.BoolValue(service.address == "")),
		)
	}
	return figures
}
