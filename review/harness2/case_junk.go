package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// otherWriter is the id in the heartbeat from another writer.
const otherWriter = "i-07her000"

// Load of the case.
const (
	junkWorkers = 8
	junkTasks   = 16
	junkMillis  = 12000
)

// playJunk checks TWICE after a heartbeat from another writer, in which fields are missing.
func playJunk(s *stage) ([]string, error) {
	if err := s.begin(junkWorkers, 64000, route("r-main", mainPrefix)); err != nil {
		return nil, err
	}
	id := newJobID()
	if !s.submit(mainPrefix, id, work{Millis: junkMillis}, step{Count: junkTasks, CPU: 16000, MemMB: 1000, EstRuntimeMS: junkMillis}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		x := s.hostOf(id + ".0.0.0")
		if x == nil {
			return nil, fmt.Errorf("subtask 0 does not run")
		}
		s.sendJunk(x)
	}
	time.Sleep(30 * time.Second)
	s.state(0, mainPrefix, id)
	return s.together(), nil
}

// sendJunk sends a heartbeat that another writer makes up for the address of a worker. It lacks zone, version, slots, warmupLeftMs, labels and
// machine.
func (s *stage) sendJunk(x *worker) {
	s.fleet.mutex.Lock()
	address, clock := x.front.address, x.clock().Milliseconds()
	s.fleet.mutex.Unlock()
	body, _ := json.Marshal(map[string]any{"service": serviceName, "address": address, "state": "ready", "capacity": map[string]any{"cpu": 64000, "memMb": 131072},
		"born": time.Now().UnixMilli(), "clockMs": clock, "seqNum": 1})
	status, answer := s.fleet.post("http://"+s.system.controlAddresses()[0]+"/-/Instances.Heartbeat/"+otherWriter, body)
	s.record.line("another writer sends a heartbeat of %s: %s: %d %s", otherWriter, body, status, answer)
}

// together returns the starts of subtasks while another run of them was running on a worker that is up, and those after a done end that was noted.
func (s *stage) together() (breaks []string) {
	breaks = s.doubled()
	ends := map[string]time.Duration{}
	for _, e := range s.seenEnds() {
		ends[fmt.Sprint(e.task, " ", e.run)] = e.at
	}
	starts := s.seenStarts()
	for i, a := range starts {
		endedAt, over := ends[fmt.Sprint(a.task, " ", a.run)]
		for _, b := range starts[i+1:] {
			if a.task == b.task && a.run != b.run && (!over || b.at < endedAt) {
				breaks = append(breaks, fmt.Sprintf("TWICE: %s run %d starts on %s at %.3f s while run %d works on %s, from %.3f s to %.3f s", a.task, b.run, b.worker, b.at.Seconds(),
					a.run, a.worker, a.at.Seconds(), endedAt.Seconds()))
			}
		}
	}
	return breaks
}
