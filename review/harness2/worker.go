package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behaviour of the worker stand-ins.
const (
	heartbeatInterval = 1500 * time.Millisecond
	advanceInterval   = 5 * time.Millisecond
	clockAtBoot       = time.Second
	linkDelay         = 1400 * time.Microsecond // one way between zones
	startupTime       = 900 * time.Millisecond  // of a subtask that lasts
	maxListedEnds     = 500
)

// work is what a subtask does, as the stand-ins read it from the spec of its job.
type work struct {
	Millis int64 `json:"ms"`
	Lasts  bool  `json:"lasts,omitempty"`
}

// started is a start as the worker saw it.
type started struct {
	task, worker string
	run          uint64
	boot         int
	at           time.Duration
}

// ended is an end as the worker saw it. notedAt is when the ackCursor reached it, zero before.
type ended struct {
	task, worker, how string
	run               uint64
	at, notedAt       time.Duration
	atWork            bool // it was at work, with a percent of 100
}

// fleet is all workers, the provider, and what was seen on them. One mutex guards them.
type fleet struct {
	record   *record
	mutex    sync.Mutex
	workers  []*worker
	starts   []started
	ends     []*ended
	controls []string
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	cloud    net.Listener
}

// worker is a stand-in for one machine of the only service and its worker.
type worker struct {
	fleet                   *fleet
	id, zone, rack          string
	cpu                     int64
	front                   *front
	backend                 *http.Server
	boots                   int
	born                    time.Time
	up                      bool
	sequence, fence, number uint64
	leaseEnd                time.Duration // on the clock of the worker
	runs                    map[string]*run
	barred                  map[string]uint64 // the highest run of each subtask that was stopped or has ended
	listed                  []listedEnd
	changed                 chan struct{}
}

type run struct {
	task      string
	number    uint64
	startedAt time.Duration
	work      work
}

type listedEnd struct {
	number uint64
	end    *ended
}

