package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"
)

// Bounds of the small deployment, as on its page.
const (
	holdMaxMs     = 6000
	stopTimeout   = 200 * time.Millisecond
	gangTimeout   = 3 * time.Second
	cancelBound   = 3 * time.Second
	drainBound    = 2 * time.Second
	earlyBound    = 250 * time.Millisecond
	saveInterval  = 2 * time.Second
	restoreTime   = 250 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	moveTime      = 1500 * time.Millisecond
	upkeepTime    = 2 * time.Second
	quotaOverage  = 0.1
	maxPage       = 500
	serviceWarmup = 300 * time.Millisecond
)

// amount is cpu, memory and accelerators.
type amount struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"memMb"`
	GPU int64 `json:"gpu,omitempty"`
}

// run is a run of a subtask on a worker.
type run struct {
	task     string
	number   uint64
	job      *job
	step     *step
	on       *worker
	began    time.Time // when it began to work; zero while a gang waits
	arrived  time.Time
	base     time.Duration // work restored from a checkpoint
	saved    string
	stopping time.Time
}

// end is an end that a worker lists until it is acknowledged.
type end struct {
	number uint64
	run    *run
	how    string
	at     time.Time
}

// worker is one life of a machine.
type worker struct {
	w                 *world
	id, service, zone string
	machine           *machine
	rack              string
	capacity          amount
	address           string
	server            *http.Server
	born              int64
	started           time.Time
	seq               uint64
	fence             uint64
	lease             time.Time
	leaseLapses       []time.Time
	runs              map[string]*run
	rejected          map[string]uint64
	ends              []end
	endsNumber        uint64
	listed            uint64 // the highest end that was listed in an answer
	changed           chan struct{}
	draining          bool
	drainAcked        time.Time
	dead              bool
	dark              bool      // its address stays silent after its end
	mute              time.Time // until then nothing is answered
	muted             bool      // no heartbeats
	guards            bool
	refuses           bool // it answers starts with 503 and does nothing
}

func (k *worker) clockMs() int64 { return time.Since(k.started).Milliseconds() + 1000 }

func (k *worker) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// boot starts a new life under an id on an address.
func (w *world) boot(id, address string, m *machine) *worker {
	k := &worker{
		w: w, id: id, service: m.pool, zone: m.zone, machine: m, rack: m.rack, capacity: m.capacity, started: time.Now(), born: time.Now().UnixMilli(),
		runs: map[string]*run{}, rejected: map[string]uint64{}, changed: make(chan struct{}), guards: w.guards[m.pool],
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		w.fail("a worker cannot listen: " + err.Error())
		return k
	}
	k.address = listener.Addr().String()
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = k.server.Serve(listener) }()
	w.workers = append(w.workers, k)
	m.worker = k
	go k.beat()
	return k
}

// die ends a life with all that runs on it.
func (k *worker) die() {
	if k.dead {
		return
	}
	k.dead = true
	for _, r := range k.runs {
		k.w.breakGang(r)
		k.w.note("worker %s dies with %s run %d", k.id, r.task, r.number)
	}
	k.runs = map[string]*run{}
	k.wake()
	if !k.dark {
		go func() { _ = k.server.Close() }()
	}
}

// silence leaves a request to a worker that has ended in the dark without an answer, and breaks off one to another that has ended. It is called
// with the mutex of the world, which it holds when it panics.
func (k *worker) silence(ctx context.Context) {
	if k.dark {
		k.w.mutex.Unlock()
		<-ctx.Done()
		k.w.mutex.Lock()
	}
	panic(http.ErrAbortHandler)
}

func (k *worker) used() (u amount) {
	for _, r := range k.runs {
		if !r.step.Fills {
			u.CPU += r.step.CPU
		}
		u.Mem += r.step.Mem
		u.GPU += r.step.GPU
	}
	return u
}

// finish ends a run and lists its end.
func (k *worker) finish(r *run, how string) {
	if k.runs[r.task] != r {
		return
	}
	delete(k.runs, r.task)
	k.rejected[r.task] = max(k.rejected[r.task], r.number)
	k.endsNumber++
	k.ends = append(k.ends, end{k.endsNumber, r, how, time.Now()})
	k.w.ended(r, how)
	if how != "done" && how != "broken" && how != "alone" {
		k.w.breakGang(r)
	}
	k.wake()
}

// percent returns the progress of a run.
func (r *run) percent() int {
	if r.began.IsZero() {
		return 0
	}
	worked := r.base + time.Since(r.began)
	if r.step.Long {
		return int(min(100, 100*worked/serviceWarmup))
	}
	return int(min(99, 100*worked/r.step.duration()))
}

// progress ends what is due on the worker.
func (k *worker) progress(now time.Time) {
	if k.dead {
		return
	}
	if len(k.runs) > 0 && now.After(k.lease) {
		k.leaseLapses = append(k.leaseLapses, now)
		for _, r := range sortedRuns(k.runs) {
			k.finish(r, "lapsed")
		}
	}
	for _, r := range sortedRuns(k.runs) {
		if k.runs[r.task] != r {
			continue
		}
		if !r.stopping.IsZero() && now.After(r.stopping) {
			k.finish(r, "stopped")
			continue
		}
		if r.step.Gang && r.began.IsZero() {
			if now.Sub(r.arrived) > gangTimeout {
				k.finish(r, "alone")
			}
			continue
		}
		worked := r.base + now.Sub(r.began)
		if r.step.Long && r.percent() >= 100 && r.stopping.IsZero() {
			k.w.taskOf(r.task).atWork = now
		}
		if r.step.Checkpointing {
			if n := worked / saveInterval; n > 0 && time.Duration(n)*saveInterval > r.base {
				r.saved = k.w.checkpointOf(r, time.Duration(n)*saveInterval)
			}
		}
		if r.step.Long || worked < r.step.duration() {
			continue
		}
		if r.step.FailRuns > k.w.failures(r.task) {
			k.finish(r, "failed")
			continue
		}
		k.finish(r, "done")
	}
}

func sortedRuns(m map[string]*run) []*run {
	list := make([]*run, 0, len(m))
	for _, r := range m {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fenceToken"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	AckCursor  uint64 `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
	Percent    int    `json:"percent"`
}

