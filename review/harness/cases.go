package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["ends"] = endsCase
	cases["route"] = routeCase
	cases["writer"] = writerCase
	cases["cancel"] = cancelCase
	cases["wave"] = waveCase
}

var (
	queueA  = queue{"r-cure", "pule25.example", "/puxa400/", "huvo11a"}
	queueB  = queue{"r-recon", "jepu9.example", "/defi252/", "huvo11a"}
	tenantA = customer{"cugo130", "sjnbanfqasnmgkcuyj8p"}
	tenantB = customer{"bolu771", "jbvk9m68k7b2ex5wa5xw"}
)

// setUp starts the workers of service A and publishes the first config.
func (t *trial) setUp(workers int) (*requester, error) {
	for i := range workers {
		if _, err := t.add(queueA.service, i); err != nil {
			return nil, err
		}
	}
	if !t.publish(configBody(1, []queue{queueA, queueB}, []customer{tenantA, tenantB}, []string{queueA.service}), 20*time.Second) {
		return nil, fmt.Errorf("the first config was not acknowledged")
	}
	time.Sleep(6 * time.Second) // the workers are known, and all keepers have joined
	return &requester{fleet: t.fleet, queue: queueA, key: tenantA.key}, nil
}

// warmUp runs a small job, which shows that the system works.
func (t *trial) warmUp(r *requester) error {
	id := "00000000000000aa"
	if status, _ := r.insist(http.MethodPost, id, jobBody(work{MS: 300}, step{"count": 2, "cpu": 500, "memMb": 64, "estRuntimeMs": 300}), 10*time.Second); status != http.StatusOK {
		return fmt.Errorf("the first job was answered %d", status)
	}
	for range 100 {
		if r.state(id) == "completed" {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the first job did not complete")
}

// countEvents counts the events that match.
func (t *trial) countEvents(match func(e *event) bool) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := 0
	for _, e := range t.events {
		if match(e) {
			n++
		}
	}
	return n
}

func (t *trial) await(limit time.Duration, what string, done func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, limit)
}

func isStart(e *event) bool { return strings.HasPrefix(e.how, "start") }

// checkTwice applies TWICE: two runs of a subtask at the same time, or a start after a run has ended done, if that end is taken note of.
func (t *trial) checkTwice() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	running := map[string]map[*worker]uint64{}
	done := map[string]*event{}
	for _, e := range t.events {
		if running[e.task] == nil {
			running[e.task] = map[*worker]uint64{}
		}
		if !isStart(e) {
			delete(running[e.task], e.worker)
			if e.how == "done" && e.acked > 0 && !e.worker.lapsedBetween(e.at, e.acked) && done[e.task] == nil {
				done[e.task] = e
			}
			continue
		}
		for other, run := range running[e.task] {
			if other != e.worker {
				t.record.breaks("TWICE: %s run %d starts on %s at %.3f s while run %d is at work on %s", e.task, e.run, e.worker.id, e.at.Seconds(), run, other.id)
			}
		}
		if d := done[e.task]; d != nil {
			t.record.breaks("TWICE: %s run %d starts on %s at %.3f s; run %d had ended done on %s at %.3f s, and ackCursor reached that end at %.3f s",
				e.task, e.run, e.worker.id, e.at.Seconds(), d.run, d.worker.id, d.at.Seconds(), d.acked.Seconds())
		}
		running[e.task][e.worker] = e.run
	}
}

// submitMany hands in jobs of a number of subtasks each and returns their ids.
func (t *trial) submitMany(r *requester, jobs int, body []byte) ([]string, error) {
	ids := make([]string, jobs)
	failed := make(chan error, jobs)
	slots := make(chan bool, 16)
	for i := range jobs {
		ids[i] = fmt.Sprintf("%016x", 0x5c0e7a2100000000+i)
		slots <- true
		go func() {
			defer func() { <-slots }()
			mine := &requester{fleet: t.fleet, queue: r.queue, key: r.key, next: i}
			status, _ := mine.insist(http.MethodPost, ids[i], body, 10*time.Second)
			if status == http.StatusOK {
				failed <- nil
				return
			}
			failed <- fmt.Errorf("job %s was answered %d", ids[i], status)
		}()
	}
	for range jobs {
		if err := <-failed; err != nil {
			return nil, err
		}
	}
	return ids, nil
}

