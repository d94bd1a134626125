package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/checker"
	"github.com/sapphiresail/sapphiresail/soak/proxy"
)

// Ways in which a run ends.
const (
	endedDone    = "done"
	endedFailed  = "failed"
	endedStopped = "stopped"
	endedLapsed  = "lapsed"
)

// bootKey is the context key of the boot that accepted a connection.
type bootKey struct{}

// Instance is a stand-in for a machine that runs tasks under a lease. Its fields are guarded by the mutex of the fleet.
type Instance struct {
	ID, DataCentre string
	fleet          *Fleet
	machine, rack  string
	processors     int64
	link           *proxy.Stream
	server         *http.Server

	boots    int
	bootedAt time.Time
	crashed  bool
	// mute holds back announcements.
	mute       bool
	sequence   uint64
	fence      uint64
	leaseEnd   time.Duration
	runs       map[string]*run
	rejected   map[string]uint64
	ends       []end
	endsNumber uint64
	changed    chan struct{} // closed at the next end or crash
}

type run struct {
	checker.Run
	endsAt time.Duration
	fails  bool
}

// end is an end of a run that the leader has not acknowledged yet.
type end struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// boot starts a boot without anything of the earlier one.
func (in *Instance) boot() {
	in.boots++
	in.bootedAt, in.crashed, in.sequence, in.fence, in.leaseEnd, in.endsNumber = time.Now(), false, 0, 0, 0, 0
	in.runs, in.rejected, in.ends = map[string]*run{}, map[string]uint64{}, nil
}

func (in *Instance) bootNumber() int {
	in.fleet.mutex.Lock()
	defer in.fleet.mutex.Unlock()
	return in.boots
}

func (in *Instance) clock() time.Duration { return time.Since(in.bootedAt) + clockAtBoot }

func (in *Instance) wake() {
	close(in.changed)
	in.changed = make(chan struct{})
}

// end ends a run; the report lists the end until the leader acknowledges it.
func (in *Instance) end(r *run, how string) {
	delete(in.runs, r.Task)
	in.rejected[r.Task] = max(in.rejected[r.Task], r.Number)
	in.endsNumber++
	in.ends = append(in.ends, end{in.endsNumber, r.Task, r.Number, how})
	ending := checker.Stopped
	switch how {
	case endedDone:
		ending = checker.Done
	case endedFailed:
		ending = checker.Broken
	}
	in.fleet.observer.End(r.Task, r.Job, r.Number, ending)
	in.wake()
}

// Crash ends the boot with all its runs; connections are refused until Return.
func (in *Instance) Crash() {
	_ = in.link.Set(proxy.Mode{Reset: true})
	in.fleet.mutex.Lock()
	defer in.fleet.mutex.Unlock()
	in.fleet.advance()
	in.crashed = true
	for _, r := range in.runs {
		in.fleet.observer.End(r.Task, r.Job, r.Number, checker.Broken)
	}
	in.runs = map[string]*run{}
	in.wake()
}

// Return starts the next boot after a crash.
func (in *Instance) Return() error {
	in.fleet.mutex.Lock()
	if in.crashed {
		in.boot()
	}
	in.fleet.mutex.Unlock()
	return in.link.Set(proxy.Mode{})
}

// Disturb sets the mode of the link to the instance. With mute, the instance does not announce itself either.
func (in *Instance) Disturb(m proxy.Mode, mute bool) error {
	in.fleet.mutex.Lock()
	in.mute = mute
	crashed := in.crashed
	in.fleet.mutex.Unlock()
	if crashed {
		return nil
	}
	return in.link.Set(m)
}

// ServeHTTP executes an order or answers a poll, as the platform specifies it for instances.
func (in *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m orderMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(instanceHeader) != in.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	in.fleet.mutex.Lock()
	defer in.fleet.mutex.Unlock()
	now := in.fleet.advance()
	if in.crashed || r.Context().Value(bootKey{}) != in.boots {
		panic(http.ErrAbortHandler) // an order to an earlier boot
	}
	if m.FenceToken < in.fence {
		in.refuse(w, reasonFence)
		return
	}
	in.fence = m.FenceToken
	switch r.URL.Path {
	case startPath:
		if !in.start(now, m) {
			in.refuse(w, reasonLate)
			return
		}
	case stopPath:
		in.rejected[m.Task] = max(in.rejected[m.Task], m.Run)
		if current := in.runs[m.Task]; current != nil && current.Number <= m.Run {
			in.end(current, endedStopped)
		}
	case pollPath:
		in.extend(now, m.DeadlineMS)
		in.acknowledge(m.AckCursor)
		boot := in.boots
		in.awaitEnd(r.Context(), time.Duration(m.WaitMS)*time.Millisecond)
		in.fleet.advance()
		if in.crashed || in.boots != boot {
			panic(http.ErrAbortHandler)
		}
	case pacePath:
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	in.report(w, http.StatusOK)
}

func (in *Instance) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]any{"reason": reason})
}

