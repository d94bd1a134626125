package main

import (
	"fmt"
	"strings"
	"time"
)

// Load and disruption of the case: one worker of eight is lost in silence, while the others are full.
const (
	pendingWorkers = 8
	pendingJobs    = 4
	pendingDown    = 7 * time.Second
	visible        = 3 * time.Second
	pendingSlack   = 2 * time.Second
)

// playPending checks MIXED: no machine in touch gives as pending under half of the jobs that were accepted over visible_ms + 2 s before and
// have not begun.
func playPending(s *stage) ([]string, error) {
	if err := s.begin(pendingWorkers, 64000, route("r-main", mainPrefix)); err != nil {
		return nil, err
	}
	if !s.submit(mainPrefix, newJobID(), work{Millis: 40000}, step{Count: pendingWorkers - 1, CPU: 64000, MemMB: 1000, EstRuntimeMS: 40000}) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(3 * time.Second)
	free := s.freeWorker()
	if free == nil {
		return nil, fmt.Errorf("no worker is free")
	}
	if s.trouble {
		free.crash()
	}
	accepted := map[string]time.Duration{}
	for range pendingJobs {
		id := newJobID()
		if s.submit(mainPrefix, id, work{Millis: 500}, step{Count: 1, CPU: 4000, MemMB: 500, EstRuntimeMS: 500}) {
			accepted[id] = s.record.now()
		}
	}
	var breaks []string
	for until := s.record.now() + pendingDown - 500*time.Millisecond; s.record.now() < until; time.Sleep(200 * time.Millisecond) {
		if b := s.checkCount(accepted); b != "" {
			breaks = append(breaks, b)
		}
	}
	if s.trouble {
		free.restart()
	}
	time.Sleep(5 * time.Second)
	for id := range accepted {
		s.state(0, mainPrefix, id)
	}
	return breaks, nil
}

// freeWorker returns the worker that runs nothing.
func (s *stage) freeWorker() *worker {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	for _, x := range s.fleet.workers {
		if len(x.runs) == 0 {
			return x
		}
	}
	return nil
}

// checkCount asks all entries for the count of pending jobs, and returns a break if one gives under half of what it has to be.
func (s *stage) checkCount(accepted map[string]time.Duration) string {
	askedAt := s.record.now()
	for n := range entryCount {
		count, ok := s.pending(n, mainPrefix)
		waiting := 0
		for id, at := range accepted {
			if askedAt-at > visible+pendingSlack && !s.begun(id) {
				waiting++
			}
		}
		if ok && waiting > 0 && 2*count < waiting {
			return fmt.Sprintf("MIXED: entry %d gives %d as pending at %.3f s; %d jobs that were accepted over 5 s before have not begun", n, count, askedAt.Seconds(), waiting)
		}
	}
	return ""
}

// begun reports whether a worker has begun a subtask of a job.
func (s *stage) begun(id string) bool {
	for _, x := range s.seenStarts() {
		if strings.HasPrefix(x.task, id) {
			return true
		}
	}
	return false
}
