package main

import (
	"context"
	"fmt"
	"time"
)

func init() { scenarios["next-boot"] = nextBoot }

// holdStart has a start reach the worker under an id after a delay, whichever life it has by then.
func (w *world) holdStart(k *worker, target string, o order, delay time.Duration) {
	w.held[o.Task] = true
	id := k.id
	w.note("DISRUPTION the start of %s run %d at %s gets no answer and is carried out %s later", o.Task, o.Run, id, delay)
	time.AfterFunc(delay, func() {
		defer w.lock()()
		for _, now := range w.workers {
			if now.id == id && !now.dead {
				w.carriedOutLate = true
				status, answer := now.carryOut(context.Background(), "/-/run-start", target, o)
				w.carriedOutLate = false
				w.note("the held start of %s run %d at %s is answered %d %v", o.Task, o.Run, id, status, answer["reason"])
			}
		}
	})
}

// nextBoot has the first start of a subtask arrive late, and its worker start again under its id once the system has given that start up.
func nextBoot(w *world, trouble bool) {
	w.fleet()
	if !w.publish() {
		w.fail("the config was not acknowledged")
		return
	}
	time.Sleep(4 * time.Second)
	for n := range 3 {
		unlock := w.lock()
		if trouble {
			w.holdStarts = 10 * time.Second
		}
		unlock()
		j := &job{id: fmt.Sprintf("%016x", 0xf0000000+n), queue: w.queues[1], tenant: w.tenants[0], spec: "long", steps: []step{{Count: 1, CPU: 8000, Mem: 4000, Ms: 16000, EstMs: 16000}}}
		w.submit(j, n)
		task := j.id + ".0.0.0"
		var first string
		for range 60 { // until the system has given the start up and begun the subtask elsewhere
			time.Sleep(50 * time.Millisecond)
			unlock := w.lock()
			live := w.taskOf(task).live
			if len(live) > 0 {
				first = live[0].on.id
			}
			unlock()
			if first != "" {
				break
			}
		}
		unlock = w.lock()
		w.holdStarts = 0
		unlock()
		time.Sleep(time.Second)
		unlock = w.lock()
		for _, k := range append([]*worker(nil), w.workers...) {
			if !k.dead && k.id != first && k.rejected[task] > 0 {
				m := k.machine
				w.note("DISRUPTION worker %s crashes and starts again under its id", k.id)
				k.die()
				time.AfterFunc(500*time.Millisecond, func() { defer w.lock()(); w.boot(k.id, k.address, m) })
			}
		}
		unlock()
		time.Sleep(17 * time.Second)
		w.inspect(j, n)
	}
}
