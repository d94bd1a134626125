// Package scenario runs the program as processes on loopback, injects faults derived from a seed, and lets the checker observe.
package scenario

import (
	"math/rand/v2"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/proxy"
)

// kind is a kind of fault, by the name that the report uses.
type kind string

const (
	killProcess      kind = "SIGKILL"
	terminateProcess kind = "SIGTERM"
	suspendProcess   kind = "SIGSTOP"
	emptyDataFolder  kind = "SIGKILL, empty folder"
	killKeepers      kind = "SIGKILL of all keepers"
	disturbPeers     kind = "peer link"
	isolateProcess   kind = "all peer links"
	crashInstance    kind = "instance crashes"
	silenceInstance  kind = "instance silent"
	disturbInstance  kind = "instance link"
	restartInstance  kind = "instance restarts"
)

// fault is one fault of the plan. It begins at a time since the faults began and is undone after duration. target is a process or an instance,
// peer the process at the other end of a link.
type fault struct {
	at, duration time.Duration
	kind         kind
	target, peer int
	mode         proxy.Mode
}

// Pauses and durations of the faults. A lease of an instance lasts 6 s and an election 0.7 s; the durations lie on both sides of them.
const (
	maxPause     = 2500 * time.Millisecond
	shortestTime = 200 * time.Millisecond
	longestTime  = 8 * time.Second
	maxDelay     = 400 * time.Millisecond
	// longestSilence is that of an instance that restarts. It is longer than the timeout of an order.
	longestSilence = 1200 * time.Millisecond
	// emptyInterval keeps a second keeper from losing its data before the leader has replaced the first one.
	emptyInterval = 20 * time.Second
)

// planner derives the faults of a scenario from its seed.
type planner struct {
	random                      *rand.Rand
	keepers, entries, instances int
	emptied                     []time.Duration // when a data folder was emptied
}

// plan returns the faults of a scenario as series that overlap; the faults of one series follow each other.
func plan(seed uint64, duration time.Duration, keepers, entries, instances int) (series [][]fault) {
	p := &planner{random: rand.New(rand.NewPCG(seed, 1)), keepers: keepers, entries: entries, instances: instances}
	for _, draw := range []func(at time.Duration) fault{p.keeperFault, p.entryFault, p.linkFault, p.linkFault, p.instanceFault, p.instanceFault} {
		var list []fault
		for at := p.within(0, maxPause); at < duration; {
			f := draw(at)
			longest := min(longestTime, max(shortestTime, duration-at))
			// Short faults are more frequent.
			f.at, f.duration = at, min(p.within(shortestTime, longest), p.within(shortestTime, longest))
			list = append(list, f)
			at += f.duration + p.within(0, maxPause)
		}
		series = append(series, list)
	}
	// A generator of its own keeps the other faults of a seed as they were.
	p.random = rand.New(rand.NewPCG(seed, 2))
	return append(series, p.restarts(duration))
}

// restarts returns faults in which an instance is silent, starts again under its ID, and is cut off soon after.
func (p *planner) restarts(duration time.Duration) (list []fault) {
	for at := p.within(0, maxPause); at < duration; at += p.within(0, maxPause) {
		target := p.random.IntN(p.instances)
		silent, pause, cutOff := p.within(longestSilence/4, longestSilence), p.within(0, shortestTime), p.within(longestTime/2, longestTime)
		list = append(list,
			fault{at: at, duration: silent, kind: restartInstance, target: target},
			fault{at: at + silent + pause, duration: cutOff, kind: disturbInstance, target: target, mode: proxy.Mode{CutForward: true, CutBackward: true}})
		at += silent + pause + cutOff
	}
	return list
}

func (p *planner) within(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)+1))
}

func (p *planner) kind(list ...kind) kind { return list[p.random.IntN(len(list))] }

// keeperFault draws a fault of a keeper. Fewer than a majority of the keepers lose their data, one after the other.
func (p *planner) keeperFault(at time.Duration) fault {
	f := fault{target: p.random.IntN(p.keepers), kind: p.kind(killProcess, killProcess, terminateProcess, suspendProcess, suspendProcess, emptyDataFolder, killKeepers)}
	n := len(p.emptied)
	switch {
	case f.kind != emptyDataFolder:
	case n >= (p.keepers-1)/2 || n > 0 && at-p.emptied[n-1] < emptyInterval:
		f.kind = killProcess
	default:
		p.emptied = append(p.emptied, at)
	}
	return f
}

func (p *planner) entryFault(time.Duration) fault {
	return fault{target: p.keepers + p.random.IntN(p.entries), kind: p.kind(killProcess, terminateProcess, suspendProcess)}
}

func (p *planner) linkFault(time.Duration) fault {
	target := p.random.IntN(p.keepers + p.entries)
	peer := (target + 1 + p.random.IntN(p.keepers-1)) % p.keepers // entries do not talk to each other
	return fault{kind: p.kind(disturbPeers, disturbPeers, isolateProcess), target: target, peer: peer, mode: p.mode()}
}

func (p *planner) instanceFault(time.Duration) fault {
	f := fault{target: p.random.IntN(p.instances), kind: p.kind(crashInstance, silenceInstance, disturbInstance, disturbInstance), mode: p.mode()}
	switch f.kind {
	case crashInstance:
		f.mode = proxy.Mode{}
	case silenceInstance:
		f.mode = proxy.Mode{CutForward: true, CutBackward: true}
	}
	return f
}

// mode draws how a link is disturbed.
func (p *planner) mode() proxy.Mode {
	delayed := proxy.Mode{Delay: p.within(10*time.Millisecond, maxDelay)}
	return []proxy.Mode{delayed, {CutForward: true}, {CutBackward: true}, {CutForward: true, CutBackward: true}, {Reset: true}}[p.random.IntN(5)]
}

// describe names a mode for the report.
func describe(m proxy.Mode) string {
	switch {
	case m == (proxy.Mode{}):
		return ""
	case m.Reset:
		return "reset"
	case m.CutForward && m.CutBackward:
		return "silenced"
	case m.CutForward:
		return "cut to the target"
	case m.CutBackward:
		return "cut from the target"
	}
	return "delayed by " + m.Delay.Round(time.Millisecond).String()
}
