package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endsPerAnswer is how many ends a worker lists at a time, by the protocol.
const endsPerAnswer = 500

// work is the specification of a subtask that the stand-in workers carry out: subtask i of a step runs for MS + i * StepMS.
type work struct {
	MS     int64 `json:"ms"`
	StepMS int64 `json:"step,omitempty"`
	Lasts  bool  `json:"lasts,omitempty"`
}

// event is a start or an end of a run as the workers have seen it.
type event struct {
	at     time.Duration
	worker *worker
	task   string
	run    uint64
	how    string // "start" or the kind of the end
	number uint64 // of the end
	acked  time.Duration
	spec   string
}

// fleet is the workers, and all that they have run.
type fleet struct {
	record  *record
	cluster *cluster
	mutex   sync.Mutex
	workers []*worker
	events  []*event
	client  *http.Client
}

// worker is a stand-in for one worker of the platform, as PROTOCOL.md describes it. The mutex of the fleet guards it.
type worker struct {
	fleet          *fleet
	id, ip, zone   string
	machine        string
	service        string
	rack           string
	cpu, memMB     int64
	born           time.Time
	server         *http.Server
	seq            uint64
	state          string
	fence          uint64
	leaseEnd       time.Duration // on its clock
	runs           map[string]*workerRun
	barred         map[string]uint64 // highest run of each subtask that was stopped or has ended
	ends           []*event
	endNumber      uint64
	changed        chan struct{}
	unansweredPart float64 // share of the orders that get no answer and are carried out 2 to 12 s later
	stopped        bool
	// cut is open while the worker is cut off: it answers nothing and hears nothing, and runs on.
	cut    chan struct{}
	lapses []time.Duration // when its lease has expired
	lapsed bool
	upkeep upkeep
	moving bool
}

// upkeep is what the provider knows of the machine of a worker.
type upkeep struct {
	fence uint64
	down  bool
	begun map[uint64]bool // waves of which it has had its upkeep
}

type workerRun struct {
	task, spec string
	run        uint64
	startedAt  time.Time
	work       work
	duration   time.Duration
	timer      *time.Timer
}

func newFleet(rec *record, c *cluster) *fleet {
	return &fleet{record: rec, cluster: c, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// add starts a worker of a service on a machine of its own.
func (f *fleet) add(service string, n int) (*worker, error) {
	f.mutex.Lock()
	i := len(f.workers)
	f.mutex.Unlock()
	w, err := f.boot(service, zones[n%len(zones)], fmt.Sprintf("r1-%d", n/4), fmt.Sprintf("m-%05x", 0x10000+i), fmt.Sprintf("%s.%d", f.cluster.network, 101+i))
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.workers = append(f.workers, w)
	return w, nil
}

// boot starts a worker on a machine.
func (f *fleet) boot(service, zone, rack, machine, ip string) (*worker, error) {
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), ip: ip, zone: zone, machine: machine,
		service: service, rack: rack, cpu: 64000, memMB: 131072, born: time.Now(), state: "ready",
		runs: map[string]*workerRun{}, barred: map[string]uint64{}, changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", w.address())
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	go w.watchLease()
	return w, nil
}

func (f *fleet) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, w := range f.workers {
		w.stopped = true
		_ = w.server.Close()
	}
}

func (w *worker) address() string { return fmt.Sprintf("%s:%d", w.ip, w.fleet.cluster.ports.worker) }

// clock is the worker's clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) + 5*time.Second }

// beat announces the worker to the keepers.
func (w *worker) beat() {
	next := ""
	for n := rand.IntN(100); ; n++ {
		w.fleet.mutex.Lock()
		stopped, silent := w.stopped, w.cut != nil
		w.seq++
		body, _ := json.Marshal(w.announcement())
		w.fleet.mutex.Unlock()
		if stopped {
			return
		}
		controls := w.fleet.cluster.controls()
		if next == "" {
			next = controls[n%len(controls)]
		}
		if !silent {
			answer, status, err := w.fleet.post(next, "/-/Instances.Heartbeat/"+w.id, body)
			if err != nil || status/100 != 2 {
				next = ""
				time.Sleep(50 * time.Millisecond)
				continue
			}
			if to := heartbeatAddr(answer); to != "" {
				next = to
			}
		}
		time.Sleep(heartbeat)
	}
}

