package main

import (
	"fmt"
	"time"
)

func init() { scenarios["drain"] = drainLate }

// drainLate has one worker say that it leaves while large jobs begin and half of the orders to workers get no answer.
func drainLate(w *world, trouble bool) {
	w.fleet()
	if !w.publish() {
		w.fail("the config was not acknowledged")
		return
	}
	time.Sleep(4 * time.Second)
	unlock := w.lock()
	if trouble {
		w.note("DISRUPTION half of the orders to workers get no answer and are carried out 2 to 12 s later")
		w.lateShare = 0.5
	}
	unlock()
	j := &job{id: fmt.Sprintf("%016x", 0xe0000000), queue: w.queues[1], tenant: w.tenants[0], spec: "large",
		steps: []step{{Count: 480, CPU: 900, Mem: 400, Ms: 20000, EstMs: 20000}}}
	w.submit(j, 0)
	time.Sleep(100 * time.Millisecond)
	unlock = w.lock()
	k := w.serving("curing-svc")[3]
	w.note("worker %s leaves", k.id)
	k.draining = true
	unlock()
	time.Sleep(5 * time.Second)
	unlock = w.lock()
	w.lateShare = 0
	unlock()
	time.Sleep(8 * time.Second)
}
