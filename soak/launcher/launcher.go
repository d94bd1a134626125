// Package launcher starts processes of the program, and signals and ends them by their ids.
package launcher

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Launcher starts processes from one thread, which lives as long as the launcher: the kernel kills the processes when that thread ends,
// so that none outlives the soak however it ends.
type Launcher struct {
	starts     chan func()
	done       chan struct{}
	mutex      sync.Mutex
	processes  []*Process
	goroutines sync.WaitGroup
}

// Process is one process that may be started several times.
type Process struct {
	Name      string
	launcher  *Launcher
	program   string
	arguments []string
	env       []string
	log       string
	mutex     sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	// ending is set once the soak has asked the process to end; unasked counts the other exits.
	ending  bool
	unasked int
}

// New returns a launcher.
func New() *Launcher {
	l := &Launcher{starts: make(chan func()), done: make(chan struct{})}
	l.goroutines.Go(func() {
		runtime.LockOSThread()
		for {
			select {
			case start := <-l.starts:
				start()
			case <-l.done:
				return
			}
		}
	})
	return l
}

// Define returns a process that is not started yet. Its output is appended to the file log.
func (l *Launcher) Define(name, log string, env []string, program string, arguments ...string) *Process {
	p := &Process{Name: name, launcher: l, program: program, arguments: arguments, env: env, log: log}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.processes = append(l.processes, p)
	return p
}

// Close kills all processes that run, and waits until they are gone.
func (l *Launcher) Close() error {
	l.mutex.Lock()
	processes := l.processes
	l.mutex.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	close(l.done)
	l.goroutines.Wait()
	return nil
}

// Start starts the process unless it runs.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.runningLocked() {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.Name, err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.program, p.arguments...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = out, out
	// Its own process group keeps Ctrl-C in a terminal from the process: the soak ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	select {
	case p.launcher.starts <- func() { result <- cmd.Start() }:
		err = <-result
	case <-p.launcher.done:
		return fmt.Errorf("start %s: the launcher is closed", p.Name)
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.ending = cmd, exited, false
	p.launcher.goroutines.Go(func() {
		_ = cmd.Wait()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if !p.ending {
			p.unasked++
		}
		close(exited)
	})
	return nil
}

func (p *Process) runningLocked() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Running reports whether the process runs, and its id.
func (p *Process) Running() (pid int, running bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.runningLocked() {
		return 0, false
	}
	return p.cmd.Process.Pid, true
}

// Signal sends a signal if the process runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.runningLocked() {
		p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = p.cmd.Process.Signal(s)
	}
}

// UnaskedExits returns how often the process ended by itself.
func (p *Process) UnaskedExits() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.unasked
}

// Kill kills the process and waits until it is gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(time.Minute)
}

// Wait waits until the process is gone, at most for a time, and reports whether it is.
func (p *Process) Wait(limit time.Duration) bool {
	p.mutex.Lock()
	exited := p.exited
	p.mutex.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}