// endsCase: more than 500 subtasks end on a worker while it is cut off.
func endsCase(t *trial) error {
	// One worker of six is less than the share of 0.17.
	r, err := t.setUp(6)
	if err != nil {
		return err
	}
	if err := t.warmUp(r); err != nil {
		return err
	}
	// 155 jobs as wide as the site's small ones at most, 620 subtasks on each worker of 64 cores. The runs of a job end over 2.4 s.
	const jobs, width = 155, 24
	before := t.countEvents(isStart)
	if _, err := t.submitMany(r, jobs, jobBody(work{MS: 10000, StepMS: 100}, step{"count": width, "cpu": 100, "memMb": 64, "estRuntimeMs": 11000})); err != nil {
		return err
	}
	if err := t.await(8*time.Second, "all subtasks start", func() bool { return t.countEvents(isStart)-before >= jobs*width }); err != nil {
		return err
	}
	t.record.say("all %d subtasks are at work", jobs*width)
	if err := t.await(15*time.Second, "a subtask ends", func() bool {
		return t.countEvents(func(e *event) bool { return e.how == "done" }) > 2
	}); err != nil {
		return err
	}
	if t.trouble {
		w := t.busiest()
		t.setCut(w, true)
		t.record.say("%s, with %d runs, is cut off from all machines for %s and runs on (node_cut, servers)", w.id, len(w.runs), endsCut)
		time.Sleep(endsCut)
		t.setCut(w, false)
		t.record.say("%s is reached again", w.id)
	}
	time.Sleep(14 * time.Second)
	t.checkTwice()
	return nil
}

// endsCut is within the 5.5 s of the site, and shorter than a lease.
const endsCut = 4 * time.Second

// busiest returns the worker with the most runs.
func (t *trial) busiest() *worker {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var w *worker
	for _, other := range t.workers {
		if w == nil || len(other.runs) > len(w.runs) {
			w = other
		}
	}
	return w
}

// routeCase: the leading keeper is killed while an accepted job of a removed route is at work; its second step is never started.
func routeCase(t *trial) error {
	r, err := t.setUp(4)
	if err != nil {
		return err
	}
	if err := t.warmUp(r); err != nil {
		return err
	}
	id := "5c0e7a21d94b36f8"
	body := jobBody(work{MS: 6000}, step{"count": 4, "cpu": 500, "memMb": 256, "estRuntimeMs": 6000}, step{"count": 4, "cpu": 500, "memMb": 256, "estRuntimeMs": 6000, "after": []int{0}})
	if status, _ := r.insist(http.MethodPost, id, body, 10*time.Second); status != http.StatusOK {
		return fmt.Errorf("the job was answered %d", status)
	}
	handedIn := t.record.now()
	first := func(e *event) bool { return isStart(e) && strings.HasPrefix(e.task, id+".0.0.") }
	if err := t.await(5*time.Second, "the first step starts", func() bool { return t.countEvents(first) == 4 }); err != nil {
		return err
	}
	if !t.publish(configBody(2, []queue{queueB}, []customer{tenantA, tenantB}, []string{queueA.service}), 10*time.Second) {
		return fmt.Errorf("the config without the route was not acknowledged")
	}
	t.record.say("the config no longer has the route of the job; its service and tenant stay")
	if t.trouble {
		k := t.cluster.leader()
		if k == nil {
			return fmt.Errorf("no leader found")
		}
		t.record.say("%s, which leads, is killed (node_kill on core)", k.name)
		k.kill()
		time.Sleep(3 * time.Second)
		if err := k.start(); err != nil {
			return err
		}
		t.record.say("%s is back", k.name)
	}
	// LOST looks from finish_s after the end of the traffic, and then for 3 s on end.
	time.Sleep(handedIn + finish + 8*time.Second - t.record.now())
	ended := t.countEvents(func(e *event) bool { return e.how == "done" && strings.HasPrefix(e.task, id+".0.0.") && e.acked > 0 })
	started := t.countEvents(func(e *event) bool { return isStart(e) && strings.HasPrefix(e.task, id+".0.1.") })
	t.record.say("subtasks of the first step that ended done and were taken note of: %d of 4; starts of the second step: %d", ended, started)
	if ended < 4 {
		return fmt.Errorf("the first step did not end")
	}
	if started == 0 {
		t.record.breaks("LOST: job %s was accepted at %.3f s and nobody cancelled it; its second step's turn came when the first ended, four idle workers of its service have 64 cores each, and nothing of it has started by %.3f s",
			id, handedIn.Seconds(), t.record.now().Seconds())
	}
	return nil
}

