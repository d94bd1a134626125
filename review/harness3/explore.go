package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["explore"] = explore }

func explore(w *world, trouble bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	R := rand.New(rand.NewPCG(seed, 7))
	features := os.Getenv("FEATURES")
	faults := os.Getenv("FAULTS")
	has := func(list, what string) bool { return strings.Contains(list, what) }
	pools := []string{"p0", "p1", "standby"}
	w.pools = pools
	for i := range 24 {
		p := pools[min(2, i/9)]
		w.addMachine(p, zones[i%4], fmt.Sprintf("r%d-%d", i%4, i/8), amount{CPU: 16000, Mem: 32000})
	}
	w.queues = []*queue{
		{name: "q0", host: "a.example", prefix: "/q0/", service: "p0", attempts: 3},
		{name: "q1", host: "a.example", prefix: "/q1/x/", service: "p1", attempts: 2},
		{name: "q2", host: "b.example", prefix: "/q2/", service: "p0", attempts: 3, advice: true},
	}
	w.tenants = []*tenant{{name: "t0", key: "k0", limit: 0}, {name: "t1", key: "k1", limit: 120000}}
	unlock := w.lock()
	for _, m := range w.machines {
		w.newLife(m)
	}
	unlock()
	if !w.publish() {
		w.fail("no config")
		return
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var all []*job
	length := 30 * time.Second
	end := time.Now().Add(length)
	newJob := func(n int) *job {
		j := &job{id: fmt.Sprintf("%08x%08x", R.Uint32(), n), queue: w.queues[R.IntN(2)], tenant: w.tenants[R.IntN(2)], spec: fmt.Sprintf("spec %d", n)}
		steps := 1 + R.IntN(2)
		for i := range steps {
			s := step{Count: 1 + R.IntN(5), CPU: 1000 + R.Int64N(5000), Mem: 500, Ms: 300 + R.Int64N(2500)}
			s.EstMs = s.Ms
			if i > 0 {
				s.After = []int{i - 1}
			}
			if R.IntN(4) == 0 {
				s.MaxPer = 1
			}
			if R.IntN(10) == 0 {
				s.FailRuns = R.IntN(4)
			}
			if R.IntN(4) == 0 {
				s.Checkpointing, s.Ms = true, 5000
			}
			if has(features, "gang") && R.IntN(3) == 0 {
				s.Gang, s.SameRack, s.Count = true, R.IntN(2) == 0, 2+R.IntN(4)
			}
			if has(features, "label") && R.IntN(4) == 0 {
				s.Label = w.machines[R.IntN(8)].rack
			}
			j.steps = append(j.steps, s)
		}
		if has(features, "advice") && R.IntN(2) == 0 {
			j.queue = w.queues[2]
		}
		if has(features, "timed") && R.IntN(3) == 0 {
			j.times, j.startAt, j.interval = 1+R.IntN(4), time.Now().UnixMilli()+R.Int64N(6000), 500+R.Int64N(3000)
		}
		if has(features, "long") && R.IntN(6) == 0 {
			j.steps = []step{{Count: 3, CPU: 2000, Mem: 800, Long: true, EstMs: 900, MayMiss: 1, MaxPer: 1}}
		}
		return j
	}
	go func() {
		for n := 0; time.Now().Before(end); n++ {
			j := newJob(n)
			unlock := w.lock()
			all = append(all, j)
			unlock()
			wg.Go(func() {
				w.submit(j, n)
				if j.steps[0].Long || n%10 == 0 {
					time.Sleep(time.Duration(200+n%7*1000) * time.Millisecond)
					w.cancel(j)
				}
				for i := 0; time.Now().Before(end) && i < 4; i++ {
					time.Sleep(1500 * time.Millisecond)
					w.inspect(j, i)
				}
			})
			time.Sleep(time.Duration(250+R.IntN(350)) * time.Millisecond)
		}
	}()
	F := rand.New(rand.NewPCG(seed, 8))
	if has(features, "wave") {
		wg.Go(func() {
			time.Sleep(3 * time.Second)
			var names []string
			for i, m := range w.machines {
				if i%2 == 0 {
					names = append(names, m.name)
				}
			}
			wv := &wave{number: 1, machines: names, max: 2}
			w.openWave(wv, 25)
			for n := range 40 {
				w.waveState(wv, n)
				time.Sleep(time.Second)
			}
		})
	}
	for trouble && time.Now().Before(end.Add(-3*time.Second)) {
		time.Sleep(time.Duration(500+F.IntN(2500)) * time.Millisecond)
		kinds := strings.Split(faults, ",")
		kind := kinds[F.IntN(len(kinds))]
		hold := time.Duration(300+F.IntN(5000)) * time.Millisecond
		unlock := w.lock()
		w.note("FAULT %s for %s", kind, hold)
		unlock()
		switch kind {
		case "killleader", "stopleader", "termleader":
			p := w.system.leader()
			if p == nil {
				continue
			}
			switch kind {
			case "stopleader":
				p.signal(syscall.SIGSTOP)
				time.Sleep(hold)
				p.signal(syscall.SIGCONT)
			case "termleader":
				p.signal(syscall.SIGTERM)
				for p.runs() {
					time.Sleep(5 * time.Millisecond)
				}
				_ = w.system.start(p)
			default:
				p.kill()
				time.Sleep(hold)
				_ = w.system.start(p)
			}
		case "killall":
			for _, p := range w.system.keepers {
				p.kill()
			}
			time.Sleep(time.Second)
			for _, p := range w.system.keepers {
				_ = w.system.start(p)
			}
		case "late":
			unlock := w.lock()
			w.lateShare = 0.3
			unlock()
			time.Sleep(hold)
			unlock = w.lock()
			w.lateShare = 0
			unlock()
		case "cloudlate":
			unlock := w.lock()
			w.cloudLate = 0.5
			unlock()
			time.Sleep(hold)
			unlock = w.lock()
			w.cloudLate = 0
			unlock()
		case "crash", "restart", "mute", "drain":
			unlock := w.lock()
			var alive []*worker
			for _, k := range w.workers {
				if !k.dead && !k.draining {
					alive = append(alive, k)
				}
			}
			for range 2 {
				k := alive[F.IntN(len(alive))]
				if k.dead || k.draining {
					continue
				}
				w.note("FAULT %s of %s", kind, k.id)
				switch kind {
				case "mute":
					k.mute = time.Now().Add(hold)
				case "drain":
					m := k.machine
					k.drain(4 * time.Second)
					time.AfterFunc(6*time.Second, func() { defer w.lock()(); w.newLife(m) })
				case "crash":
					m := k.machine
					k.die()
					m.state = "down"
					time.AfterFunc(hold, func() { defer w.lock()(); w.newLife(m) })
				case "restart":
					m := k.machine
					id, address := k.id, k.address
					k.die()
					time.AfterFunc(hold/4, func() { defer w.lock()(); w.boot(id, address, m) })
				}
			}
			unlock()
		case "config":
			unlock := w.lock()
			q := w.queues[F.IntN(2)]
			q.service = pools[F.IntN(2)]
			unlock()
			w.publish()
		case "quota":
			unlock := w.lock()
			for _, t := range w.tenants {
				t.limit = max(t.limit, 1)
			}
			unlock()
		}
	}
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	deadline := time.Now().Add(40 * time.Second)
	open := map[string]*job{}
	for _, j := range all {
		if !j.acked.IsZero() && j.cancelled.IsZero() {
			open[j.id] = j
		}
	}
	for n := 0; len(open) > 0 && time.Now().Before(deadline); n++ {
		for id, j := range open {
			if _, s := w.inspect(j, n); s == "completed" || s == "failed" || s == "cancelled" {
				delete(open, id)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	stuck := map[string]int{}
	for range 12 {
		unlock := w.lock()
		for id, j := range open {
			if w.owed(j) {
				stuck[id]++
			}
		}
		unlock()
		time.Sleep(300 * time.Millisecond)
	}
	unlock = w.lock()
	defer unlock()
	for id, j := range open {
		if stuck[id] < 12 {
			w.note("UNFINISHED job %s is %s at the end (%d of 12)", id, j.state, stuck[id])
			fmt.Printf("unfinished %s %+v owed %d\n", id, j.steps, stuck[id])
			continue
		}
		w.violate("LOST", "job %s is %s at the end: %v; undone %s, gang %v advice %v", id, j.state, j.answers, w.undone(j), j.steps[0].Gang, j.queue.advice)
	}
	acked, refused := 0, 0
	for _, j := range all {
		rejected := len(j.answers) > 0
		for _, a := range j.answers {
			rejected = rejected && (a == 429 || a == 503 || a == 404 || a == 401 || a == 400)
		}
		if rejected {
			refused++
		}
		if rejected && j.started {
			w.violate("REFUSED", "job %s runs, and was refused: %v", j.id, j.answers)
		}
		if !j.acked.IsZero() {
			acked++
		}
	}
	alone := strings.Count(w.record.String(), ": alone")
	fmt.Printf("jobs %d acked %d refused %d starts %d alone %d\n", len(all), acked, refused, strings.Count(w.record.String(), " start "), alone)
}