// ServeHTTP answers an order, or leaves it without an answer and carries it out late.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || r.Method == http.MethodPost && json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	defer k.w.lock()()
	for !k.dead && time.Now().Before(k.mute) {
		k.w.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
		k.w.mutex.Lock()
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if k.dead {
		k.silence(r.Context())
	}
	target := r.Header.Get("Target-Instance")
	if r.URL.Path == "/-/hold" && k.w.holdPollOf == k.id && o.AckCursor > 0 {
		k.w.holdPoll(k, target, o)
		k.w.mutex.Unlock()
		<-r.Context().Done()
		k.w.mutex.Lock()
		panic(http.ErrAbortHandler)
	}
	if k.w.holdOrder != nil {
		if delay := k.w.holdOrder(r.URL.Path, o); delay > 0 {
			k.carryOutAfter(delay, r.URL.Path, target, o)
			k.w.mutex.Unlock()
			<-r.Context().Done()
			k.w.mutex.Lock()
			panic(http.ErrAbortHandler)
		}
	}
	if delay := k.w.holdStarts; delay > 0 && r.URL.Path == "/-/run-start" && !k.w.held[o.Task] {
		k.w.holdStart(k, target, o, delay)
		k.w.mutex.Unlock()
		<-r.Context().Done()
		k.w.mutex.Lock()
		panic(http.ErrAbortHandler)
	}
	if k.w.lateShare > 0 && strings.HasPrefix(r.URL.Path, "/-/run-") && rand.Float64() < k.w.lateShare {
		k.carryOutLate(r.URL.Path, target, o)
		k.w.mutex.Unlock()
		<-r.Context().Done()
		k.w.mutex.Lock()
		panic(http.ErrAbortHandler)
	}
	status, answer := k.carryOut(r.Context(), r.URL.Path, target, o)
	if k.dead {
		k.silence(r.Context())
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	text, _ := json.Marshal(answer)
	_, _ = rw.Write(text)
}

// carryOutLate carries an order out 2 to 12 s later, if this life lasts so long.
func (k *worker) carryOutLate(path, target string, o order) {
	k.carryOutAfter(2*time.Second+rand.N(10*time.Second), path, target, o)
}

func (k *worker) carryOutAfter(delay time.Duration, path, target string, o order) {
	k.w.note("%s %s run %d at %s is left without an answer for %s", path, o.Task, o.Run, k.id, delay)
	time.AfterFunc(delay, func() {
		defer k.w.lock()()
		if !k.dead {
			k.w.carriedOutLate = true // bounds of time don't hold for these
			status, answer := k.carryOut(context.Background(), path, target, o)
			k.w.carriedOutLate = false
			k.w.note("%s %s run %d at %s is carried out late: %d %v", path, o.Task, o.Run, k.id, status, answer["reason"])
		}
	})
}

func (k *worker) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	left := min(time.Duration(deadlineMs-k.clockMs())*time.Millisecond, holdMaxMs*time.Millisecond)
	if until := time.Now().Add(left); until.After(k.lease) {
		k.lease = until
	}
}

