package replayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/tracer"
)

// target simulates the target of one instance.
type target struct {
	instance       fleet.Instance
	running        map[fleet.AttemptID]*attempt
	down           bool
	blackHole      bool
	rebootsFail    bool
	bootCount      int
	rebootEnds     time.Duration
	lastSeen       time.Duration
	announceOffset time.Duration
	leavingSince   time.Duration
	// announced is the latest announcement.
	announced fleet.Instance
}

// attempt is one attempt of a request, from its placement to its end.
type attempt struct {
	caller     *caller
	id         fleet.AttemptID
	target     *target
	customer   fleet.CustomerID
	startedAt  time.Duration
	endsAt     time.Duration
	fails      bool
	targetDown bool
}

// caller simulates the caller of one request and the entry's handling of that request.
type caller struct {
	event        tracer.Event
	arrivedAt    time.Duration
	deadline     time.Duration
	attemptCount int
	runCount     int
	startedAt    time.Duration
	avoid        []fleet.InstanceID
	waiting      bool
	done         bool
	retryAt      time.Duration
	attempt      *attempt
}

// Intervals of the simulated targets.
const (
	announceInterval = time.Second
)

// announce updates the target's announcement if one is due, or if the target has rebooted.
func (t *target) announce(now time.Duration) {
	rebooted := t.announced.BootID != t.instance.BootID
	if t.down || now < t.rebootEnds || (now+t.announceOffset)%announceInterval != 0 && t.lastSeen != 0 && !rebooted {
		return
	}
	t.instance.Sequence++
	t.lastSeen = now
	t.announced = t.instance
	t.announced.Tasks = nil
	for _, a := range t.running {
		task := fleet.Task{Attempt: a.id, Customer: a.customer, Queue: a.caller.event.Queue}
		if a.caller.event.Usage != nil {
			task.Usage = *a.caller.event.Usage
		}
		t.announced.Tasks = append(t.announced.Tasks, task)
	}
	slices.SortFunc(t.announced.Tasks, func(a, b fleet.Task) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

// interrupt ends all attempts that run on a target without a result, and returns them in order of their IDs.
func (t *target) interrupt() []*attempt {
	var interrupted []*attempt
	for _, a := range t.running {
		a.targetDown = true
		interrupted = append(interrupted, a)
	}
	slices.SortFunc(interrupted, byAttempt)
	t.running = map[fleet.AttemptID]*attempt{}
	return interrupted
}

func byAttempt(a, b *attempt) int { return cmp.Compare(a.id, b.id) }
