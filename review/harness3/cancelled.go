package main

import (
	"fmt"
	"time"
)

func init() { scenarios["cancelled"] = cancelled }

// cancelled hands in large jobs while a share of the orders to workers gets no answer, and cancels each as soon as it is acknowledged.
func cancelled(w *world, trouble bool) {
	w.fleet()
	if !w.publish() {
		w.fail("the config was not acknowledged")
		return
	}
	time.Sleep(4 * time.Second)
	for n := range 3 {
		unlock := w.lock()
		if trouble {
			w.note("DISRUPTION half of the orders to workers get no answer and are carried out 2 to 12 s later")
			w.lateShare = 0.5
		}
		unlock()
		j := &job{id: fmt.Sprintf("%016x", 0xe0000000+n), queue: w.queues[1], tenant: w.tenants[0], spec: "large",
			steps: []step{{Count: 480, CPU: 900, Mem: 400, Ms: 20000, EstMs: 20000}}}
		w.submit(j, n)
		time.Sleep(100 * time.Millisecond)
		w.cancel(j)
		time.Sleep(5 * time.Second)
		unlock = w.lock()
		w.lateShare = 0
		unlock()
		time.Sleep(14 * time.Second)
	}
}
