package main

import (
	"fmt"
	"strings"
	"time"
)

// Load and disruption of the case: a job of subtasks that last, and workers that crash one at a time, each time the one that runs the first
// subtask of the job. They are silent for a moment and start again.
const (
	givenUpWorkers  = 8
	givenUpCrashes  = 18 // at most; until the job is shown as failed
	givenUpInterval = 3 * time.Second
	givenUpDown     = time.Second
	givenUpTasks    = 5
	givenUpMayMiss  = 1
	// heldBound is the time after a crash from which a subtask that lasts has to run again: the worker is silent for givenUpDown; then come
	// contactMs, the 4 s that have to be calm, and the 3 s of the rule. From 6 s after its last run the subtask counts in any case.
	heldBound = givenUpDown + (3+4+3)*time.Second
)

// playGivenUp checks LOST: the job is not shown as failed, since no run of it ends failed, and a subtask that lasts runs again once the crashes have
// paused; and AVAIL: no stop ends a subtask that is at work on a sound worker while as many others of its step as may be are away because of such
// stops. Nobody cancels the job.
func playGivenUp(s *stage) ([]string, error) {
	if err := s.begin(givenUpWorkers, 64000, route("r-main", mainPrefix)); err != nil {
		return nil, err
	}
	id := newJobID()
	if !s.submit(mainPrefix, id, work{Lasts: true}, step{Count: givenUpTasks, CPU: 4000, MemMB: 1000, LongRunning: true, MayMiss: givenUpMayMiss, MaxPerServer: 1}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	for n := range givenUpCrashes {
		if x := s.hostOf(id + ".0.0.0"); x != nil && s.trouble {
			x.crash()
			time.Sleep(givenUpDown)
			x.restart()
		} else {
			time.Sleep(givenUpDown)
		}
		time.Sleep(givenUpInterval - givenUpDown)
		if strings.Contains(s.state(n, mainPrefix, id), "failed") {
			break
		}
	}
	time.Sleep(2 * time.Second)
	state := s.state(0, mainPrefix, id)
	breaks := s.heldBack(id + ".0.0.0")
	if strings.Contains(state, "failed") {
		breaks = append(breaks, "LOST: no run of the job has ended failed, and it is shown as "+state)
	}
	stops := 0
	for _, e := range s.seenEnds() {
		if !strings.HasPrefix(e.task, id) || e.how != "stopped" || !e.atWork {
			continue
		}
		if stops >= givenUpMayMiss {
			breaks = append(breaks, fmt.Sprintf("AVAIL: %s run %d, which is at work on %s, is stopped at %.3f s; %d others of its step have been ended by a stop, and %d may be away",
				e.task, e.run, e.worker, e.at.Seconds(), stops, givenUpMayMiss))
		}
		stops++
	}
	return breaks, nil
}

// heldBack returns the times in which a subtask that lasts was not started again for too long, though no worker crashed meanwhile and all but its
// own subtasks left the workers idle.
func (s *stage) heldBack(task string) (breaks []string) {
	starts := s.seenStarts()
	for _, e := range s.seenEnds() {
		if e.task != task {
			continue
		}
		next := s.record.now()
		for _, x := range starts {
			if x.task == task && x.at > e.at {
				next = x.at
				break
			}
		}
		if next-e.at > heldBound {
			breaks = append(breaks, fmt.Sprintf("LOST: subtask %s, which lasts, ended at %.3f s and was not started again before %.3f s, though %d workers of %d were up and had room", task,
				e.at.Seconds(), next.Seconds(), givenUpWorkers, givenUpWorkers))
		}
	}
	return breaks
}

// hostOf returns the worker that runs a subtask, waiting for it for a moment.
func (s *stage) hostOf(task string) *worker {
	for range 150 {
		s.fleet.mutex.Lock()
		for _, x := range s.fleet.workers {
			if x.up && x.runs[task] != nil {
				s.fleet.mutex.Unlock()
				return x
			}
		}
		s.fleet.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
