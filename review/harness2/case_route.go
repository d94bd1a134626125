package main

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of the deployment.
const (
	finish     = 14 * time.Second
	idleBound  = 3 * time.Second
	calmBefore = 4 * time.Second
	lastsBound = 6 * time.Second
)

// playRoute checks LOST: finish_s after the end of the traffic no job has nothing running for 3 s while a subtask's turn has come and there is
// room for it; and for a subtask that lasts that holds from 6 s after its last run.
//
// A config without the route of two accepted jobs is acknowledged. Then the leader is killed; it is back after a moment.
func playRoute(s *stage) ([]string, error) {
	kept, extra := route("r-main", mainPrefix), route("r-extra", extraPrefix)
	if err := s.begin(6, 64000, kept, extra); err != nil {
		return nil, err
	}
	batch, lasting := newJobID(), newJobID()
	if !s.submit(extraPrefix, batch, work{Millis: 4000}, step{Count: 2, CPU: 2000, MemMB: 500, EstRuntimeMS: 4000}, step{Count: 2, CPU: 2000, MemMB: 500, EstRuntimeMS: 4000, After: []int{0}}) ||
		!s.submit(extraPrefix, lasting, work{Lasts: true}, step{Count: 2, CPU: 2000, MemMB: 500, LongRunning: true, MayMiss: 1}) {
		return nil, fmt.Errorf("a job was not accepted")
	}
	time.Sleep(time.Second)
	if err := s.publish(2, kept); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		leader := s.system.leader()
		if leader == nil {
			return nil, fmt.Errorf("no leader")
		}
		leader.kill()
		time.Sleep(restartDelay)
		if err := leader.start(); err != nil {
			return nil, err
		}
	}
	trafficEnd := s.record.now()
	time.Sleep(7 * time.Second) // the core has been stable for longer than contactMs
	failedAt := s.failOne(lasting)
	time.Sleep(trafficEnd + finish + calmBefore + idleBound + time.Second - s.record.now())
	observedAt := s.record.now()
	var breaks []string
	if n := s.startsOf(batch+".0.1.", 0); n == 0 {
		breaks = append(breaks, fmt.Sprintf("LOST: job %s was accepted; the subtasks of its step 0 ended done, and at %.3f s, %.1f s after the end of the traffic, no subtask of step 1 has been started, though the workers are idle: %s",
			batch, observedAt.Seconds(), (observedAt-trafficEnd).Seconds(), s.describe(batch)))
	}
	if failedAt > 0 && s.startsOf(lasting+".", failedAt) == 0 && observedAt-failedAt > lastsBound+idleBound {
		breaks = append(breaks, fmt.Sprintf("LOST: a subtask of job %s, which lasts, ended at %.3f s and has not been started again by %.3f s, though the workers are idle: %s",
			lasting, failedAt.Seconds(), observedAt.Seconds(), s.describe(lasting)))
	}
	if failedAt == 0 {
		return breaks, fmt.Errorf("no subtask of the lasting job was found running")
	}
	// The route comes back, so that the requester can ask for the jobs again.
	if err := s.publish(3, kept, extra); err != nil {
		return breaks, err
	}
	time.Sleep(2 * time.Second)
	s.state(0, extraPrefix, batch)
	s.state(0, extraPrefix, lasting)
	s.record.line("after the route is back: %s; %s", s.describe(batch), s.describe(lasting))
	return breaks, nil
}

// failOne ends one subtask of a job that lasts, and returns when.
func (s *stage) failOne(job string) time.Duration {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	for _, x := range s.fleet.workers {
		if x.fail(job) {
			return s.record.now()
		}
	}
	return 0
}

// startsOf returns the number of starts of subtasks whose name begins with a prefix, later than a time.
func (s *stage) startsOf(prefix string, after time.Duration) (n int) {
	for _, x := range s.seenStarts() {
		if strings.HasPrefix(x.task, prefix) && x.at > after {
			n++
		}
	}
	return n
}

// describe lists the starts and ends of a job.
func (s *stage) describe(job string) string {
	var list []string
	for _, x := range s.seenStarts() {
		if strings.HasPrefix(x.task, job) {
			list = append(list, fmt.Sprintf("start %s at %.1f s", strings.TrimPrefix(x.task, job), x.at.Seconds()))
		}
	}
	for _, e := range s.seenEnds() {
		if strings.HasPrefix(e.task, job) {
			list = append(list, fmt.Sprintf("%s %s at %.1f s", e.how, strings.TrimPrefix(e.task, job), e.at.Seconds()))
		}
	}
	return strings.Join(list, ", ")
}
