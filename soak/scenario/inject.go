package scenario

import (
	"context"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/proxy"
)

// stopMargin is how much longer than its grace a process may take to stop on a busy machine.
const stopMargin = 3 * time.Second

// runSeries injects the faults of one series, one after the other. It undoes each after its duration or when ctx ends.
func (s *scenario) runSeries(ctx context.Context, origin time.Duration, series []fault) {
	for _, f := range series {
		s.sleepUntil(ctx, origin+f.at)
		if ctx.Err() != nil {
			return
		}
		end := s.now() + f.duration
		undo := s.inject(f)
		s.sleepUntil(ctx, end)
		undo()
	}
}

// inject injects one fault, and returns a function that undoes it.
func (s *scenario) inject(f fault) (undo func()) {
	line := func(target, detail string) {
		s.printf("%-24s%-10s %-30s for %.1f s", f.kind, target, detail, f.duration.Seconds())
	}
	switch f.kind {
	case crashInstance, restartInstance, silenceInstance, disturbInstance:
		in := s.fleet.Instances()[f.target]
		line(in.ID, describe(f.mode))
		switch f.kind {
		case crashInstance:
			s.note(in.Crash())
			return func() { s.note(in.Return()) }
		case restartInstance:
			s.note(in.Vanish())
			return func() { s.note(in.Return()) }
		}
		s.note(in.Disturb(f.mode, f.kind == silenceInstance))
		return func() { s.note(in.Disturb(proxy.Mode{}, false)) }
	case disturbPeers:
		line(s.deployment.members[f.target].name, s.deployment.members[f.peer].name+" "+describe(f.mode))
		s.deployment.disturb(f.peer, f.target, f.mode)
		return func() { s.deployment.disturb(f.peer, f.target, proxy.Mode{}) }
	case isolateProcess:
		line(s.deployment.members[f.target].name, describe(f.mode))
		s.isolate(f.target, f.mode)
		return func() { s.isolate(f.target, proxy.Mode{}) }
	case killKeepers:
		line("", "")
		return s.end(f.kind, s.deployment.members[:s.options.Keepers])
	}
	line(s.deployment.members[f.target].name, "")
	return s.end(f.kind, s.deployment.members[f.target:f.target+1])
}

// end ends or suspends processes, and returns a function that starts or continues them.
func (s *scenario) end(k kind, affected []*member) (undo func()) {
	signal, special := map[kind]syscall.Signal{suspendProcess: syscall.SIGSTOP, terminateProcess: syscall.SIGTERM}[k]
	if !special {
		signal = syscall.SIGKILL
	}
	for _, m := range affected {
		m.signal(signal)
		if k == terminateProcess && !m.endsWithin(grace+stopMargin) {
			s.fail(m.name + " has not stopped in time after SIGTERM; " + m.inspectStalled())
		}
		if k == emptyDataFolder {
			m.kill()
			s.note(os.RemoveAll(m.data))
		}
	}
	return func() {
		for _, m := range affected {
			if k != suspendProcess {
				m.kill()
			}
			m.signal(syscall.SIGCONT)
			s.note(m.start())
		}
	}
}

// isolate sets the mode of all links of a process.
func (s *scenario) isolate(target int, m proxy.Mode) {
	for i := range s.deployment.members {
		if i != target {
			s.deployment.disturb(i, target, m)
		}
	}
}

// repair undoes all faults.
func (s *scenario) repair() {
	for _, l := range s.deployment.links {
		l.Set(proxy.Mode{})
	}
	for _, m := range s.deployment.members {
		m.signal(syscall.SIGCONT)
		s.note(m.start())
	}
	for _, in := range s.fleet.Instances() {
		s.note(in.Disturb(proxy.Mode{}, false))
		s.note(in.Return())
	}
}

// fail records what went wrong besides the guarantees.
func (s *scenario) fail(what string) {
	s.printf("FAILURE: %s", what)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = append(slices.Clone(s.failures), what)
}

// note records an error as a failure.
func (s *scenario) note(err error) {
	if err != nil {
		s.fail(err.Error())
	}
}
