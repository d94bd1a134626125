package supervisor

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Costs of the simulated leader in processor time. A processor runs one goroutine at a time, in the order in which they became ready;
// each message is handled by several goroutines in turn.
const (
	leaderShare    = 0.25 // of a processor of this cost; at 0.3 its polls, commits and loop delay are about those of a real leader
	pollHops       = 4    // send, read the response, process it in the loop, prepare the next
	startHops      = 4
	commitHops     = 3 // proposal and log before the peers, apply, caller and loop after them
	peers          = 8
	peerHops       = 2 // per response
	hopCost        = 25 * time.Microsecond
	planCost       = time.Millisecond
	roundTrip      = 3 * time.Millisecond
	electionBound  = 700 * time.Millisecond
	simulatedSlots = 8
	jobWidth       = 8
	jobHops        = 2 // per job besides its commit: the call and the response
	// jobCost is that of a job in a commit with others: its record is encoded and applied, and the loop adds it to the scheduler.
	jobCost = 2 * hopCost
)

// simulation is a leader with one processor and the instances that it polls, on a virtual clock.
type simulation struct {
	now       time.Duration
	events    eventQueue
	sequence  int
	ready     []func() // the run queue, with what each goroutine does after its turn
	costs     []time.Duration
	busy      bool
	random    *rand.Rand
	pacer     pollPacer
	instances []*simulatedInstance
	waiting   map[int][]time.Duration // arrival times of tasks without a slot, by pool
	planned   bool
	commits   bool
	reported  bool

	jobs *jobQueue // the version of a job stands for its pool

	polls          int
	longestControl time.Duration
	// overload is the load in [overloadFrom, overloadUntil), as a multiple of the usual one.
	overload   float64
	startWaits []time.Duration
}

// simulatedInstance has slots for tasks; ends count up, and a response returns at once while some are not acknowledged.
type simulatedInstance struct {
	pool                             int
	ends, handled, committing, acked int
	runs, known                      int
	freeSince                        []time.Duration
	held                             func()
	wake                             func()
}

type timedEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after runs f once the clock has advanced by d.
func (s *simulation) after(d time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.events, timedEvent{s.now + d, s.sequence, f})
}

// compute makes a goroutine of the leader ready; f follows its turn on the processor.
func (s *simulation) compute(cost time.Duration, f func()) {
	s.ready, s.costs = append(s.ready, f), append(s.costs, cost)
	s.dispatch()
}

func (s *simulation) dispatch() {
	if s.busy || len(s.ready) == 0 {
		return
	}
	f, cost := s.ready[0], s.costs[0]
	s.ready, s.costs = s.ready[1:], s.costs[1:]
	s.busy = true
	s.after(time.Duration(float64(cost)/leaderShare), func() {
		s.busy = false
		f()
		s.dispatch()
	})
}

// hops passes a message through n goroutines of the leader in turn.
func (s *simulation) hops(n int, f func()) {
	if n == 0 {
		f()
		return
	}
	s.compute(hopCost, func() { s.hops(n-1, f) })
}

// post runs f in the loop of the leader and lets the pacer observe how long that took.
func (s *simulation) post(f func()) {
	posted := s.now
	s.compute(hopCost, func() {
		s.pacer.loopDelay.observe(s.now, s.now-posted)
		f()
		s.planSoon()
	})
}

func (s *simulation) planSoon() {
	if !s.planned {
		s.planned = true
		s.after(planDelay, func() { s.compute(planCost, func() { s.planned = false; s.plan() }) })
	}
}

// plan starts waiting tasks in known free slots, and commits ends.
func (s *simulation) plan() {
	for _, in := range s.instances {
		for in.known < simulatedSlots && len(s.waiting[in.pool]) > 0 {
			arrival := s.waiting[in.pool][0]
			s.waiting[in.pool] = s.waiting[in.pool][1:]
			in.known++
			s.start(in, arrival)
		}
	}
	s.commitEnds()
}

func (s *simulation) start(in *simulatedInstance, arrival time.Duration) {
	if in.wake != nil {
		in.wake()
	}
	s.hops(startHops/2, func() {
		s.after(roundTrip/2, func() {
			s.startWaits = append(s.startWaits, s.now-max(arrival, in.freeSince[0]))
			in.freeSince = in.freeSince[1:]
			in.runs++
			s.after(time.Duration(float64(time.Second)*(0.4+1.2*s.random.Float64())), func() {
				in.runs--
				in.ends++
				in.freeSince = append(in.freeSince, s.now)
				in.respond()
			})
			s.after(roundTrip/2, func() { s.hops(startHops/2, s.planSoon) })
		})
	})
}

