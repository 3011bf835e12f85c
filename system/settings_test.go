package system

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func readExample(t *testing.T, name string) string {
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
	is.Equal(settings.Bounds.Contact(), 5*time.Second) // set in the file
	defaults := DefaultBounds()
	is.Equal(settings.Bounds.AckMs, defaults.AckMs)
	is.Equal(settings.Bounds.FenceChecked, false)
	is.Equal(settings.BeatInterval(), time.Second)
	is.True(settings.PlatformAPI == nil)
}

func TestRefusedSettings(t *testing.T) {
	cases := []struct{ name, file, from, to, message string }{
		{"no port", "gateway.json", `"10.1.0.8:8784"`, `"10.1.0.8"`, `settings: listenAddrs.front holds "10.1.0.8": want an IPv4 address and a port, such as 10.1.0.8:8784`},
		{"a seed by name", "gateway.json", `"10.2.0.8:8782"`, `"core-b:8782"`, `seedPeers[1] holds "core-b:8782"`},
		{"port zero", "gateway.json", `"10.1.0.8:8785"`, `"10.1.0.8:0"`, `listenAddrs.readiness holds "10.1.0.8:0"`},
		{"no address", "gateway.json", `"ipAddress": "10.1.0.8"`, `"ipAddress": "here"`, `ipAddress holds "here": want an IPv4 address`},
		{"one port", "gateway.json", `[7440, 7455]`, `[7440]`, `internalPortRange holds [7440]: want a list of length 2`},
		{"port too high", "gateway.json", `[7440, 7455]`, `[7440, 70000]`, `internalPortRange[1] holds 70000: want a number of at most 65535`},
		{"ports swapped", "gateway.json", `[7440, 7455]`, `[7455, 7440]`, `internalPortRange holds [7455 7440]`},
		{"serves nobody", "gateway.json", `"serves": ["edge"]`, `"serves": ["others"]`, `serves holds [others]: want edge or control_plane`},
		{"no front", "gateway.json", `"front":`, `"other":`, `listenAddrs.front holds ""`},
		{"negative tolerance", "gateway.json", `"machines": 1`, `"machines": -1`, `faultTolerance.machines holds -1: want a number of 0 or more`},
		{"negative grace", "gateway.json", `"graceS": 6`, `"graceS": -6`, `bounds.graceS holds -6: want a number of 0 or more`},
		{"no beats", "gateway.json", `"beatIntervalMs": 1200`, `"beatIntervalMs": 0`, `beatIntervalMs holds 0: want a number above 0`},
		{"a bound without end", "gateway.json", `"ackMs": 5000`, `"ackMs": 1e300`, `bounds.ackMs holds 1e+300: want a number of at most 3600000`},
		{"platform by name", "gateway.json", `"10.200.0.160:8783"`, `"platform"`, `platformApi.address holds "platform"`},
		{"wrong type", "gateway.json", `"ackMs": 5000`, `"ackMs": "soon"`, `bounds.ackMs holds JSON of type string: want a number`},
		{"list in place of a name", "gateway.json", `"zone": "qro-a"`, `"zone": ["qro-a"]`, `zone holds JSON of type array: want a string`},
		{"not JSON", "gateway.json", `"zone": "qro-a",`, `"zone" "qro-a",`, `line 7 is not JSON`},
		{"no name", "gateway.json", `"edge-qro-a-1"`, `""`, `routerName holds "": want a name`},
		{"no disk", "controller.json", `"/data"`, `null`, `dataDir holds "": want the directory of a process that serves control_plane`},
		{"no control address", "controller.json", `"control": "10.1.0.11:8782"`, `"front": "10.1.0.11:8782"`, `listenAddrs.control holds ""`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sound := readExample(t, test.file)
			is.True(strings.Contains(sound, test.from))
			_, err := Parse([]byte(strings.Replace(sound, test.from, test.to, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.message)) // names the field, its value and what is wanted
			is.True(!strings.Contains(err.Error(), "\n"))
		})
	}
}

// A bound of zero does not prevent operation, and a controller with its disk knows the others without seeds: a process must start with
// either.
func TestUnusualSettingsAreAccepted(t *testing.T) {
	is := is.New(t)
	sound := readExample(t, "controller.json")
	settings, err := Parse([]byte(strings.Replace(sound, `["10.1.0.11:8782", "10.2.0.8:8782"]`, `[]`, 1)))
	is.NoErr(err)
	is.Equal(len(settings.SeedRPCAddresses()), 0)
	settings, err = Parse([]byte(strings.Replace(sound, `"contactMs": 5000`, `"contactMs": 0`, 1)))
	is.NoErr(err)
	is.Equal(settings.Bounds.Contact(), time.Duration(0))
}

func TestTruncatedSettingsAreRefused(t *testing.T) {
	is := is.New(t)
	whole := bytes.TrimSpace([]byte(readExample(t, "controller.json")))
	for length := range whole {
		_, err := Parse(whole[:length])
		is.True(err != nil) // as read while the file is being written
	}
}

func TestNullKeepsTheDefault(t *testing.T) {
	is := is.New(t)
	contents := strings.Replace(readExample(t, "gateway.json"), `"graceS": 6`, `"graceS": null`, 1)
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
