//go:build linux

package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"unsafe"
)

// The recorder runs the test binary as a traced child process and records each of its system calls that touches the folder of a
// store, so that the tests see the real order of writes and syncs.

type operationKind int

const (
	created  operationKind = iota // a new file with a name
	written                       // bytes at an offset
	resized                       // a file, to a length
	synced                        // a file
	renamed                       // a file
	unlinked                      // a file
	folderSynced
	marked // the child reports the step that it has reached
)

// operation is a recorded system call that succeeded.
type operation struct {
	kind   operationKind
	file   int // number of the file, in the order of creation
	name   string
	to     string
	offset int64
	data   []byte
	text   string
}

const (
	ptraceGetSyscallInfo = 0x420e
	infoBytes            = 88
	infoEntry            = 1
	infoExit             = 2
	syscallStop          = syscall.SIGTRAP | 0x80
	markFile             = 3 // first of exec.Cmd's ExtraFiles
	maximumPath          = 4096
)

type recorder struct {
	t         *testing.T
	directory string
	memory    *os.File
	names     map[string]int
	files     int
	open      map[uint64]int // descriptors of files
	folders   map[uint64]bool
	calls     map[int]call // by thread, between entry and exit
	recorded  []operation
}

// call is a system call at its entry.
type call struct {
	number    uint64
	arguments [6]uint64
	path, to  string
	data      []byte
}

