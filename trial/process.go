package trial

// This file owns the processes: it builds the program, starts it, signals it by its id and reads what it says. All that it
// started ends with the rig, also when that is killed.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Build builds the program as the deploy file does, or the variant that a plant or a clock needs, into a folder. more are
// arguments for go build.
func Build(ctx context.Context, dir string, variant bool, more ...string) (string, error) {
	out := filepath.Join(dir, "eiderway")
	args := []string{"build", "-ldflags=-linkmode=external", "-o", out}
	if variant {
		out = filepath.Join(dir, "eiderway-planted")
		args = []string{"build", "-tags", "planted", "-o", out}
	}
	args = append(args, more...)
	cmd := exec.CommandContext(ctx, "go", append(args, "eiderway/cmd/eiderway")...)
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the program: %w: %s", err, text)
	}
	return out, nil
}

// starter starts processes from one thread that never ends before the rig does: they are killed when that thread goes.
type starter struct {
	asks chan func()
}

func newStarter() *starter {
	s := &starter{asks: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.asks {
			f()
		}
		runtime.UnlockOSThread()
	}()
	return s
}

func (s *starter) start(cmd *exec.Cmd) (err error) {
	done := make(chan struct{})
	s.asks <- func() {
		err = cmd.Start()
		close(done)
	}
	<-done
	return err
}

// process is a router's, from one start to its end.
type process struct {
	router int
	life   int
	cmd    *exec.Cmd
	ended  chan struct{}
	frozen bool
	log    *os.File
	says   map[string]bool
}

// run starts a program. heard gets each of its lines.
func (s *starter) run(router, life int, program string, args, env []string, logTo string, heard func(p *process, line string)) (*process, error) {
	p := &process{router: router, life: life, ended: make(chan struct{}), says: map[string]bool{}}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if p.log, err = os.OpenFile(logTo, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	if err := s.start(p.cmd); err != nil {
		return nil, err
	}
	w.Close()
	go func() {
		defer close(p.ended)
		in := bufio.NewReader(r)
		for {
			line, err := in.ReadString('\n')
			if line != "" {
				io.WriteString(p.log, line)
				heard(p, strings.TrimSpace(line))
			}
			if err != nil {
				break
			}
		}
		p.cmd.Wait()
		r.Close()
		p.log.Close()
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill ends it, frozen or not, and waits.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop ends it as an operator would, and kills it if it does not.
func (p *process) stop(within time.Duration) (ok bool) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		p.kill()
		return false
	}
}

var field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// fields reads a line of the program's log.
func fields(line string) map[string]string {
	out := map[string]string{}
	for _, m := range field.FindAllStringSubmatch(line, -1) {
		v := m[2]
		if strings.HasPrefix(v, `"`) {
			if u, err := strconv.Unquote(v); err == nil {
				v = u
			}
		}
		out[m[1]] = v
	}
	return out
}
