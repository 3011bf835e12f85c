package systemtest

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"eiderway/system"
)

// binary is the program under test, built once for all tests.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "systemtest-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "eidersystem")
	build := exec.Command("go", "build", "-o", binary, "eiderway/cmd/eidersystem")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// process is a controller or a gateway with its settings and its log. It may be started many times.
type process struct {
	t       *testing.T
	name    string
	path    string // of the settings
	logPath string
	flags   []string // of the command run
	running *exec.Cmd
	ended   chan struct{}
}

func newProcess(t *testing.T, directory, name string) *process {
	p := &process{
		t:       t,
		name:    name,
		path:    filepath.Join(directory, name+".json"),
		logPath: filepath.Join(directory, name+".log"),
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			p.showLog()
		}
	})
	return p
}

// showLog prints the end of the log, for the analysis of a failure.
func (p *process) showLog() {
	const most = 6000 // bytes
	contents, _ := os.ReadFile(p.logPath)
	p.t.Logf("%s:\n%s", p.name, contents[max(0, len(contents)-most):])
}

// start starts the process with these settings.
func (p *process) start(settings system.Settings) {
	p.t.Helper()
	encoded, err := json.Marshal(settings)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.path, encoded, 0o600); err != nil {
		p.t.Fatal(err)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(binary, append([]string{"run"}, p.flags...)...)
	command.Env = append(os.Environ(), system.PathVariable+"="+p.path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the test itself is killed
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.running, p.ended = command, make(chan struct{})
	go func(ended chan struct{}) {
		defer close(ended)
		_ = command.Wait()
	}(p.ended)
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.running.Process.Signal(signal); err != nil {
		p.t.Errorf("%s: %v", p.name, err)
	}
}

// kill sends SIGKILL to the process, if it runs, and waits for its end.
func (p *process) kill() {
	if p.running == nil {
		return
	}
	_ = p.running.Process.Kill()
	<-p.ended
}

// terminate sends SIGTERM and expects the process to exit with code 0 in time.
func (p *process) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(patience):
		p.t.Fatalf("%s did not end", p.name)
	}
	if code := p.running.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("%s ended with %d", p.name, code)
	}
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