// heartbeatAddr reads the address for later heartbeats from the answer to one.
func heartbeatAddr(answer []byte) string {
	var m struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	_ = json.Unmarshal(answer, &m)
	return m.HeartbeatAddr
}

func (w *worker) announcement() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "warmupLeftMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}, "labels": []string{"a", w.rack}, "machine": w.machine,
		"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "seqNum": w.seq,
	}
}

func (f *fleet) post(address, path string, body []byte) ([]byte, int, error) {
	response, err := f.client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return answer, response.StatusCode, err
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	FenceToken uint64 `json:"fenceToken"`
	AckCursor  uint64 `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

func (w *worker) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Target-Instance") != w.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	path := r.URL.Path
	w.fleet.mutex.Lock()
	isOrder := path == "/-/run-start" || path == "/-/run-stop"
	unanswered := isOrder && w.unansweredPart > 0 && rand.Float64() < w.unansweredPart
	cut := w.cut
	w.fleet.mutex.Unlock()
	if cut != nil { // what was sent into the cut is lost
		select {
		case <-cut:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if unanswered {
		delay := 2*time.Second + time.Duration(rand.Float64()*10*float64(time.Second))
		time.AfterFunc(delay, func() { w.execute(path, o, true) })
		<-r.Context().Done() // the caller gives up
		panic(http.ErrAbortHandler)
	}
	if path == "/-/hold" {
		w.hold(writer, r, o)
		return
	}
	status, reason := w.execute(path, o, false)
	w.answer(writer, status, map[string]any{"clockMs": w.clock().Milliseconds(), "reason": reason})
}

func (w *worker) answer(writer http.ResponseWriter, status int, body map[string]any) {
	if body["reason"] == "" {
		delete(body, "reason")
	}
	text, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

// execute carries out a start or a stop.
func (w *worker) execute(path string, o order, late bool) (status int, reason string) {
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	if w.stopped {
		return http.StatusServiceUnavailable, ""
	}
	if o.FenceToken < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.FenceToken
	switch path {
	case "/-/run-start":
		if current := w.runs[o.Task]; current != nil && current.run == o.Run {
			return http.StatusOK, ""
		}
		if o.Run <= w.barred[o.Task] {
			w.extend(o.DeadlineMS)
			return http.StatusConflict, "old"
		}
		if o.DeadlineMS <= w.clock().Milliseconds() {
			return http.StatusConflict, "late"
		}
		w.extend(o.DeadlineMS)
		w.startRun(o, late)
	case "/-/run-stop":
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		if current := w.runs[o.Task]; current != nil && current.run <= o.Run {
			time.AfterFunc(20*time.Millisecond, func() {
				w.fleet.mutex.Lock()
				defer w.fleet.mutex.Unlock()
				w.end(current, "stopped")
			})
		}
	case "/-/pace":
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

func (w *worker) extend(deadlineMS int64) {
	if deadlineMS > 0 {
		w.leaseEnd = max(w.leaseEnd, min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+holdMax))
	}
}

func (w *worker) startRun(o order, late bool) {
	r := &workerRun{task: o.Task, spec: o.Spec, run: o.Run, startedAt: time.Now()}
	_ = json.Unmarshal([]byte(o.Spec), &r.work)
	index, _ := strconv.Atoi(o.Task[strings.LastIndexByte(o.Task, '.')+1:])
	r.duration = time.Duration(r.work.MS+int64(index)*r.work.StepMS) * time.Millisecond
	w.runs[o.Task] = r
	how := "start"
	if late {
		how = "start (carried out late)"
	}
	w.fleet.note(&event{worker: w, task: o.Task, run: o.Run, how: how, spec: o.Spec})
	if !r.work.Lasts {
		r.timer = time.AfterFunc(r.duration, func() {
			w.fleet.mutex.Lock()
			defer w.fleet.mutex.Unlock()
			w.end(r, "done")
		})
	}
}

// note adds an event; the mutex is held.
func (f *fleet) note(e *event) {
	e.at = f.record.now()
	f.events = append(f.events, e)
	f.record.add("%s %s %s run %d end %d", e.worker.id, e.how, e.task, e.run, e.number)
}

// end ends a run; the mutex is held.
func (w *worker) end(r *workerRun, how string) {
	if w.runs[r.task] != r || w.stopped {
		return
	}
	delete(w.runs, r.task)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.barred[r.task] = max(w.barred[r.task], r.run)
	w.endNumber++
	e := &event{worker: w, task: r.task, run: r.run, how: how, number: w.endNumber}
	w.ends = append(w.ends, e)
	w.fleet.note(e)
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold answers a poll.
func (w *worker) hold(writer http.ResponseWriter, r *http.Request, o order) {
	w.fleet.mutex.Lock()
	if o.FenceToken < w.fence {
		w.fleet.mutex.Unlock()
		w.answer(writer, http.StatusConflict, map[string]any{"clockMs": w.clock().Milliseconds(), "reason": "fence"})
		return
	}
	w.fence = o.FenceToken
	w.extend(o.DeadlineMS)
	for len(w.ends) > 0 && w.ends[0].number <= o.AckCursor {
		w.ends[0].acked = w.fleet.record.now()
		w.ends = w.ends[1:]
	}
	if wait := time.Duration(min(o.WaitMS, 2000)) * time.Millisecond; wait > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.fleet.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		w.fleet.mutex.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, task := range w.sortedRuns() {
		current := w.runs[task]
		percent := 100
		if !current.work.Lasts && current.duration > 0 {
			percent = int(min(99, 100*time.Since(current.startedAt)/current.duration))
		}
		running = append(running, []any{task, current.run, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), endsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	if len(w.ends) > endsPerAnswer {
		w.fleet.record.add("%s lists the first %d of %d ends that are not acknowledged", w.id, endsPerAnswer, len(w.ends))
	}
	body := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	cut := w.cut
	w.fleet.mutex.Unlock()
	if cut != nil {
		<-cut
		panic(http.ErrAbortHandler)
	}
	w.answer(writer, http.StatusOK, body)
}

// setCut cuts a worker off from all machines, or ends that.
func (f *fleet) setCut(w *worker, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if cut {
		w.cut = make(chan struct{})
		return
	}
	close(w.cut)
	w.cut = nil
}

// lapsedBetween reports whether the lease of the worker expired between two times.
func (w *worker) lapsedBetween(from, to time.Duration) bool {
	for _, at := range w.lapses {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}

func (w *worker) sortedRuns() (list []string) {
	for task := range w.runs {
		list = append(list, task)
	}
	sort.Strings(list)
	return list
}

// watchLease ends everything when the lease expires.
func (w *worker) watchLease() {
	for range time.Tick(10 * time.Millisecond) {
		w.fleet.mutex.Lock()
		if w.stopped {
			w.fleet.mutex.Unlock()
			return
		}
		if lapsed := w.clock() > w.leaseEnd; lapsed != w.lapsed {
			if w.lapsed = lapsed; lapsed {
				w.lapses = append(w.lapses, w.fleet.record.now())
				w.fleet.record.add("the lease of %s has expired", w.id)
			}
		}
		if len(w.runs) > 0 && w.clock() > w.leaseEnd {
			for _, task := range w.sortedRuns() {
				w.end(w.runs[task], "lapsed")
			}
		}
		w.fleet.mutex.Unlock()
	}
}
