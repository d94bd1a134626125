package scenario

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

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
	cmd       *exec.Cmd     // nil unless it runs
	exited    chan struct{} // closed when the last start has ended
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
	p.cmd, p.exited, p.ending = cmd, make(chan struct{}), false
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
	close(p.exited)
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

// endsWithin waits until a process that was started is gone, at most for a time, and reports whether it is.
func (p *process) endsWithin(limit time.Duration) bool {
	p.mutex.Lock()
	cmd, exited := p.cmd, p.exited
	p.mutex.Unlock()
	if cmd == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill kills the process and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.endsWithin(time.Minute)
}