func newFleet(r *record) (*fleet, error) {
	f := &fleet{record: r, client: &http.Client{Timeout: time.Second}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.cloud = listener
	server := &http.Server{Handler: http.HandlerFunc(f.serveCloud), ReadHeaderTimeout: holdMax}
	go func() { _ = server.Serve(listener) }()
	go f.advanceLoop()
	return f, nil
}

// serveCloud lists the machines. There is one pool only, so that nothing can be moved.
func (f *fleet) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/-/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := []map[string]any{}
	for _, x := range f.workers {
		state := "up"
		if !x.up {
			state = "down"
		}
		list = append(list, map[string]any{"machine": "m-" + x.id, "pool": serviceName, "state": state, "zone": x.zone, "labels": []string{"a", x.rack},
			"capacity": x.capacity(), "id": x.id})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": ""})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// add starts a worker.
func (f *fleet) add(index int, cpu int64) error {
	x := &worker{fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a0000+index), zone: zones[index%len(zones)], rack: fmt.Sprintf("r%d-%d", index%len(zones)+1, index/len(zones)/4+1), cpu: cpu, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	x.backend = &http.Server{Handler: x, ReadHeaderTimeout: holdMax}
	go func() { _ = x.backend.Serve(listener) }()
	if x.front, err = newFront("127.0.0.1:0", listener.Addr().String()); err != nil {
		return err
	}
	f.mutex.Lock()
	f.workers = append(f.workers, x)
	x.boot()
	f.mutex.Unlock()
	go x.heartbeats()
	return nil
}

func (f *fleet) close() {
	f.cancel()
	_ = f.cloud.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, x := range f.workers {
		x.front.close()
		_ = x.backend.Close()
	}
}

func (f *fleet) advanceLoop() {
	for f.ctx.Err() == nil {
		time.Sleep(advanceInterval)
		f.mutex.Lock()
		for _, x := range f.workers {
			x.advance()
		}
		f.mutex.Unlock()
	}
}

func (x *worker) capacity() map[string]any {
	return map[string]any{"cpu": x.cpu, "memMb": 131072, "gpu": 0}
}

// boot starts a boot that knows nothing of the one before.
func (x *worker) boot() {
	x.boots++
	x.born, x.up, x.sequence, x.fence, x.number, x.leaseEnd = time.Now(), true, 0, 0, 0, 0
	x.runs, x.barred, x.listed = map[string]*run{}, map[string]uint64{}, nil
	x.fleet.record.line("worker %s boot %d", x.id, x.boots)
}

// crash ends the boot with all that runs there. The machine is silent until restart.
func (x *worker) crash() {
	x.fleet.mutex.Lock()
	defer x.fleet.mutex.Unlock()
	x.advance()
	x.up = false
	x.fleet.record.line("worker %s crashes with %d running", x.id, len(x.runs))
	for _, r := range x.runs {
		x.fleet.ends = append(x.fleet.ends, &ended{task: r.task, worker: x.id, how: "crashed", run: r.number, at: x.fleet.record.now()})
	}
	x.runs = map[string]*run{}
	x.wake()
	x.front.setSilent(true)
}

// restart starts the next boot under the same id.
func (x *worker) restart() {
	x.fleet.mutex.Lock()
	defer x.fleet.mutex.Unlock()
	x.boot()
	x.front.setSilent(false)
}

func (x *worker) clock() time.Duration { return time.Since(x.born) + clockAtBoot }

func (x *worker) wake() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// advance ends what has ended by now.
func (x *worker) advance() {
	if !x.up {
		return
	}
	clock := x.clock()
	for _, r := range x.runs {
		switch {
		case clock >= x.leaseEnd:
			x.end(r, "lapsed")
		case !r.work.Lasts && clock-r.startedAt >= time.Duration(r.work.Millis)*time.Millisecond:
			x.end(r, "done")
		}
	}
}

func (x *worker) end(r *run, how string) {
	delete(x.runs, r.task)
	x.barred[r.task] = max(x.barred[r.task], r.number)
	x.number++
	e := &ended{task: r.task, worker: x.id, how: how, run: r.number, at: x.fleet.record.now(), atWork: x.percent(r) == 100}
	x.fleet.ends = append(x.fleet.ends, e)
	x.listed = append(x.listed, listedEnd{x.number, e})
	x.fleet.record.line("worker %s boot %d end %d: %s run %d %s", x.id, x.boots, x.number, r.task, r.number, how)
	x.wake()
}

type orderMessage struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	FenceToken uint64 `json:"fenceToken"`
	AckCursor  uint64 `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
}

// ServeHTTP answers an order or a poll.
func (x *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m orderMessage
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(linkDelay)
	defer time.Sleep(linkDelay)
	x.fleet.mutex.Lock()
	defer x.fleet.mutex.Unlock()
	if !x.up {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Target-Instance") != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	boot := x.boots
	status, reply := x.execute(r.Context(), r.URL.Path, m)
	if !x.up || x.boots != boot {
		panic(http.ErrAbortHandler)
	}
	reply["clockMs"], reply["born"] = x.clock().Milliseconds(), x.born.UnixMilli()
	writeJSON(w, status, reply)
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (x *worker) execute(ctx context.Context, path string, m orderMessage) (int, map[string]any) {
	x.advance()
	if m.FenceToken < x.fence {
		return refusal("fence")
	}
	x.fence = m.FenceToken
	switch path {
	case "/-/run-start":
		return x.start(m)
	case "/-/run-stop":
		x.barred[m.Task] = max(x.barred[m.Task], m.Run)
		if r := x.runs[m.Task]; r != nil && r.number <= m.Run {
			x.end(r, "stopped")
		}
	case "/-/hold":
		x.extend(m.DeadlineMS)
		x.note(m.AckCursor)
		x.await(ctx, time.Duration(m.WaitMS)*time.Millisecond)
		return http.StatusOK, x.report()
	}
	return http.StatusOK, map[string]any{}
}

func (x *worker) extend(deadlineMS int64) {
	if deadlineMS > 0 {
		x.leaseEnd = max(x.leaseEnd, min(time.Duration(deadlineMS)*time.Millisecond, x.clock()+holdMax))
	}
}

func (x *worker) start(m orderMessage) (int, map[string]any) {
	if r := x.runs[m.Task]; r != nil && r.number == m.Run {
		x.extend(m.DeadlineMS)
		return http.StatusOK, map[string]any{}
	}
	if time.Duration(m.DeadlineMS)*time.Millisecond < x.clock() {
		return refusal("late")
	}
	x.extend(m.DeadlineMS)
	if m.Run <= x.barred[m.Task] || x.runs[m.Task] != nil {
		return refusal("old")
	}
	var todo work
	_ = json.Unmarshal([]byte(m.Spec), &todo)
	x.runs[m.Task] = &run{task: m.Task, number: m.Run, startedAt: x.clock(), work: todo}
	s := started{task: m.Task, worker: x.id, run: m.Run, boot: x.boots, at: x.fleet.record.now()}
	x.fleet.starts = append(x.fleet.starts, s)
	x.fleet.record.line("worker %s boot %d starts %s run %d fence %d", x.id, x.boots, m.Task, m.Run, m.FenceToken)
	return http.StatusOK, map[string]any{}
}

// note forgets the ends up to a cursor.
func (x *worker) note(cursor uint64) {
	if cursor > x.number {
		x.fleet.record.line("worker %s boot %d ackCursor %d is beyond its last end %d", x.id, x.boots, cursor, x.number)
	}
	for len(x.listed) > 0 && x.listed[0].number <= cursor {
		e := x.listed[0]
		e.end.notedAt = x.fleet.record.now()
		x.fleet.record.line("worker %s boot %d ackCursor %d reaches end %d of %s run %d", x.id, x.boots, cursor, e.number, e.end.task, e.end.run)
		x.listed = x.listed[1:]
	}
}

// await waits until there is an end to list. It releases the mutex meanwhile.
func (x *worker) await(ctx context.Context, wait time.Duration) {
	if len(x.listed) > 0 || wait <= 0 {
		return
	}
	changed := x.changed
	x.fleet.mutex.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	x.fleet.mutex.Lock()
}

func (x *worker) report() map[string]any {
	running, list := [][]any{}, [][]any{}
	for _, r := range x.runs {
		running = append(running, []any{r.task, r.number, "", x.percent(r), 100})
	}
	for _, e := range x.listed[:min(len(x.listed), maxListedEnds)] {
		list = append(list, []any{e.number, e.end.task, e.end.run, e.end.how, ""})
	}
	return map[string]any{"running": running, "ended": list}
}

func (x *worker) percent(r *run) int {
	age, total := x.clock()-r.startedAt, time.Duration(r.work.Millis)*time.Millisecond
	if r.work.Lasts {
		total = startupTime
	}
	return min(100, int(100*age/max(total, time.Millisecond)))
}

// heartbeats reports the worker to a keeper about every heartbeatInterval, with a phase that its restarts don't change, until the fleet is closed.
func (x *worker) heartbeats() {
	next, booted := "", 0
	for n := rand.IntN(keeperCount); x.fleet.ctx.Err() == nil; n++ {
		x.fleet.mutex.Lock()
		controls, boots, up := x.fleet.controls, x.boots, x.up
		x.fleet.mutex.Unlock()
		if len(controls) == 0 {
			time.Sleep(advanceInterval)
			continue
		}
		if !up {
			time.Sleep(heartbeatInterval)
			continue
		}
		if next == "" || booted != boots {
			next, booted = controls[n%len(controls)], boots
		}
		acknowledged := false
		if next, acknowledged = x.heartbeat(next); !acknowledged {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat sends one heartbeat, and returns where the next one goes and whether this one was acknowledged.
func (x *worker) heartbeat(keeper string) (next string, acknowledged bool) {
	x.fleet.mutex.Lock()
	x.sequence++
	body, _ := json.Marshal(map[string]any{"service": serviceName, "address": x.front.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready",
		"warmupLeftMs": 0, "capacity": x.capacity(), "labels": []string{"a", x.rack}, "machine": "m-" + x.id, "born": x.born.UnixMilli(),
		"clockMs": x.clock().Milliseconds(), "seqNum": x.sequence})
	x.fleet.mutex.Unlock()
	status, answer := x.fleet.post("http://"+keeper+"/-/Instances.Heartbeat/"+x.id, body)
	if status != http.StatusOK {
		return "", false
	}
	var m struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	_ = json.Unmarshal(answer, &m)
	if m.HeartbeatAddr == "" {
		return keeper, true
	}
	return m.HeartbeatAddr, true
}

func (f *fleet) post(url string, body []byte) (status int, answer []byte) {
	response, err := f.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ = io.ReadAll(response.Body)
	return response.StatusCode, answer
}
