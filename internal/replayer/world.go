package replayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/tracer"
)

// target is the fake of one target instance.
type target struct {
	instance fleet.Instance
	running  map[fleet.AttemptID]*flight
	down     bool
	hole     bool
	bad      bool
	boots    int
	back     time.Duration
	heard    time.Duration
	offset   time.Duration
	leaving  time.Duration
	// told is the announcement that was last heard.
	told fleet.Instance
}

// flight is one attempt from its ticket to its end.
type flight struct {
	caller   *caller
	attempt  fleet.AttemptID
	target   *target
	customer fleet.CustomerID
	started  time.Duration
	ends     time.Duration
	fails    bool
	dead     bool
}

// caller is the fake of one caller and of the entry's part in its request.
type caller struct {
	event    tracer.Event
	arrived  time.Duration
	deadline time.Duration
	attempts int
	runs     int
	started  time.Duration
	avoid    []fleet.InstanceID
	waiting  bool
	done     bool
	again    time.Duration
	flight   *flight
}

// Intervals of the fakes.
const (
	announceEvery = time.Second
)

// announce lets a target announce itself when its time has come.
func (t *target) announce(now time.Duration) {
	booted := t.told.BootID != t.instance.BootID
	if t.down || now < t.back || (now+t.offset)%announceEvery != 0 && t.heard != 0 && !booted {
		return
	}
	t.instance.Sequence++
	t.heard = now
	t.told = t.instance
	t.told.Tasks = nil
	for _, f := range t.running {
		task := fleet.Task{Attempt: f.attempt, Customer: f.customer, Queue: f.caller.event.Queue}
		if f.caller.event.Usage != nil {
			task.Usage = *f.caller.event.Usage
		}
		t.told.Tasks = append(t.told.Tasks, task)
	}
	slices.SortFunc(t.told.Tasks, func(a, b fleet.Task) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

// kill ends everything that runs on a target without an answer, and returns what was cut.
func (t *target) kill() []*flight {
	var cut []*flight
	for _, f := range t.running {
		f.dead = true
		cut = append(cut, f)
	}
	slices.SortFunc(cut, byAttempt)
	t.running = map[fleet.AttemptID]*flight{}
	return cut
}

func byAttempt(a, b *flight) int { return cmp.Compare(a.attempt, b.attempt) }
