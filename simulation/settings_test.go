package simulation

import (
	"testing"

	"github.com/matryer/is"

	"eiderway/host"
	"eiderway/system"
)

// TestSettingsAreTheHosts: days are played with the intervals that the program itself derives from its settings file.
func TestSettingsAreTheHosts(t *testing.T) {
	is := is.New(t)
	plan := NewPlan()
	settings := system.Settings{Bounds: system.DefaultBounds(), BeatIntervalMs: float64(plan.BeatInterval.Milliseconds())}
	settings.Bounds.FenceChecked = plan.FenceChecked
	hosts := host.ControllerSettings(settings)
	played := plan.Settings()
	is.Equal(played.Replication.Timing, hosts.Replication.Timing)
	hosts.Replication = played.Replication // the rest is of the machine
	hosts.Failover.CallsPerSecond = played.Failover.CallsPerSecond
	is.Equal(played, hosts)
}
