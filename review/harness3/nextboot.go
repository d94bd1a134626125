package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() {
	scenarios["next-boot"] = nextBoot
	scenarios["late-poll"] = latePoll
}

// holdPoll has a poll that acknowledges ends carried out 2.5 to 11 s later, at whichever life the worker has by then: as soon as that has an end to list.
func (w *world) holdPoll(k *worker, target string, o order) {
	id, at := k.id, time.Now()
	w.holdPollOf = ""
	w.note("DISRUPTION a poll at %s that acknowledges ends up to %d gets no answer", id, o.AckCursor)
	go func() {
		for done := false; !done && time.Since(at) < 11*time.Second; time.Sleep(3 * time.Millisecond) {
			unlock := w.lock()
			for _, now := range w.workers {
				if now.id == id && !now.dead && time.Since(at) > 2500*time.Millisecond && now.endsNumber > now.listed {
					done = true
					o.WaitMs = 0
					listed := len(now.ends)
					now.carryOut(context.Background(), "/-/hold", target, o)
					w.note("the held poll is carried out at %s after %s, and forgets %d of its ends", id, time.Since(at).Round(time.Millisecond), listed-len(now.ends))
				}
			}
			unlock()
		}
	}()
}

// latePoll has a poll reach its worker seconds late, after the worker has started again under its id.
func latePoll(w *world, trouble bool) {
	w.fleet()
	if !w.publish() {
		w.fail("the config was not acknowledged")
		return
	}
	time.Sleep(4 * time.Second)
	var others sync.WaitGroup
	const interval, length = 40 * time.Millisecond, 46 * time.Second
	for n := range int(length / interval) {
		others.Go(func() {
			time.Sleep(time.Duration(n) * interval)
			w.submit(&job{id: fmt.Sprintf("%016x", 0xb0000000+n), queue: w.queues[1], tenant: w.tenants[0], spec: "check", steps: []step{{Count: 12, CPU: 3500, Mem: 1500, Ms: 300 + int64(n*37%700), EstMs: 640}}}, n)
		})
	}
	time.Sleep(12 * time.Second)
	for range 5 {
		unlock := w.lock()
		var busy *worker
		for _, k := range w.serving("curing-svc") {
			if busy == nil || k.endsNumber > busy.endsNumber {
				busy = k
			}
		}
		if trouble {
			w.holdPollOf = busy.id
		}
		unlock()
		time.Sleep(700 * time.Millisecond)
		unlock = w.lock()
		w.holdPollOf = ""
		if trouble && !busy.dead {
			w.note("DISRUPTION worker %s crashes and starts again under its id, it has ended %d runs", busy.id, busy.endsNumber)
			m := busy.machine
			busy.die()
			time.AfterFunc(300*time.Millisecond, func() { defer w.lock()(); w.boot(busy.id, busy.address, m) })
		}
		unlock()
		time.Sleep(6 * time.Second)
	}
	others.Wait()
}

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
