package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["pending"] = pending }

// count asks an entry how many jobs of a queue are pending.
func (w *world) count(q *queue, n int) (status, pending int) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	headers := map[string]string{"Host": q.host, "Deadline-Ms": "3000", "Authorization": "Token " + w.tenants[0].key}
	status, text := call(client, http.MethodGet, "http://"+w.system.entries[n%entryCount].served+q.prefix, headers, nil)
	var a struct {
		Pending int `json:"pending"`
	}
	_ = json.Unmarshal(text, &a)
	return status, a.Pending
}

// pending has one worker of a service refuse all starts while the others are full, and asks how many jobs are pending.
func pending(w *world, trouble bool) {
	w.fleet()
	if !w.publish() {
		w.fail("the config was not acknowledged")
		return
	}
	time.Sleep(4 * time.Second)
	whole := func(n int, q *queue, count int) {
		w.submit(&job{id: fmt.Sprintf("%016x", 0xc0000000+n), queue: q, tenant: w.tenants[0], spec: "fill", steps: []step{{Count: count, CPU: 64000, Mem: 4000, Ms: 60000, EstMs: 60000, Checkpointing: true}}}, n)
	}
	whole(0, w.queues[2], 13)
	whole(1, w.queues[1], 13)
	time.Sleep(8 * time.Second)
	unlock := w.lock()
	free := 0
	for _, k := range w.workers {
		if !k.dead && len(k.runs) == 0 {
			free++
		}
	}
	w.note("%d workers are free", free)
	list := w.serving("curing-svc")
	grey := list[len(list)-1]
	m := grey.machine
	grey.die() // frees one worker, which comes back
	unlock()
	time.Sleep(time.Second)
	unlock = w.lock()
	w.newLife(m)
	if trouble {
		w.note("DISRUPTION worker %s refuses all starts with 503", m.worker.id)
		m.worker.refuses = true
	}
	unlock()
	var jobs []*job
	for n := range 16 {
		j := &job{id: fmt.Sprintf("%016x", 0xb0000000+n), queue: w.queues[1], tenant: w.tenants[0], spec: "check", steps: []step{{Count: 1, CPU: 3500, Mem: 1000, Ms: 640, EstMs: 640}}}
		jobs = append(jobs, j)
		w.submit(j, n)
	}
	for n := range 30 {
		time.Sleep(500 * time.Millisecond)
		unlock := w.lock()
		waiting := 0
		for _, j := range jobs {
			if !j.acked.IsZero() && time.Since(j.acked) > 5*time.Second && !j.started {
				waiting++
			}
		}
		unlock()
		status, shown := w.count(w.queues[1], n)
		unlock = w.lock()
		w.note("entry %d shows %d pending (%d); %d have not begun for 5 s", n%entryCount, shown, status, waiting)
		if status == http.StatusOK && 2*shown < waiting {
			w.violate("MIXED", "entry %d shows %d jobs as pending, and %d that were accepted over 5 s before have not begun", n%entryCount, shown, waiting)
		}
		unlock()
	}
}