func (k *worker) carryOut(ctx context.Context, path, target string, o order) (int, map[string]any) {
	now := time.Now()
	k.w.advance()
	if target != "" && target != k.id {
		return http.StatusMisdirectedRequest, map[string]any{}
	}
	answer := map[string]any{"clockMs": k.clockMs(), "born": k.born}
	if o.Fence < k.fence {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	if o.Fence > k.fence {
		k.fence = o.Fence
	}
	switch path {
	case "/-/run-start":
		if k.refuses {
			k.w.note("start %s run %d at %s is refused with 503", o.Task, o.Run, k.id)
			return http.StatusServiceUnavailable, map[string]any{}
		}
		if reason := k.start(now, o); reason != "" {
			answer["reason"] = reason
			k.w.note("start %s run %d at %s is refused: %s", o.Task, o.Run, k.id, reason)
			return http.StatusConflict, answer
		}
	case "/-/run-stop":
		k.rejected[o.Task] = max(k.rejected[o.Task], o.Run)
		if r := k.runs[o.Task]; r != nil && r.number <= o.Run && r.stopping.IsZero() {
			k.w.checkAway(k, r)
			r.stopping = now.Add(stopTimeout / 2)
			if r.step.Checkpointing && !r.began.IsZero() {
				r.saved = k.w.checkpointOf(r, r.base+now.Sub(r.began))
			}
			k.w.stopOrdered(r)
		}
	case "/-/pace":
	case "/-/hold":
		k.extend(o.DeadlineMs)
		k.acknowledge(o.AckCursor)
		if deadline := now.Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond); o.WaitMs > 0 {
			for len(k.ends) == 0 && !k.dead && ctx.Err() == nil && time.Now().Before(deadline) {
				changed := k.changed
				k.w.mutex.Unlock()
				select {
				case <-changed:
				case <-time.After(time.Until(deadline)):
				case <-ctx.Done():
				}
				k.w.mutex.Lock()
			}
		}
		running, ended := [][]any{}, [][]any{}
		for _, r := range sortedRuns(k.runs) {
			row := []any{r.task, r.number, r.saved, r.percent()}
			if r.step.Long && r.step.Target > 0 {
				row = append(row, r.step.Target/2)
			} else {
				row = append(row, r.step.CPU)
			}
			running = append(running, row)
		}
		for _, e := range k.ends[:min(len(k.ends), maxPage)] {
			ended = append(ended, []any{e.number, e.run.task, e.run.number, e.how, e.run.saved})
			k.listed = max(k.listed, e.number)
		}
		answer["running"], answer["ended"], answer["clockMs"] = running, ended, k.clockMs()
	default:
		return http.StatusOK, answer // the status check
	}
	return http.StatusOK, answer
}

