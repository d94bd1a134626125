package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// machine is a machine of the provider.
type machine struct {
	name, pool, zone, rack string
	capacity               amount
	state                  string
	worker                 *worker
	lives                  int
	upkeeps                map[int]bool
	holder                 string
	fence                  uint64
}

// wave is a wave of upkeep that the operator has ordered.
type wave struct {
	number   int
	machines []string
	max      int
	acked    time.Time
}

// addMachine adds a machine with a worker unless its pool is on standby.
func (w *world) addMachine(pool, zone, rack string, capacity amount) *machine {
	m := &machine{name: fmt.Sprintf("m-%04x", len(w.machines)+1), pool: pool, zone: zone, rack: rack, capacity: capacity, state: "up", upkeeps: map[int]bool{}}
	w.machines = append(w.machines, m)
	return m
}

// newLife starts the next worker of a machine.
func (w *world) newLife(m *machine) {
	if m.worker != nil && !m.worker.dead {
		return
	}
	m.state = "up"
	if m.pool == "standby" || m.pool == "misc-ops" || w.closed {
		return
	}
	m.lives++
	w.nextID++
	// Each life has an address of its own.
	w.boot(fmt.Sprintf("i-%s-%d", m.name, m.lives), fmt.Sprintf("127.8.%d.%d:%d", w.nextID/250, 1+w.nextID%250, w.workerPort), m)
}

func (w *world) machineOf(name string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return nil
	}
	return w.machines[i]
}

// serveCloud serves the provider and the advice on loopback ports.
func (w *world) serveCloud() (cloud, advice string, err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", w.listMachines)
	mux.HandleFunc("POST /-/machine-move", w.orderMachine)
	mux.HandleFunc("POST /-/machine-upkeep", w.orderMachine)
	mux.HandleFunc("POST /-/advise", w.advise)
	for _, address := range []*string{&cloud, &advice} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", "", err
		}
		*address = listener.Addr().String()
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(listener) }()
	}
	return cloud, advice, nil
}

func answer(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	text, _ := json.Marshal(v)
	_, _ = rw.Write(text)
}

