package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The trials are not among the cases: REPORT.md tells what each has shown. They are played with target/review NAME FOLDER.
func init() {
	cases["trial-bytes"] = bytesTrial
	cases["trial-drain"] = drainTrial
	cases["trial-ids"] = idsTrial
	cases["trial-start"] = startTrial
	cases["trial-long"] = longTrial
	cases["trial-rack"] = rackTrial
}

// unreadable is the id of a heartbeat from another writer, escaped for the path: its bytes are no text.
const unreadable = "i-%FF%FE"

// bytesTrial: other writers send heartbeats with bytes that cannot be read, while workers start.
func bytesTrial(t *trial) error {
	queues := []queue{queueA, {"r-recon", "jepu9.example", "/defi252/", "wuno96b"}, {"r-scan", "jepu9.example", "/cufi501/fi50/", "lovo22d"}, {"r-trace", "pule25.example", "/wuhu344/", "kafi81c"}}
	services := []string{}
	for _, q := range queues {
		services = append(services, q.service)
	}
	if !t.publish(configBody(1, queues, []customer{tenantA}, services), 20*time.Second) {
		return fmt.Errorf("the first config was not acknowledged")
	}
	time.Sleep(6 * time.Second) // all keepers have joined
	if t.trouble {
		for i := range 2 * len(t.cluster.keepers) {
			go t.writeUnreadable(i)
		}
	}
	time.Sleep(8 * time.Second)
	const perService = 8
	for _, s := range services {
		for i := range perService {
			if _, err := t.add(s, i); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	t.record.say("%d workers of %d services have started", perService*len(services), len(services))
	time.Sleep(4 * time.Second)
	// As many jobs as workers; each takes nearly a whole worker until after the check.
	var ids []string
	for i, q := range queues {
		r := &requester{fleet: t.fleet, queue: q, key: tenantA.key, next: i}
		for n := range perService {
			id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+i*16+n)
			body := jobBody(work{MS: 30000}, step{"count": 1, "cpu": 60000, "memMb": 1024, "estRuntimeMs": 30000})
			if status, _ := r.insist(http.MethodPost, id, body, 10*time.Second); status != http.StatusOK {
				return fmt.Errorf("a job was answered %d", status)
			}
			ids = append(ids, id)
		}
	}
	handedIn := t.record.now()
	t.record.say("%d jobs are accepted, one for each worker", len(ids))
	time.Sleep(finish + 4*time.Second)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i, q := range queues {
		busy := 0
		for _, w := range t.workers {
			if w.service == q.service && len(w.runs) > 0 {
				busy++
			}
		}
		t.record.add("%s: %d of %d workers are at work", q.service, busy, perService)
		if 2*busy >= perService {
			continue // LOST asks for under half of the capacity in use
		}
		for _, id := range ids[i*perService : (i+1)*perService] {
			started := false
			for _, e := range t.events {
				started = started || isStart(e) && strings.HasPrefix(e.task, id+".")
			}
			if !started {
				t.record.breaks("LOST: job %s was accepted by %.3f s and nobody cancelled it; %d of the %d workers of its service, %s, are idle, and nothing of it has started by %.3f s",
					id, handedIn.Seconds(), perService-busy, perService, q.service, t.record.now().Seconds())
			}
		}
	}
	return nil
}

// writeUnreadable sends a heartbeat each 1.5 s, first to one keeper and then where the answer says, like a worker.
func (t *trial) writeUnreadable(first int) {
	next := t.cluster.controls()[first%len(t.cluster.keepers)]
	for n := 1; ; n++ {
		body := fmt.Sprintf(`{"service":%q,"address":"%s.%d:9","zone":"lowell-a","version":"v1","slots":8,"state":"ready","warmupLeftMs":0,"capacity":{"cpu":64000,"memMb":131072,"gpu":0},"labels":["a","r9-9"],"clockMs":%d,"seqNum":%d,"born":%d}`,
			queueA.service, t.cluster.network, 60+first, t.record.now().Milliseconds(), n, t.record.began.UnixMilli())
		answer, status, err := t.post(next, "/-/Instances.Heartbeat/"+unreadable+fmt.Sprint(first), []byte(body))
		t.record.add("other writer %d: heartbeat of %s%d at %s: %d %v %s", first, unreadable, first, next, status, err, answer)
		if to := heartbeatAddr(answer); to != "" {
			next = to
		}
		time.Sleep(heartbeat)
	}
}

// drainTrial: the load and the disruption of case 5, with a worker that drains in place of the cancels.
func drainTrial(t *trial) error {
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
	if _, err := t.submitMany(r, 76, smallSubtasks); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	w := t.workers[0]
	t.mutex.Lock()
	w.state = "draining"
	w.seq += 100
	body, _ := json.Marshal(w.announcement())
	t.mutex.Unlock()
	acked := time.Duration(0)
	for i := 0; acked == 0 && i < 20; i++ {
		if _, status, _ := t.post(t.cluster.controls()[i%len(t.cluster.keepers)], "/-/Instances.Heartbeat/"+w.id, body); status == http.StatusOK {
			acked = t.record.now()
		}
	}
	t.record.say("%s is draining, acknowledged at %.3f s", w.id, acked.Seconds())
	time.Sleep(10 * time.Second)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, e := range t.events {
		if e.how == "start" && e.worker == w && e.at > acked+drainBound {
			t.record.breaks("DRAIN: %s starts on %s at %.3f s", e.task, w.id, e.at.Seconds())
		}
	}
	return nil
}

// idsTrial: two requesters of two queues and tenants choose the same id.
func idsTrial(t *trial) error {
	r, err := t.setUp(4)
	if err != nil {
		return err
	}
	other := &requester{fleet: t.fleet, queue: queueB, key: tenantB.key}
	id, otherID := "0000000000000007", "0000000000000007"
	if !t.trouble {
		otherID = "0000000000000008"
	}
	if status, _ := r.insist(http.MethodPost, id, jobBody(work{MS: 1000}, step{"count": 2, "cpu": 500, "memMb": 64, "estRuntimeMs": 1000}), 10*time.Second); status != http.StatusOK {
		return fmt.Errorf("the job of %s was answered %d", tenantA.name, status)
	}
	if status, _ := other.insist(http.MethodPost, otherID, jobBody(work{MS: 1500}, step{"count": 3, "cpu": 500, "memMb": 64, "estRuntimeMs": 1500}), 10*time.Second); status != http.StatusOK {
		return nil
	}
	time.Sleep(8 * time.Second)
	state := other.state(otherID)
	started := t.countEvents(isStart)
	t.record.say("the job of %s is shown as %s; %d starts for both jobs", tenantB.name, state, started)
	if state == "completed" && started < 5 {
		t.record.breaks("MIXED: %s%s was accepted and is shown as completed; its 3 subtasks have not run", queueB.prefix, otherID)
	}
	return nil
}

// startTrial: all keepers are killed 0.3 s after the first start and are back 0.9 s later, no longer told that it is the first start.
func startTrial(t *trial) error {
	if t.trouble {
		time.Sleep(300 * time.Millisecond)
		for _, k := range t.cluster.keepers {
			k.kill()
		}
		time.Sleep(900 * time.Millisecond)
		for _, k := range t.cluster.keepers {
			if err := k.start(); err != nil {
				return err
			}
		}
	}
	if !t.publish(configBody(1, []queue{queueA}, []customer{tenantA}, []string{queueA.service}), 30*time.Second) {
		t.record.breaks("no config is acknowledged within 30 s")
	}
	return nil
}

// longTrial: a subtask that takes longer than a hundred times the stall timeout.
func longTrial(t *trial) error {
	r, err := t.setUp(4)
	if err != nil {
		return err
	}
	if status, _ := r.insist(http.MethodPost, "5c0e7a2100000000", jobBody(work{MS: 240000}, step{"count": 2, "cpu": 500, "memMb": 64, "estRuntimeMs": 240000}), 5*time.Second); status != http.StatusOK {
		return fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(60 * time.Second)
	t.record.say("%d starts of 2 subtasks, %d stops", t.countEvents(isStart), t.countEvents(func(e *event) bool { return e.how == "stopped" }))
	return nil
}

// rackTrial: a gang that asks for one rack waits while each rack has a subtask that lasts.
func rackTrial(t *trial) error {
	r, err := t.setUp(8)
	if err != nil {
		return err
	}
	for i, rack := range []string{"r1-0", "r1-1"} {
		body := jobBody(work{Lasts: true}, step{"count": 1, "cpu": 10000, "memMb": 64, "longRunning": true, "requiredLabel": rack})
		if status, _ := r.insist(http.MethodPost, fmt.Sprintf("%016x", 0x5c0e7a2100000000+i), body, 5*time.Second); status != http.StatusOK {
			return fmt.Errorf("the job was answered %d", status)
		}
	}
	time.Sleep(2 * time.Second)
	id := "5c0e7a21000000aa"
	gang := jobBody(work{MS: 60000}, step{"count": 4, "cpu": 60000, "memMb": 64, "estRuntimeMs": 60000, "gang": true, "sameRack": true})
	if status, _ := r.insist(http.MethodPost, id, gang, 5*time.Second); status != http.StatusOK {
		return fmt.Errorf("the gang was answered %d", status)
	}
	at := t.record.now()
	err = t.await(70*time.Second, "the gang starts", func() bool {
		return t.countEvents(func(e *event) bool { return isStart(e) && strings.HasPrefix(e.task, id) }) > 0
	})
	t.record.say("the gang has waited for %s", t.record.now()-at)
	return err
}