// acknowledge forgets ends up to a number.
func (k *worker) acknowledge(cursor uint64) {
	for len(k.ends) > 0 && k.ends[0].number <= cursor {
		e := k.ends[0]
		k.ends = k.ends[1:]
		lapsed := slices.ContainsFunc(k.leaseLapses, func(t time.Time) bool { return !t.Before(e.at) })
		k.w.noted(k, e, lapsed)
	}
}

// start starts a run, or returns why not.
func (k *worker) start(now time.Time, o order) (refusal string) {
	if r := k.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= k.rejected[o.Task] {
		k.extend(o.DeadlineMs)
		return "old"
	}
	if k.runs[o.Task] != nil {
		k.w.violate("TWICE", "%s run %d starts at %s beside run %d there", o.Task, o.Run, k.id, k.runs[o.Task].number)
		return "old"
	}
	if o.DeadlineMs < k.clockMs() {
		return "late"
	}
	j, s := k.w.stepOf(o.Task)
	if j == nil {
		k.w.violate("UNASKED", "%s starts at %s, and nobody sent its job", o.Task, k.id)
		return "old"
	}
	if k.guards {
		u := k.used()
		if u.CPU+s.CPU > k.capacity.CPU || u.Mem+s.Mem > k.capacity.Mem {
			k.extend(o.DeadlineMs)
			return "room"
		}
	}
	if j.queue.advice && !k.w.ticketValid(o, k) {
		return "ticket"
	}
	r := &run{task: o.Task, number: o.Run, job: j, step: s, on: k, arrived: now, saved: o.Checkpoint}
	k.w.begins(k, r, o)
	k.extend(o.DeadlineMs)
	k.runs[o.Task] = r
	if o.Checkpoint != "" {
		r.base = max(0, progressOf(o.Checkpoint)-restoreTime)
	}
	if !s.Gang {
		r.began = now
	} else {
		k.w.joinGang(r, now)
	}
	return ""
}

// beat sends heartbeats.
func (k *worker) beat() {
	next := ""
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := rand.IntN(keeperCount); ; n++ {
		unlock := k.w.lock()
		if k.dead || k.w.closed {
			unlock()
			return
		}
		muted := k.muted || time.Now().Before(k.mute)
		state := "ready"
		if k.draining {
			state = "draining"
		}
		k.seq++
		message := map[string]any{
			"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": 8, "state": state, "warmupLeftMs": 0, "capacity": k.capacity,
			"labels": []string{"a", k.rack}, "clockMs": k.clockMs(), "seqNum": k.seq, "born": k.born, "machine": k.machine.name,
		}
		if k.draining {
			message["remainingMs"] = 2000
		}
		unlock()
		if !muted {
			if next == "" {
				next = k.w.system.keepers[n%keeperCount].served
			}
			body, _ := json.Marshal(message)
			status, answer := call(client, http.MethodPost, "http://"+next+"/-/Instances.Heartbeat/"+k.id, nil, body)
			if status/100 == 2 {
				var a struct {
					HeartbeatAddr string `json:"heartbeatAddr"`
				}
				_ = json.Unmarshal(answer, &a)
				if a.HeartbeatAddr != "" {
					next = a.HeartbeatAddr
				}
				if state == "draining" {
					unlock := k.w.lock()
					if k.drainAcked.IsZero() {
						k.drainAcked = time.Now()
					}
					unlock()
				}
			} else {
				next = ""
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		pause := heartbeat
		if k.draining && k.drainAcked.IsZero() {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// drain lets the worker say that it leaves; it ends later.
func (k *worker) drain(after time.Duration) {
	k.draining = true
	time.AfterFunc(after, func() {
		client := &http.Client{Timeout: time.Second}
		body, _ := json.Marshal(map[string]any{"born": k.born})
		call(client, http.MethodPost, "http://"+k.w.system.keepers[0].served+"/-/Instances.Deregister/"+k.id, nil, body)
		defer k.w.lock()()
		k.die()
	})
}

func progressOf(checkpoint string) time.Duration {
	var ms int64
	_, _ = fmt.Sscanf(checkpoint[:min(8, len(checkpoint))], "%08x", &ms)
	return time.Duration(ms) * time.Millisecond
}