// extend extends the lease to a deadline on the clock of the instance.
func (in *Instance) extend(now time.Duration, deadlineMS int64) {
	left := time.Duration(deadlineMS)*time.Millisecond - in.clock()
	if deadlineMS > 0 {
		in.leaseEnd = max(in.leaseEnd, now+min(left, MaxLease))
	}
}

// start starts a run, unless the order is late, or was stopped before.
func (in *Instance) start(now time.Duration, m orderMessage) bool {
	if current := in.runs[m.Task]; current != nil && current.Number == m.Run {
		return true
	}
	if m.DeadlineMS < in.clock().Milliseconds() || m.Run <= in.rejected[m.Task] {
		return false
	}
	var work Work
	_ = json.Unmarshal([]byte(m.Spec), &work)
	in.extend(now, m.DeadlineMS)
	job, _, _ := bytes.Cut([]byte(m.Task), []byte("."))
	r := &run{
		Run:    checker.Run{Task: m.Task, Job: string(job), Instance: in.ID, DataCentre: in.DataCentre, Number: m.Run, Processors: work.Processors},
		endsAt: now + time.Duration(work.Millis)*time.Millisecond, fails: work.FailsEvery > 0 && m.Run%work.FailsEvery == 0,
	}
	in.runs[m.Task] = r
	in.fleet.starts++
	in.fleet.observer.Start(now, r.Run)
	return true
}

func (in *Instance) acknowledge(cursor uint64) {
	for len(in.ends) > 0 && in.ends[0].number <= cursor {
		if in.ends[0].how == endedDone {
			in.fleet.observer.AcknowledgeDone(in.ends[0].task)
		}
		in.ends = in.ends[1:]
	}
}

// awaitEnd waits until there is an end to report, for a time at most.
func (in *Instance) awaitEnd(ctx context.Context, wait time.Duration) {
	if len(in.ends) > 0 || wait <= 0 {
		return
	}
	changed := in.changed
	in.fleet.mutex.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	case <-in.fleet.ctx.Done():
	}
	in.fleet.mutex.Lock()
}

func (in *Instance) report(w http.ResponseWriter, status int) {
	m := reportMessage{ClockMS: in.clock().Milliseconds(), Born: in.bootedAt.UnixMilli(), Running: [][]any{}, Ended: [][]any{}}
	for _, r := range in.runs {
		m.Running = append(m.Running, runningRow(r.Task, r.Number))
	}
	for _, e := range in.ends {
		m.Ended = append(m.Ended, endedRow(e))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m)
}

// announceLoop announces the instance to the keeper that the last answer named, or to the next one.
func (in *Instance) announceLoop() {
	keeper := in.fleet.keepers[len(in.ID)%len(in.fleet.keepers)]
	for n := 0; ; n++ {
		next, ok := in.announce(keeper)
		switch {
		case next != "":
			keeper = next
		case !ok:
			keeper = in.fleet.keepers[n%len(in.fleet.keepers)]
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-in.fleet.ctx.Done():
			return
		}
	}
}

func (in *Instance) announce(keeper string) (next string, ok bool) {
	in.fleet.mutex.Lock()
	in.sequence++
	m := heartbeatMessage{
		Service: pool, Address: in.link.Address(), Zone: in.DataCentre, State: "ready", SeqNum: in.sequence, Born: in.bootedAt.UnixMilli(), Machine: in.machine,
		Capacity: amountsMessage{CPU: in.processors, MemMB: 4096}, Labels: []string{in.rack}, ClockMS: in.clock().Milliseconds(),
	}
	silent := in.crashed || in.mute
	in.fleet.mutex.Unlock()
	if silent {
		return "", true
	}
	body, _ := json.Marshal(m)
	request, err := http.NewRequestWithContext(in.fleet.ctx, http.MethodPost, "http://"+keeper+heartbeatPath+in.ID, bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	response, err := in.fleet.client.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return "", false
	}
	return nextKeeper(answer), true
}
