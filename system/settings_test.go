package system

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func example(t *testing.T, name string) string {
	t.Helper()
	contents, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(contents)
}

func TestGatewaySettings(t *testing.T) {
	is := is.New(t)
	settings, err := Load("testdata/gateway.json")
	is.NoErr(err)
	is.True(settings.IsGateway())
	is.True(!settings.IsController())
	is.Equal(settings.RPCAddress(), "10.1.0.8:7440")
	is.Equal(settings.SeedRPCAddresses(), []string{"10.1.0.11:7440", "10.2.0.8:7440", "10.3.0.10:7440"})
	is.Equal(settings.ToleratedMachines(), 1)
	is.Equal(settings.DataDirectory, "")
	is.Equal(settings.Zones["cdmx-c"], "mx-centro")
	is.Equal(settings.Limits.MemoryMb, 284.0)
	is.Equal(settings.PlatformAPI.DutyPerS, 50.0)
	is.Equal(settings.Bounds.CatchUp(), 2500*time.Millisecond) // a fraction of a second
	is.Equal(settings.Bounds.ConfigApply(), 3*time.Second)
	is.True(settings.Bounds.FenceChecked)
	is.True(settings.HasContract("sql"))
	is.True(!settings.HasContract("grants"))
}

func TestMissingFieldsGetTheirDefaults(t *testing.T) {
	is := is.New(t)
	settings, err := Load("testdata/controller.json")
	is.NoErr(err)
	is.True(settings.IsController())
	is.Equal(settings.Bounds.Contact(), 5*time.Second) // from the file
	defaults := DefaultBounds()
	is.Equal(settings.Bounds.AckMs, defaults.AckMs)
	is.Equal(settings.Bounds.FenceChecked, false)
	is.Equal(settings.BeatInterval(), time.Second)
	is.True(settings.PlatformAPI == nil)
}

func TestRefusedSettings(t *testing.T) {
	cases := []struct{ name, file, from, to, says string }{
		{"no port", "gateway.json", `"10.1.0.8:8784"`, `"10.1.0.8"`, `settings: listenAddrs.front holds "10.1.0.8": an IPv4 address and a port, such as 10.1.0.8:8784, would do`},
		{"a seed by name", "gateway.json", `"10.2.0.8:8782"`, `"core-b:8782"`, `seedPeers[1] holds "core-b:8782"`},
		{"port zero", "gateway.json", `"10.1.0.8:8785"`, `"10.1.0.8:0"`, `listenAddrs.readiness holds "10.1.0.8:0"`},
		{"no address", "gateway.json", `"ipAddress": "10.1.0.8"`, `"ipAddress": "here"`, `ipAddress holds "here": an IPv4 address`},
		{"one port", "gateway.json", `[7440, 7455]`, `[7440]`, `internalPortRange holds [7440]: a list of 2 would do`},
		{"port too high", "gateway.json", `[7440, 7455]`, `[7440, 70000]`, `internalPortRange[1] holds 70000: a number up to 65535 would do`},
		{"ports swapped", "gateway.json", `[7440, 7455]`, `[7455, 7440]`, `internalPortRange holds [7455 7440]`},
		{"serves nobody", "gateway.json", `"serves": ["edge"]`, `"serves": ["others"]`, `serves holds [others]: edge or control_plane would do`},
		{"no front", "gateway.json", `"front":`, `"other":`, `listenAddrs.front holds ""`},
		{"negative tolerance", "gateway.json", `"machines": 1`, `"machines": -1`, `faultTolerance.machines holds -1: a number from 0 on would do`},
		{"negative grace", "gateway.json", `"graceS": 6`, `"graceS": -6`, `bounds.graceS holds -6: a number from 0 on would do`},
		{"no beats", "gateway.json", `"beatIntervalMs": 1200`, `"beatIntervalMs": 0`, `beatIntervalMs holds 0: a number over 0 would do`},
		{"a bound without end", "gateway.json", `"ackMs": 5000`, `"ackMs": 1e300`, `bounds.ackMs holds 1e+300: a number up to 3600000 would do`},
		{"platform by name", "gateway.json", `"10.200.0.160:8783"`, `"platform"`, `platformApi.address holds "platform"`},
		{"wrong type", "gateway.json", `"ackMs": 5000`, `"ackMs": "soon"`, `bounds.ackMs holds JSON of type string: a number would do`},
		{"list in place of a name", "gateway.json", `"zone": "qro-a"`, `"zone": ["qro-a"]`, `zone holds JSON of type array: a string would do`},
		{"not JSON", "gateway.json", `"zone": "qro-a",`, `"zone" "qro-a",`, `line 7 is not JSON`},
		{"no name", "gateway.json", `"edge-qro-a-1"`, `""`, `routerName holds "": a name would do`},
		{"no disk", "controller.json", `"/data"`, `null`, `dataDir holds "": the directory of a process that serves control_plane would do`},
		{"no control address", "controller.json", `"control": "10.1.0.11:8782"`, `"front": "10.1.0.11:8782"`, `listenAddrs.control holds ""`},
	}
	for _, refused := range cases {
		t.Run(refused.name, func(t *testing.T) {
			is := is.New(t)
			sound := example(t, refused.file)
			is.True(strings.Contains(sound, refused.from))
			_, err := Parse([]byte(strings.Replace(sound, refused.from, refused.to, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), refused.says)) // names the field, what it holds and what would do
			is.True(!strings.Contains(err.Error(), "\n"))
		})
	}
}

// A bound of zero asks for nothing that can't be tried, and a controller that has its disk knows the others without seeds:
// neither is worth a process that doesn't start.
func TestUnusualSettingsAreAccepted(t *testing.T) {
	is := is.New(t)
	sound := example(t, "controller.json")
	settings, err := Parse([]byte(strings.Replace(sound, `["10.1.0.11:8782", "10.2.0.8:8782"]`, `[]`, 1)))
	is.NoErr(err)
	is.Equal(len(settings.SeedRPCAddresses()), 0)
	settings, err = Parse([]byte(strings.Replace(sound, `"contactMs": 5000`, `"contactMs": 0`, 1)))
	is.NoErr(err)
	is.Equal(settings.Bounds.Contact(), time.Duration(0))
}

func TestTruncatedSettingsAreRefused(t *testing.T) {
	is := is.New(t)
	whole := bytes.TrimSpace([]byte(example(t, "controller.json")))
	for length := range whole {
		_, err := Parse(whole[:length])
		is.True(err != nil) // a file that is being written
	}
}

func TestNullKeepsTheDefault(t *testing.T) {
	is := is.New(t)
	contents := strings.Replace(example(t, "gateway.json"), `"graceS": 6`, `"graceS": null`, 1)
	settings, err := Parse([]byte(contents))
	is.NoErr(err)
	is.Equal(settings.Bounds.GraceS, DefaultBounds().GraceS)
}

func BenchmarkParse(b *testing.B) {
	contents, err := os.ReadFile("testdata/gateway.json")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Parse(contents); err != nil {
			b.Fatal(err)
		}
	}
}
