package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exitInterval is how often a process that is to end is looked at.
const exitInterval = 5 * time.Millisecond

// dumpTime is the time that a process has to write its goroutines after SIGQUIT.
const dumpTime = time.Second

// launcher starts processes from one thread, which lives as long as the launcher: the kernel kills the processes when that thread ends, so
// that none outlives the soak however it ends.
type launcher struct {
	starts     chan func()
	goroutines sync.WaitGroup
}

func newLauncher() *launcher {
	l := &launcher{starts: make(chan func())}
	l.goroutines.Go(func() {
		runtime.LockOSThread()
		for start := range l.starts {
			start()
		}
	})
	return l
}

// close waits for the processes, which must have been killed.
func (l *launcher) close() {
	close(l.starts)
	l.goroutines.Wait()
}

// process is a process that may be started several times. Its output is appended to the file log.
type process struct {
	name, log string
	arguments []string
	launcher  *launcher
	mutex     sync.Mutex
	cmd       *exec.Cmd // nil unless it runs
	// ending is set once the soak has asked the process to end; unasked counts the other exits.
	ending  bool
	unasked int
}

// start starts the process unless it runs.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.arguments[0], p.arguments[1:]...)
	// Two threads each keep the processes of a scenario from taking all cores of the machine.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2", "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	cmd.Stdout, cmd.Stderr = out, out
	// Its own process group keeps Ctrl-C in a terminal from the process: the soak ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	p.launcher.starts <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	p.cmd, p.ending = cmd, false
	p.launcher.goroutines.Go(p.await)
	return nil
}

func (p *process) await() {
	_ = p.cmd.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.ending {
		p.unasked++
	}
	p.cmd = nil
}

// signal sends a signal if the process runs.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = p.cmd.Process.Signal(s)
	}
}

// state reports whether the process runs, and how often it ended by itself.
func (p *process) state() (running bool, unasked int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cmd != nil, p.unasked
}

// endsWithin waits until the process is gone, at most for a time, and reports whether it is.
func (p *process) endsWithin(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(exitInterval) {
		if running, _ := p.state(); !running {
			return true
		}
	}
	return false
}

// inspectStalled returns the state of a process that does not end, as the kernel has it, and writes its goroutines to its log. A zombie has
// ended and was not waited for.
func (p *process) inspectStalled() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd == nil {
		return "it has ended since"
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, state, _ := strings.Cut(string(status), "\nState:")
	state, _, _ = strings.Cut(state, "\n")
	p.ending = true
	_ = p.cmd.Process.Signal(syscall.SIGQUIT)
	time.Sleep(dumpTime)
	return fmt.Sprintf("state %s %v", strings.TrimSpace(state), err)
}

// kill kills the process and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.endsWithin(time.Minute)
}
