// Package scenario runs the program as processes on loopback, injects faults derived from a seed, and lets the checker observe.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/proxy"
)

// kind is a kind of fault.
type kind uint8

const (
	killProcess kind = iota
	terminateProcess
	suspendProcess
	emptyDataFolder
	killKeepers
	disturbPeers
	isolateProcess
	crashInstance
	silenceInstance
	disturbInstance
)

// String returns the name that the report uses.
func (k kind) String() string {
	return [...]string{"SIGKILL", "SIGTERM", "SIGSTOP", "SIGKILL, empty folder", "SIGKILL of all keepers", "peer link", "all peer links", "instance crashes", "instance silent", "instance link"}[k]
}

// fault is one fault of the plan. It begins at a time since the start of the scenario and is undone after duration.
type fault struct {
	at, duration time.Duration
	kind         kind
	// target is a process or an instance, peer the process at the other end of a link.
	target, peer int
	mode         proxy.Mode
}

// Pauses and durations of the faults. A lease of an instance lasts 6 s and an election 0.7 s; the durations lie on both sides of them.
const (
	firstFault   = 500 * time.Millisecond
	maxPause     = 2500 * time.Millisecond
	shortestTime = 200 * time.Millisecond
	longestTime  = 8 * time.Second
	// emptyInterval keeps a second keeper from losing its data before the leader has replaced the first one.
	emptyInterval = 20 * time.Second
)

// planner derives the faults of a scenario from its seed.
type planner struct {
	random                      *rand.Rand
	duration                    time.Duration
	keepers, entries, instances int
	// emptied is when a data folder was last emptied, and maxEmptied how often that may be: less than a majority of the voters.
	emptied             time.Duration
	emptyings, maxEmpty int
}

// plan returns the faults of a scenario as series that overlap; the faults of one series follow each other.
func plan(seed uint64, duration time.Duration, keepers, entries, instances int) [][]fault {
	p := &planner{random: rand.New(rand.NewPCG(seed, 1)), duration: duration, keepers: keepers, entries: entries, instances: instances, maxEmpty: (keepers - 1) / 2, emptied: -emptyInterval}
	return [][]fault{
		p.series(p.keeperFault), p.series(p.entryFault), p.series(p.linkFault), p.series(p.linkFault), p.series(p.instanceFault), p.series(p.instanceFault),
	}
}

func (p *planner) series(draw func(at time.Duration) fault) []fault {
	var list []fault
	at := firstFault + p.between(0, maxPause)
	for at < p.duration {
		f := draw(at)
		f.at, f.duration = at, min(p.spread(), p.duration-at+shortestTime)
		list = append(list, f)
		at += f.duration + p.between(0, maxPause)
	}
	return list
}

func (p *planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)+1))
}

// spread returns a duration of a fault; short ones are more frequent.
func (p *planner) spread() time.Duration {
	d := p.between(shortestTime, longestTime)
	return min(d, p.between(shortestTime, longestTime))
}

func (p *planner) keeperFault(at time.Duration) fault {
	f := fault{target: p.random.IntN(p.keepers)}
	f.kind = []kind{killProcess, killProcess, terminateProcess, suspendProcess, suspendProcess, emptyDataFolder, killKeepers}[p.random.IntN(7)]
	if f.kind == emptyDataFolder {
		if p.emptyings == p.maxEmpty || at-p.emptied < emptyInterval {
			f.kind = killProcess
		} else {
			p.emptyings, p.emptied = p.emptyings+1, at
		}
	}
	return f
}

func (p *planner) entryFault(time.Duration) fault {
	return fault{target: p.keepers + p.random.IntN(p.entries), kind: []kind{killProcess, terminateProcess, suspendProcess}[p.random.IntN(3)]}
}

func (p *planner) linkFault(time.Duration) fault {
	pair := p.random.Perm(p.keepers + p.entries)
	f := fault{kind: disturbPeers, target: pair[0], peer: pair[1], mode: p.mode()}
	if p.random.IntN(3) == 0 {
		f.kind = isolateProcess
	}
	return f
}

func (p *planner) instanceFault(time.Duration) fault {
	f := fault{target: p.random.IntN(p.instances), kind: []kind{crashInstance, silenceInstance, disturbInstance, disturbInstance}[p.random.IntN(4)]}
	switch f.kind {
	case silenceInstance:
		f.mode = proxy.Mode{CutForward: true, CutBackward: true}
	case disturbInstance:
		f.mode = p.mode()
	}
	return f
}

// mode draws how a link is disturbed.
func (p *planner) mode() proxy.Mode {
	switch p.random.IntN(5) {
	case 0:
		return proxy.Mode{Delay: p.between(10*time.Millisecond, 400*time.Millisecond)}
	case 1:
		return proxy.Mode{CutForward: true}
	case 2:
		return proxy.Mode{CutBackward: true}
	case 3:
		return proxy.Mode{CutForward: true, CutBackward: true}
	default:
		return proxy.Mode{Reset: true}
	}
}

// describe names a mode for the report.
func describe(m proxy.Mode) string {
	switch {
	case m.Reset:
		return "reset"
	case m.CutForward && m.CutBackward:
		return "silenced"
	case m.CutForward:
		return "cut to the server"
	case m.CutBackward:
		return "cut from the server"
	case m.Delay > 0:
		return fmt.Sprintf("delayed by %s", m.Delay.Round(time.Millisecond))
	}
	return "open"
}

// count returns the number of faults of a plan.
func count(series [][]fault) int { return len(slices.Concat(series...)) }
