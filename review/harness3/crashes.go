package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["given-up"] = givenUp
	scenarios["held-back"] = heldBack
}

// fleet adds the machines of a small deployment: two services of eight workers, and eight machines on standby. A rack holds four machines.
func (w *world) fleet() {
	w.pools = []string{"curing-svc", "qa-lab", "misc-ops"}
	for i := range 24 {
		w.addMachine(w.pools[i/8], zones[i%4], fmt.Sprintf("r%d-%d", i/8, i%8/4), amount{CPU: 64000, Mem: 131072})
	}
	w.queues = []*queue{
		{name: "lot-trace", host: "gaskets.example", prefix: "/lots/", service: "curing-svc", attempts: 2},
		{name: "cure-check", host: "gaskets.example", prefix: "/cures/", service: "curing-svc", attempts: 3},
		{name: "burst-report", host: "gaskets.example", prefix: "/bursts/", service: "qa-lab", attempts: 4},
	}
	w.tenants = []*tenant{{name: "plant", key: "plant-key"}}
	defer w.lock()()
	for _, m := range w.machines {
		w.newLife(m)
	}
}

// serving returns the workers of a service that run, the oldest first.
func (w *world) serving(service string) (list []*worker) {
	for _, k := range w.workers {
		if !k.dead && k.service == service {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return strings.Compare(a.machine.name, b.machine.name) })
	return list
}

// crash ends the worker of a machine for a time. In the dark its address stays silent.
func (w *world) crash(k *worker, down time.Duration, dark bool) {
	m := k.machine
	w.note("DISRUPTION worker %s in rack %s of %s crashes for %s", k.id, k.rack, k.service, down)
	k.dark = dark
	k.die()
	m.state = "down"
	time.AfterFunc(down, func() {
		defer w.lock()()
		w.newLife(m)
	})
}

// start publishes a config and hands in jobs with subtasks that last, and a stream of short jobs for a time.
func (w *world) begin(lasting int, stream time.Duration) (jobs []*job, wait func()) {
	w.fleet()
	if !w.publish() {
		w.fail("the config was not acknowledged")
		return nil, func() {}
	}
	time.Sleep(3 * time.Second)
	for n := range lasting {
		j := &job{id: fmt.Sprintf("%016x", 0xa0000000+n), queue: w.queues[0], tenant: w.tenants[0], spec: fmt.Sprintf("ledger %d", n),
			steps: []step{{Count: 5, CPU: 2000, Mem: 4000, EstMs: 900, Long: true, MayMiss: 1, Image: "ledger"}}}
		jobs = append(jobs, j)
		w.submit(j, n)
	}
	var others sync.WaitGroup
	interval := 350 * time.Millisecond
	for n := range int(stream / interval) {
		j := &job{id: fmt.Sprintf("%016x", 0xb0000000+n), queue: w.queues[1+n%2], tenant: w.tenants[0], spec: "check",
			steps: []step{{Count: 6, CPU: 3500, Mem: 5100, Ms: 640, EstMs: 640}}}
		jobs = append(jobs, j)
		others.Go(func() {
			time.Sleep(time.Duration(n) * interval)
			w.submit(j, n)
		})
	}
	time.Sleep(5 * time.Second)
	return jobs, others.Wait
}

// givenUp has one of the two racks of a service crash again and again for less than a second, and asks for all accepted jobs afterwards.
func givenUp(w *world, trouble bool) {
	jobs, wait := w.begin(8, 45*time.Second)
	draw := rand.New(rand.NewPCG(11, 1))
	for range 45 {
		unlock := w.lock()
		rack := fmt.Sprintf("r0-%d", draw.IntN(2))
		for _, k := range w.serving("curing-svc") {
			if trouble && k.rack == rack {
				w.crash(k, 700*time.Millisecond, true)
			}
		}
		unlock()
		time.Sleep(time.Second)
	}
	wait()
	time.Sleep(14 * time.Second) // finish_s
	for n, j := range jobs {
		if !j.acked.IsZero() {
			w.inspect(j, n)
		}
	}
}

// heldBack has the workers of a service crash one at a time, each for half a second. Once that is over, all subtasks that last have to run.
func heldBack(w *world, trouble bool) {
	jobs, wait := w.begin(8, 45*time.Second)
	draw := rand.New(rand.NewPCG(12, 1))
	for range 45 {
		unlock := w.lock()
		if list := w.serving("curing-svc"); trouble && len(list) > 1 {
			w.crash(list[draw.IntN(len(list))], 500*time.Millisecond, false)
		}
		unlock()
		time.Sleep(time.Second)
	}
	wait()
	time.Sleep(14 * time.Second) // finish_s
	for n, j := range jobs {
		if !j.acked.IsZero() {
			w.inspect(j, n)
		}
	}
	idle := map[string]time.Time{}
	broken := map[string]bool{}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		unlock := w.lock()
		for _, j := range jobs {
			if j.acked.IsZero() || !j.steps[0].Long || j.state == "failed" {
				continue
			}
			for i := range j.steps[0].Count {
				name := fmt.Sprintf("%s.0.0.%d", j.id, i)
				if len(w.taskOf(name).live) > 0 || !w.spacious(j) {
					delete(idle, name)
					continue
				}
				if idle[name].IsZero() {
					idle[name] = time.Now()
				}
				if time.Since(idle[name]) > 3*time.Second && !broken[name] {
					broken[name] = true
					w.violate("LOST", "%s could run for 3 s and doesn't, with room for it twice over", name)
				}
			}
		}
		unlock()
	}
}

// spacious reports whether a subtask of the first step of a job finds room twice over, with under half of its service in use.
func (w *world) spacious(j *job) bool {
	var total, used int64
	ready := w.serving(j.queue.service)
	for _, k := range ready {
		total += k.capacity.CPU
		used += k.used().CPU
	}
	return 2*used < total && fitsTwice(&j.steps[0], ready)
}
