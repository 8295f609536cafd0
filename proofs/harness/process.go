package harness

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/standin/deployment"
)

// tailBytes is how much of a log is printed when a test fails.
const tailBytes = 3000

// process is one process of the cluster, over all its incarnations.
type process struct {
	deployment.Process
	log     string
	mutex   sync.Mutex
	command *exec.Cmd
	// exited is closed when the current incarnation has exited.
	exited chan struct{}
}

// starts receives the starts of processes for one OS thread that lives as long as
// the test program: the kernel kills a child when the thread that started it ends.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// start starts the process, appending to its log.
func (p *process) start(tb testing.TB) {
	tb.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		tb.Fatalf("opening the log of %s: %v", p.Name, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(programPath(p.Program), p.Args...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = childAttributes()
	failed := make(chan error)
	starts <- func() { failed <- command.Start() }
	if err := <-failed; err != nil {
		tb.Fatalf("starting %s: %v", p.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.command, p.exited = command, exited
}

// current returns the current incarnation; both are nil before the first start.
func (p *process) current() (*exec.Cmd, chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command, p.exited
}

// signal sends a signal to the process; it has no effect after the exit.
func (p *process) signal(signal syscall.Signal) {
	if command, _ := p.current(); command != nil {
		_ = command.Process.Signal(signal)
	}
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	command, ended := p.current()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// wait returns the exit code, or false if the process runs beyond the limit.
func (p *process) wait(limit time.Duration) (int, bool) {
	command, ended := p.current()
	select {
	case <-ended:
		return command.ProcessState.ExitCode(), true
	case <-time.After(limit):
		return 0, false
	}
}

// hasExited reports whether the process has exited or was never started.
func (p *process) hasExited() bool {
	_, ended := p.current()
	select {
	case <-ended:
		return true
	default:
		return ended == nil
	}
}

// tail returns the end of the log.
func (p *process) tail() string {
	content, err := os.ReadFile(filepath.Clean(p.log))
	if err != nil {
		return err.Error()
	}
	if len(content) > tailBytes {
		content = content[len(content)-tailBytes:]
		content = content[bytes.IndexByte(content, '\n')+1:]
	}
	return string(content)
}