// record runs the child with the given environment, and returns its operations. The numbers are those of the files in the folder.
func record(t *testing.T, directory string, numbers map[string]int, environment ...string) []operation {
	t.Helper()
	runtime.LockOSThread() // all ptrace calls must come from the thread that started the child
	defer runtime.UnlockOSThread()
	command := startTraced(t, environment)
	memory, err := os.Open(fmt.Sprintf("/proc/%d/mem", command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	defer memory.Close()
	r := &recorder{t: t, directory: directory, memory: memory, names: map[string]int{},
		open: map[uint64]int{}, folders: map[uint64]bool{}, calls: map[int]call{}}
	for name, number := range numbers {
		r.names[name] = number
		r.files = max(r.files, number+1)
	}
	if status := r.follow(command.Process.Pid); status != 0 {
		t.Fatalf("the recorded run ended with status %d", status)
	}
	return r.recorded
}

func startTraced(t *testing.T, environment []string) *exec.Cmd {
	t.Helper()
	marks, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer marks.Close()
	command := exec.Command(os.Args[0])
	command.Env = append(append(os.Environ(), "GOMAXPROCS=1"), environment...)
	command.Stderr = os.Stderr
	command.ExtraFiles = []*os.File{marks}
	command.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
	if err := command.Start(); err != nil {
		t.Fatalf("start the traced child: %v", err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(command.Process.Pid, &status, 0, nil); err != nil {
		t.Fatal(err)
	}
	const exitKill = 0x100000
	options := syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE | exitKill
	if err := syscall.PtraceSetOptions(command.Process.Pid, options); err != nil {
		t.Fatal(err)
	}
	if err := syscall.PtraceSyscall(command.Process.Pid, 0); err != nil {
		t.Fatal(err)
	}
	return command
}

// follow runs the child from system call to system call, and returns its exit status.
func (r *recorder) follow(child int) int {
	known := map[int]bool{child: true}
	for {
		var status syscall.WaitStatus
		thread, err := syscall.Wait4(-1, &status, syscall.WALL, nil)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			r.t.Fatal(err)
		}
		if status.Exited() || status.Signaled() {
			if thread == child {
				return status.ExitStatus()
			}
			continue
		}
		deliver := 0
		switch signal := status.StopSignal(); {
		case signal == syscallStop:
			r.stopped(thread)
		case signal == syscall.SIGTRAP, signal == syscall.SIGSTOP && !known[thread]:
		default:
			deliver = int(signal)
		}
		known[thread] = true
		_ = syscall.PtraceSyscall(thread, deliver) // fails for a thread that has just ended
	}
}

// stopped handles the entry to a system call, or the exit from it.
func (r *recorder) stopped(thread int) {
	var info [infoBytes]byte
	_, _, failure := syscall.Syscall6(syscall.SYS_PTRACE, ptraceGetSyscallInfo, uintptr(thread), infoBytes, uintptr(unsafe.Pointer(&info[0])), 0, 0)
	if failure != 0 {
		return
	}
	word := func(index int) uint64 { return binary.NativeEndian.Uint64(info[24+8*index:]) }
	switch info[0] {
	case infoEntry:
		entered := call{number: word(0)}
		for index := range entered.arguments {
			entered.arguments[index] = word(1 + index)
		}
		r.entered(&entered)
		r.calls[thread] = entered
	case infoExit:
		left, found := r.calls[thread]
		delete(r.calls, thread)
		if found && int64(word(0)) >= 0 {
			r.succeeded(left, word(0))
		}
	}
}

// entered reads the paths and data that the arguments point to.
func (r *recorder) entered(entered *call) {
	arguments := entered.arguments
	switch entered.number {
	case syscall.SYS_OPENAT, syscall.SYS_UNLINKAT:
		entered.path = r.path(arguments[1])
	case syscall.SYS_RENAMEAT, sysRenameat2:
		entered.path, entered.to = r.path(arguments[1]), r.path(arguments[3])
	case syscall.SYS_WRITE, syscall.SYS_PWRITE64:
		if _, tracked := r.open[arguments[0]]; tracked || arguments[0] == markFile {
			entered.data = make([]byte, arguments[2])
			if _, err := r.memory.ReadAt(entered.data, int64(arguments[1])); err != nil {
				r.t.Fatal(err)
			}
		}
	}
}

// path reads a path and returns the name in the folder, "." for the folder itself, and "" for all other paths.
func (r *recorder) path(address uint64) string {
	buffer := make([]byte, maximumPath)
	count, _ := r.memory.ReadAt(buffer, int64(address))
	text, _, _ := bytes.Cut(buffer[:count], []byte{0})
	name, err := filepath.Rel(r.directory, string(text))
	if err != nil || strings.HasPrefix(name, "..") {
		return ""
	}
	return name
}

// succeeded records a call that returned without an error.
func (r *recorder) succeeded(left call, result uint64) {
	descriptor := left.arguments[0]
	file, tracked := r.open[descriptor]
	switch left.number {
	case syscall.SYS_OPENAT:
		r.opened(left.path, result)
	case syscall.SYS_CLOSE:
		delete(r.open, descriptor)
		delete(r.folders, descriptor)
	case syscall.SYS_UNLINKAT:
		if left.path != "" {
			delete(r.names, left.path)
			r.note(operation{kind: unlinked, name: left.path})
		}
	case syscall.SYS_RENAMEAT, sysRenameat2:
		if left.path != "" {
			r.names[left.to] = r.names[left.path]
			delete(r.names, left.path)
			r.note(operation{kind: renamed, name: left.path, to: left.to})
		}
	case syscall.SYS_WRITE:
		if descriptor == markFile {
			r.note(operation{kind: marked, text: string(left.data)})
		} else if tracked {
			r.t.Fatal("a write without an offset is not modelled")
		}
	case syscall.SYS_PWRITE64:
		if tracked {
			r.note(operation{kind: written, file: file, offset: int64(left.arguments[3]), data: left.data[:result]})
		}
	case syscall.SYS_FTRUNCATE:
		if tracked {
			r.note(operation{kind: resized, file: file, offset: int64(left.arguments[1])})
		}
	case syscall.SYS_FSYNC, syscall.SYS_FDATASYNC:
		if tracked {
			r.note(operation{kind: synced, file: file})
		} else if r.folders[descriptor] {
			r.note(operation{kind: folderSynced})
		}
	}
}

// opened notes the descriptor of a file, and records the creation of a new one.
func (r *recorder) opened(name string, descriptor uint64) {
	if name == "" {
		return
	}
	if name == "." {
		r.folders[descriptor] = true
		return
	}
	number, found := r.names[name]
	if !found {
		number = r.files
		r.files++
		r.names[name] = number
		r.note(operation{kind: created, file: number, name: name})
	}
	r.open[descriptor] = number
}

func (r *recorder) note(done operation) { r.recorded = append(r.recorded, done) }

// sysRenameat2 is missing in package syscall on some architectures.
var sysRenameat2 = map[string]uint64{"amd64": 316, "arm64": 276, "riscv64": 276}[runtime.GOARCH]