// writerCase: a heartbeat from another writer, with fields missing, names the address of a worker that is at work.
func writerCase(t *trial) error {
	r, err := t.setUp(4)
	if err != nil {
		return err
	}
	if err := t.warmUp(r); err != nil {
		return err
	}
	if _, err := t.submitMany(r, 4, jobBody(work{MS: 5000}, step{"count": 4, "cpu": 4000, "memMb": 1024, "estRuntimeMs": 5000})); err != nil {
		return err
	}
	if err := t.await(5*time.Second, "all subtasks start", func() bool { return t.countEvents(isStart) >= 2+16 }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if t.trouble {
		w := t.busiest()
		t.record.add("%s at %s has %d runs", w.id, w.address(), len(w.runs))
		// Of the fields of a heartbeat, zone, version, slots, warmupLeftMs, labels and seqNum are missing.
		body := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready","capacity":{"cpu":64000,"memMb":131072},"born":%d}`, w.service, w.address(), time.Now().UnixMilli())
		for range 3 {
			_, status, err := t.post(t.cluster.controls()[1], "/-/Instances.Heartbeat/i-sidecar01", []byte(body))
			t.record.say("heartbeat of another writer, fields missing: %s: %d %v", body, status, err)
			if err == nil {
				break
			}
		}
	}
	time.Sleep(12 * time.Second)
	t.checkTwice()
	return nil
}

// smallSubtasks is a job of which 40 fit on a worker of 64 cores.
var smallSubtasks = jobBody(work{MS: 20000}, step{"count": 20, "cpu": 80, "memMb": 64, "estRuntimeMs": 20000})

// leaveUnanswered has the workers leave a share of the orders unanswered for a time, and carry them out 2 to 12 s later.
func (t *trial) leaveUnanswered(share float64, duration time.Duration) {
	set := func(share float64) {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		for _, w := range t.workers {
			w.unansweredPart = share
		}
	}
	set(share)
	t.record.say("the workers leave %g of the orders unanswered and carry them out 2 to 12 s later, for %s (applied_late)", share, duration)
	time.AfterFunc(duration, func() { set(0) })
}

// cancelCase: workers leave a small share of the orders unanswered and carry them out late, while many jobs are started and cancelled.
func cancelCase(t *trial) error {
	r, err := t.setUp(2)
	if err != nil {
		return err
	}
	if err := t.warmUp(r); err != nil {
		return err
	}
	if t.trouble {
		t.leaveUnanswered(0.055, 5500*time.Millisecond)
	}
	ids, err := t.submitMany(r, 76, smallSubtasks)
	if err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	t.record.say("76 jobs are accepted; a quarter of them is cancelled")
	acked := map[string]time.Duration{}
	type ack struct {
		id string
		at time.Duration
	}
	acks := make(chan ack, len(ids))
	cancelled := ids[len(ids)-len(ids)/4:]
	for i, id := range cancelled {
		go func() {
			mine := &requester{fleet: t.fleet, queue: r.queue, key: r.key, next: i}
			if status, _ := mine.insist(http.MethodDelete, id, nil, 20*time.Second); status/100 == 2 {
				acks <- ack{id, t.record.now()}
				return
			}
			acks <- ack{id, 0}
		}()
	}
	for range cancelled {
		if a := <-acks; a.at > 0 {
			acked[a.id] = a.at
		}
	}
	t.record.say("%d cancels are acknowledged", len(acked))
	time.Sleep(14 * time.Second)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, e := range t.events {
		id, _, _ := strings.Cut(e.task, ".")
		if at := acked[id]; e.how == "start" && at > 0 && e.at > at+cancelBound {
			t.record.breaks("UNASKED: %s run %d starts on %s at %.3f s; the cancel of its job was acknowledged at %.3f s", e.task, e.run, e.worker.id, e.at.Seconds(), at.Seconds())
		}
	}
	return nil
}

// waveCase: the leading keeper is killed after an order for the upkeep of a machine that got no answer and is carried out late.
func waveCase(t *trial) error {
	// 23 of 48 machines are the share of 0.48 of the site.
	const all, machines, maxCount = 48, 23, 2
	r, err := t.setUp(all)
	if err != nil {
		return err
	}
	if err := t.warmUp(r); err != nil {
		return err
	}
	t.mutex.Lock()
	var names []string
	for _, w := range t.workers[:machines] {
		names = append(names, w.machine)
	}
	t.provider.maxCount = maxCount
	if t.trouble {
		t.provider.unanswered, t.provider.lateness = 4, 9*time.Second // one of 23 orders, carried out 2 to 12 s later
	}
	t.mutex.Unlock()
	// A busy pool: jobs of 8 subtasks as large and long as the site's largest, some more than the workers can do.
	stop := make(chan bool)
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+i)
			go (&requester{fleet: t.fleet, queue: queueA, key: tenantA.key, next: i}).call(http.MethodPost, id, jobBody(work{MS: 5200}, step{"count": 8, "cpu": 23000, "memMb": 11000, "estRuntimeMs": 5200}))
			select {
			case <-stop:
				return
			case <-time.After(400 * time.Millisecond):
			}
		}
	}()
	time.Sleep(10 * time.Second)
	body, _ := json.Marshal(map[string]any{"wave": 1, "machines": names, "durationS": 26, "maxCount": maxCount})
	accepted := false
	for range 5 {
		_, status, err := t.post(t.cluster.controls()[1], "/-/wave-start", body)
		t.record.say("operator: wave-start of %d machines of %d, maxCount %d, 26 s: %d %v", machines, all, maxCount, status, err)
		if accepted = status == http.StatusOK; accepted {
			break
		}
	}
	if !accepted {
		return fmt.Errorf("the wave was not acknowledged")
	}
	if t.trouble {
		select {
		case <-t.provider.missed:
		case <-time.After(40 * time.Second):
			return fmt.Errorf("too few orders")
		}
		time.Sleep(300 * time.Millisecond)
		k := t.cluster.leader()
		if k == nil {
			return fmt.Errorf("no leader found")
		}
		t.record.say("%s, which leads, is killed (node_kill on core)", k.name)
		k.kill()
		time.Sleep(3 * time.Second)
		if err := k.start(); err != nil {
			return err
		}
		t.record.say("%s is back", k.name)
		time.Sleep(12 * time.Second)
		return nil
	}
	time.Sleep(30 * time.Second)
	return nil
}
