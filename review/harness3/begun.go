package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["begun"] = begun }

// begun has the starts of two of five subtasks that last get no answer. One is carried out 5 s later, and is at work when the stop that is repeated
// since then gets through.
func begun(w *world, trouble bool) {
	w.fleet()
	if !w.publish() {
		w.fail("the config was not acknowledged")
		return
	}
	time.Sleep(4 * time.Second)
	for n := range 3 {
		j := &job{id: fmt.Sprintf("%016x", 0xa0000000+n), queue: w.queues[0], tenant: w.tenants[0], spec: fmt.Sprintf("ledger %d", n),
			steps: []step{{Count: 5, CPU: 5400, Mem: 17000, EstMs: 900, Long: true, MayMiss: 1, MaxPer: 1, Image: "ledger"}}}
		var from time.Time
		unlock := w.lock()
		if trouble {
			w.holdOrder = func(path string, o order) time.Duration {
				if from.IsZero() && strings.HasPrefix(o.Task, j.id) {
					from = time.Now()
				}
				first, second := strings.HasPrefix(o.Task, j.id+".0.0.0"), strings.HasPrefix(o.Task, j.id+".0.0.1")
				switch {
				case !from.IsZero() && time.Since(from) > 5600*time.Millisecond || !first && !second:
					return 0
				case path == "/-/run-start" && first:
					return 5 * time.Second
				case path == "/-/run-start" || path == "/-/run-stop":
					return 11900 * time.Millisecond
				}
				return 0
			}
		}
		unlock()
		// Others keep the workers busy meanwhile: most orders are answered.
		for i := range 30 {
			o := &job{id: fmt.Sprintf("%016x", 0xb0000000+100*n+i), queue: w.queues[1], tenant: w.tenants[0], spec: "check", steps: []step{{Count: 6, CPU: 3500, Mem: 1500, Ms: 640, EstMs: 640}}}
			if i == 2 {
				w.submit(j, n)
			}
			w.submit(o, i)
			time.Sleep(180 * time.Millisecond)
		}
		time.Sleep(14 * time.Second)
		w.cancel(j)
	}
}