func (w *world) listMachines(rw http.ResponseWriter, r *http.Request) {
	defer w.lock()()
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	to := min(len(w.machines), from+200)
	list := []map[string]any{}
	for _, m := range w.machines[from:to] {
		id := ""
		if m.worker != nil && !m.worker.dead {
			id = m.worker.id
		}
		list = append(list, map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": m.capacity, "id": id})
	}
	next := ""
	if to < len(w.machines) {
		next = strconv.Itoa(to)
	}
	answer(rw, http.StatusOK, map[string]any{"machines": list, "nextToken": next})
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int    `json:"wave"`
}

func (w *world) orderMachine(rw http.ResponseWriter, r *http.Request) {
	var o machineOrder
	_ = json.NewDecoder(r.Body).Decode(&o)
	holder := r.Header.Get("Lease-Holder")
	fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	upkeep := strings.HasSuffix(r.URL.Path, "upkeep")
	defer w.lock()()
	if w.cloudLate > 0 && rand.Float64() < w.cloudLate {
		delay := 2*time.Second + rand.N(10*time.Second)
		w.note("order %+v is left without an answer for %s", o, delay)
		time.AfterFunc(delay, func() {
			defer w.lock()()
			status, reason := w.carryOutMachineOrder(o, upkeep, holder, fence)
			w.note("order %+v is carried out late: %d %s", o, status, reason)
		})
		w.mutex.Unlock()
		<-r.Context().Done()
		w.mutex.Lock()
		panic(http.ErrAbortHandler)
	}
	status, reason := w.carryOutMachineOrder(o, upkeep, holder, fence)
	answer(rw, status, map[string]any{"reason": reason})
}

func (w *world) carryOutMachineOrder(o machineOrder, upkeep bool, holder string, fence uint64) (int, string) {
	m := w.machineOf(o.Machine)
	if m == nil {
		return http.StatusBadRequest, "machine"
	}
	if fence < m.fence {
		return http.StatusConflict, "fence"
	}
	if fence == m.fence && m.holder != "" && m.holder != holder {
		w.violate("ONE", "two holders %s and %s with one fence number %d for %s", m.holder, holder, fence, m.name)
	}
	m.fence, m.holder = fence, holder
	if upkeep {
		wv := w.waves[o.Wave]
		if wv == nil || !slices.Contains(wv.machines, m.name) {
			return http.StatusConflict, "wave"
		}
		if m.upkeeps[o.Wave] {
			return http.StatusOK, ""
		}
		if m.state != "up" || m.worker != nil && !m.worker.dead && m.worker.draining {
			return http.StatusConflict, "busy"
		}
		down := 0
		for _, name := range wv.machines {
			if w.machineOf(name).state == "upkeep" {
				down++
			}
		}
		if down >= wv.max {
			w.violate("LIMIT", "upkeep of %s begins while %d machines of wave %d are down", m.name, down, o.Wave)
		}
		m.upkeeps[o.Wave] = true
		w.note("upkeep of %s for wave %d begins", m.name, o.Wave)
		w.takeDown(m, "upkeep", upkeepTime)
		return http.StatusOK, ""
	}
	if m.pool == o.Pool {
		return http.StatusOK, ""
	}
	if m.state != "up" || m.worker != nil && !m.worker.dead && m.worker.draining {
		return http.StatusConflict, "busy"
	}
	w.note("machine %s moves from %s to %s", m.name, m.pool, o.Pool)
	m.pool = o.Pool
	w.takeDown(m, "moving", moveTime)
	return http.StatusOK, ""
}

// takeDown ends the worker of a machine and starts another later.
func (w *world) takeDown(m *machine, state string, down time.Duration) {
	m.state = state
	if m.worker != nil && !m.worker.dead {
		m.worker.die()
	}
	time.AfterFunc(down, func() {
		defer w.lock()()
		w.newLife(m)
	})
}

// advise says which workers may run a step: two of three by their ids.
func (w *world) advise(rw http.ResponseWriter, r *http.Request) {
	var m struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	_ = json.NewDecoder(r.Body).Decode(&m)
	time.Sleep(w.adviceTime + time.Duration(len(m.Workers))*5*time.Millisecond)
	defer w.lock()()
	good := [][]string{}
	for _, id := range m.Workers {
		i := slices.IndexFunc(w.workers, func(k *worker) bool { return k.id == id && !k.dead })
		if i < 0 {
			continue
		}
		n := 0
		for _, c := range m.Step + id {
			n += int(c)
		}
		if n%3 == 0 {
			continue
		}
		ticket := fmt.Sprintf("%s/%s/%d/%d", m.Step, id, w.workers[i].born, len(w.tickets))
		w.tickets[ticket] = time.Now().Add(w.validity)
		good = append(good, []string{id, ticket})
	}
	answer(rw, http.StatusOK, map[string]any{"good": good})
}

// openWave orders a wave until it is acknowledged.
func (w *world) openWave(wv *wave, durationS float64) {
	unlock := w.lock()
	w.waves[wv.number] = wv
	unlock()
	body, _ := json.Marshal(map[string]any{"wave": wv.number, "machines": wv.machines, "durationS": durationS, "maxCount": wv.max})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range 100 {
		status, _ := call(client, http.MethodPost, "http://"+w.system.keepers[n%keeperCount].served+"/-/wave-start", nil, body)
		if status == http.StatusOK {
			unlock := w.lock()
			wv.acked = time.Now()
			w.note("wave %d acknowledged", wv.number)
			unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// waveState reads the state of a wave and checks it.
func (w *world) waveState(wv *wave, n int) string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	_, text := call(client, http.MethodGet, fmt.Sprintf("http://%s/-/wave-get/%d", w.system.keepers[n%keeperCount].served, wv.number), nil, nil)
	var a struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &a)
	defer w.lock()()
	if a.State == "completed" {
		for _, name := range wv.machines {
			if !w.machineOf(name).upkeeps[wv.number] {
				w.violate("MIXED", "wave %d is completed, and %s has not begun", wv.number, name)
			}
		}
	}
	return a.State
}