// replicate sends a message to all peers and calls f once half of them have responded.
func (s *simulation) replicate(f func()) {
	started, responses := s.now, 0
	for range peers {
		s.hops(1, func() {
			s.after(roundTrip, func() {
				s.hops(peerHops, func() {
					if responses++; responses == peers/2 {
						s.longestControl = max(s.longestControl, s.now-started-roundTrip)
						f()
					}
				})
			})
		})
	}
}

// commit replicates a command.
func (s *simulation) commit(f func()) {
	started := s.now
	s.hops(commitHops, func() {
		s.replicate(func() {
			s.hops(commitHops, func() {
				s.longestControl = max(s.longestControl, s.now-started-roundTrip)
				f()
			})
		})
	})
}

func (s *simulation) commitEnds() {
	if s.commits || !s.reported {
		return
	}
	s.commits, s.reported = true, false
	for _, in := range s.instances {
		in.committing = in.handled
	}
	started := s.now
	s.commit(func() {
		s.pacer.commitDelay.observe(s.now, s.now-started)
		s.commits = false
		for _, in := range s.instances {
			in.acked = in.committing
		}
		s.planSoon()
	})
}

// heartbeat sends heartbeats to the peers every 100 ms; the responses of half of them renew the lease of the leader.
func (s *simulation) heartbeat() {
	s.replicate(func() {})
	s.after(100*time.Millisecond, s.heartbeat)
}

func (in *simulatedInstance) respond() {
	if f := in.held; f != nil {
		in.held = nil
		f()
	}
}

// poll runs the poll loop of an instance.
func (s *simulation) poll(in *simulatedInstance) {
	started := s.now
	s.post(func() {
		acked, wait := in.acked, 700*time.Millisecond
		if in.known == 0 {
			wait = 2 * time.Second
		}
		s.hops(pollHops-3, func() {
			s.after(roundTrip/2, func() {
				answered := false
				respond := func() {
					if answered {
						return
					}
					answered = true
					runs, ends := in.runs, in.ends
					s.after(roundTrip/2, func() { s.hops(1, func() { s.handleReport(in, started, runs, ends) }) })
				}
				if in.ends > acked {
					respond()
					return
				}
				in.held = respond
				s.after(wait, respond)
			})
		})
	})
}

func (s *simulation) handleReport(in *simulatedInstance, started time.Duration, runs, ends int) {
	s.polls++
	s.post(func() {
		if ends > in.handled {
			in.known -= ends - in.handled
			in.handled = ends
			s.reported = true
		}
		need := scheduler.PollForEnds
		switch {
		case in.handled > in.acked:
			need = scheduler.PollAfterCommit
		case in.known == 0:
			need = scheduler.PollWhenIdle
		}
		resumed := false
		resume := func() {
			if !resumed {
				resumed, in.wake = true, nil
				s.hops(1, func() { s.poll(in) })
			}
		}
		if need == scheduler.PollWhenIdle {
			in.wake = resume
		}
		s.after(s.pacer.pause(need, s.now-started), resume)
	})
}

// arrive submits jobs of eight tasks to a pool at a rate in tasks a second, times the load.
func (s *simulation) arrive(pool int, rate float64) {
	s.sequence++
	command := state.SubmitJob{Job: workload.Job{ID: workload.JobID(strconv.Itoa(s.sequence))}, At: state.Timestamp(s.now)}
	s.hops(jobHops/2, func() {
		s.jobs.add(command, uint64(pool))
		s.commitJobs()
	})
	s.after(time.Duration(jobWidth/(rate*s.load())*float64(time.Second)*2*s.random.Float64()), func() { s.arrive(pool, rate) })
}

// commitJobs commits waiting jobs together, as many as may be under way.
func (s *simulation) commitJobs() {
	for {
		batch := s.jobs.take(s.now)
		if len(batch) == 0 {
			return
		}
		s.commit(func() {
			s.compute(time.Duration(len(batch))*jobCost, func() {
				s.jobs.finish(batch)
				for _, p := range batch {
					s.accept(p)
				}
				s.planSoon()
				s.commitJobs()
			})
		})
	}
}

