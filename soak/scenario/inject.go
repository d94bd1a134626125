package scenario

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/proxy"
)

// stopMargin is how much longer than its grace a process may take to stop on a busy machine.
const stopMargin = 3 * time.Second

// runSeries injects the faults of one series, one after the other.
func (s *scenario) runSeries(ctx context.Context, series []fault) {
	for _, f := range series {
		if !s.sleepUntil(ctx, f.at) {
			return
		}
		s.inject(ctx, f)
	}
}

// inject injects one fault, and undoes it after its duration or when ctx ends.
func (s *scenario) inject(ctx context.Context, f fault) {
	s.printf("%-24s %-12s %s for %.1f s", f.kind, s.targetName(f), describeTarget(f), f.duration.Seconds())
	end := s.now() + f.duration
	if f.kind >= crashInstance {
		s.injectIntoInstance(ctx, f, end)
		return
	}
	if f.kind == disturbPeers || f.kind == isolateProcess {
		s.setLinks(f, f.mode)
		s.sleepUntil(ctx, end)
		s.setLinks(f, proxy.Mode{})
		return
	}
	m := s.deployment.members[f.target]
	switch f.kind {
	case killKeepers:
		s.killKeepers(ctx, end)
		return
	case suspendProcess:
		m.process.Signal(syscall.SIGSTOP)
	case terminateProcess:
		m.process.Signal(syscall.SIGTERM)
		if !m.process.Wait(grace + stopMargin) {
			s.printf("%s has not stopped %s after SIGTERM; it is killed", m.process.Name, grace+stopMargin)
			s.slowStops.Add(1)
			m.process.Kill()
		}
	default:
		m.process.Kill()
	}
	if f.kind == emptyDataFolder {
		_ = os.RemoveAll(m.data)
	}
	s.sleepUntil(ctx, end)
	m.process.Signal(syscall.SIGCONT)
	s.startProcess(f.target)
}

// killKeepers kills all keepers at once, as a loss of power does, and starts them again.
func (s *scenario) killKeepers(ctx context.Context, end time.Duration) {
	keepers := s.deployment.members[:s.options.Keepers]
	for _, m := range keepers {
		m.process.Signal(syscall.SIGKILL)
	}
	s.sleepUntil(ctx, end)
	for i, m := range keepers {
		m.process.Kill()
		s.startProcess(i)
	}
}

func (s *scenario) startProcess(i int) {
	if err := s.deployment.members[i].process.Start(); err != nil {
		s.printf("%v", err)
	}
}

func (s *scenario) setLinks(f fault, m proxy.Mode) {
	if f.kind == disturbPeers {
		s.deployment.disturb(f.target, f.peer, m)
		return
	}
	for i := range s.deployment.members {
		if i != f.target {
			s.deployment.disturb(f.target, i, m)
		}
	}
}

func (s *scenario) injectIntoInstance(ctx context.Context, f fault, end time.Duration) {
	in := s.fleet.Instances()[f.target]
	if f.kind == crashInstance {
		in.Crash()
		s.sleepUntil(ctx, end)
		s.returnInstance(f.target)
		return
	}
	_ = in.Disturb(f.mode, f.kind == silenceInstance)
	s.sleepUntil(ctx, end)
	_ = in.Disturb(proxy.Mode{}, false)
}

func (s *scenario) returnInstance(i int) {
	if err := s.fleet.Instances()[i].Return(); err != nil {
		s.printf("instance %s: %v", s.fleet.Instances()[i].ID, err)
	}
}

// repair undoes all faults.
func (s *scenario) repair() {
	s.deployment.heal()
	for i, m := range s.deployment.members {
		m.process.Signal(syscall.SIGCONT)
		s.startProcess(i)
	}
	for i, in := range s.fleet.Instances() {
		_ = in.Disturb(proxy.Mode{}, false)
		s.returnInstance(i)
	}
}

func (s *scenario) targetName(f fault) string {
	if f.kind >= crashInstance {
		return s.fleet.Instances()[f.target].ID
	}
	return s.deployment.members[f.target].process.Name
}

func describeTarget(f fault) string {
	switch f.kind {
	case disturbPeers:
		return fmt.Sprintf("to member %d %s", f.peer, describe(f.mode))
	case isolateProcess, disturbInstance:
		return describe(f.mode)
	}
	return ""
}
