package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Load and disruption of the cases of orders that wait: a share of the orders to workers gets no answer and is carried out late.
const (
	queueWorkers = 4
	queueTasks   = 480
	queueShare   = 0.5
	cancelBound  = 3 * time.Second
	drainBound   = 2 * time.Second
)

// setLate sets the share of the orders that all workers leave unanswered.
func (s *stage) setLate(share float64) {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	for _, x := range s.fleet.workers {
		x.lateShare = share
	}
	s.record.line("share of orders left unanswered: %.2f", share)
}

// playCancelled checks UNASKED: no machine in touch starts a subtask later than cancel_ms after the cancelling of its job was acknowledged.
// Orders that a worker carried out late don't count.
func playCancelled(s *stage) ([]string, error) {
	if err := s.begin(queueWorkers, 64000, route("r-main", mainPrefix)); err != nil {
		return nil, err
	}
	if s.trouble {
		s.setLate(queueShare)
	}
	id := newJobID()
	if !s.submit(mainPrefix, id, work{Millis: 20000}, step{Count: queueTasks, CPU: 400, MemMB: 200, EstRuntimeMS: 20000}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(200 * time.Millisecond)
	if !s.cancel(mainPrefix, id) {
		return nil, fmt.Errorf("the cancelling was not acknowledged")
	}
	acknowledgedAt := s.record.now()
	time.Sleep(5500 * time.Millisecond)
	s.setLate(0)
	time.Sleep(10 * time.Second)
	return s.startedAfter("UNASKED: the cancelling of the job was acknowledged", acknowledgedAt, cancelBound, func(x started) bool { return strings.HasPrefix(x.task, id) }), nil
}

// playDraining checks DRAIN: no machine in touch starts a subtask later than drainMs after a machine in touch acknowledged that the worker is
// draining. Orders that a worker carried out late don't count.
func playDraining(s *stage) ([]string, error) {
	if err := s.begin(queueWorkers, 64000, route("r-main", mainPrefix)); err != nil {
		return nil, err
	}
	if s.trouble {
		s.setLate(queueShare)
	}
	leaving := s.fleet.workers[1]
	var group sync.WaitGroup
	group.Go(func() {
		s.submit(mainPrefix, newJobID(), work{Millis: 3000}, step{Count: queueTasks, CPU: 400, MemMB: 200, EstRuntimeMS: 3000})
	})
	time.Sleep(200 * time.Millisecond)
	s.fleet.mutex.Lock()
	leaving.draining = true
	s.fleet.mutex.Unlock()
	time.Sleep(6500 * time.Millisecond)
	s.setLate(0)
	time.Sleep(9 * time.Second)
	group.Wait()
	s.fleet.mutex.Lock()
	acknowledgedAt := leaving.drainAckedAt
	s.fleet.mutex.Unlock()
	if acknowledgedAt == 0 {
		return nil, fmt.Errorf("the draining was not acknowledged")
	}
	return s.startedAfter("DRAIN: a keeper acknowledged that the worker is draining", acknowledgedAt, drainBound, func(x started) bool { return x.worker == leaving.id }), nil
}

// startedAfter returns a break if subtasks were started later than a bound after a time, but for orders that a worker carried out late.
func (s *stage) startedAfter(what string, since, bound time.Duration, counts func(started) bool) []string {
	n, last := 0, started{}
	for _, x := range s.seenStarts() {
		if counts(x) && !x.late && x.at > since+bound {
			n++
			last = x
		}
	}
	if n == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s at %.3f s; %d subtasks were started more than %.0f s after that, the last (%s run %d on %s) at %.3f s", what, since.Seconds(), n, bound.Seconds(), last.task, last.run, last.worker, last.at.Seconds())}
}