// accept makes the tasks of a committed job wait for slots and answers its caller.
func (s *simulation) accept(p *pendingJob) {
	pool, arrival := int(p.version), time.Duration(p.command.At)
	for range jobWidth {
		s.waiting[pool] = append(s.waiting[pool], arrival)
	}
	s.hops(jobHops/2, func() {})
}

const (
	overloadFrom  = 4 * time.Second
	overloadUntil = 7 * time.Second
)

// load returns the demand now as a multiple of the usual one.
func (s *simulation) load() float64 {
	if s.overload > 0 && s.now >= overloadFrom && s.now < overloadUntil {
		return s.overload
	}
	return 1
}

// simulateTurn simulates a leader of 349 instances in five pools in a turn: one pool has four times the demand of the others.
func simulateTurn(limits pollLimits, jobs jobLimits, overload float64) *simulation {
	const instances, pools, duration = 349, 5, 10 * time.Second
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), pacer: pollPacer{limits: limits}, waiting: map[int][]time.Duration{}, overload: overload, jobs: newJobQueue(jobs)}
	for i := range instances {
		in := &simulatedInstance{pool: i % pools, freeSince: make([]time.Duration, simulatedSlots)}
		s.instances = append(s.instances, in)
		s.after(time.Duration(i)*time.Millisecond, func() { s.poll(in) })
	}
	s.arrive(0, 450)
	for pool := 1; pool < pools; pool++ {
		s.arrive(pool, 110)
	}
	s.heartbeat()
	for s.now < duration {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *simulation) meanStartWait() time.Duration {
	total := time.Duration(0)
	for _, w := range s.startWaits {
		total += w
	}
	return total / time.Duration(len(s.startWaits))
}

// oneCommitForEach is the acceptance of jobs without limits, so that the polls alone decide about the outcome of a test.
var oneCommitForEach = jobLimits{commits: math.MaxInt, jobsPerCommit: 1}

// TestJobsThatShareCommitsWaitLess guards against limits on the jobs being committed that make callers wait at the usual demand, or that hold
// up heartbeats.
func TestJobsThatShareCommitsWaitLess(t *testing.T) {
	alone, shared := simulateTurn(defaultPollLimits, oneCommitForEach, 1), simulateTurn(defaultPollLimits, defaultJobLimits, 1)
	assert.Assert(t, shared.meanStartWait() < alone.meanStartWait(), "%v and %v", shared.meanStartWait(), alone.meanStartWait())
	assert.Assert(t, shared.longestControl < alone.longestControl, "%v and %v", shared.longestControl, alone.longestControl)
}

// TestTurnOfManyInstancesDoesNotHoldUpControl guards against a leader whose heartbeats and commits wait behind poll responses
// until its lease ends. Load pattern: 349 instances in a turn, 890 tasks of one second and 111 jobs a second, on a leader with a quarter of
// a processor.
func TestTurnOfManyInstancesDoesNotHoldUpControl(t *testing.T) {
	unpaced := simulateTurn(pollLimits{minInterval: 80 * time.Millisecond, maxInterval: 80 * time.Millisecond}, oneCommitForEach, 1)
	paced := simulateTurn(defaultPollLimits, oneCommitForEach, 1)
	for name, s := range map[string]*simulation{"unpaced": unpaced, "paced": paced} {
		t.Logf("%s: %d polls, control waits %v at most, %d starts wait %v on average, loop delay %v", name, s.polls, s.longestControl, len(s.startWaits), s.meanStartWait(), s.pacer.loopDelay.value)
	}
	assert.Assert(t, unpaced.longestControl > electionBound, "the load does not occupy a leader that polls without a pace")
	assert.Assert(t, paced.longestControl < electionBound)
	assert.Assert(t, paced.meanStartWait() < unpaced.meanStartWait())
}

// TestOverloadedLeaderKeepsItsLease guards against a burst that costs the leadership: heartbeats and commits must not wait as long as an
// election, whatever the callers ask. Load pattern: the turn above, for three seconds with two and with four times its demand, and then
// as before.
func TestOverloadedLeaderKeepsItsLease(t *testing.T) {
	for _, overload := range []float64{2, 4} {
		s := simulateTurn(defaultPollLimits, defaultJobLimits, overload)
		t.Logf("%g times the demand: %d polls, control waits %v at most, %d starts wait %v on average", overload, s.polls, s.longestControl, len(s.startWaits), s.meanStartWait())
		assert.Check(t, s.longestControl < electionBound, "%g times the demand: heartbeats and commits wait %v", overload, s.longestControl)
	}
}
