package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Limits of requests to the policy service.
const (
	minAdviceInstances   = 3                      // the service needs time for each instance, and may exclude some of them
	maxAdviceInstances   = 20                     // the service accepts at most 100 instances in a request
	ticketValidityMargin = 0.8                    // fraction of a ticket's validity that is used; the rest covers delivery to the instance
	adviceRetryBackoff   = 250 * time.Millisecond // after a request without a response
)

// AdviceRequest asks the policy service which instances may run a step.
type AdviceRequest struct {
	// Step is the first task of the step.
	Step      workload.TaskID
	Instances []fleet.InstanceID
	boots     []int64
}

// advice holds the responses of the policy service for one step.
type advice struct {
	requested map[bootID]bool
	tickets   map[bootID]ticket
}

// bootID identifies one boot of an instance.
type bootID struct {
	instance    fleet.InstanceID
	startMillis int64
}

// ticket authorises starts of a step's tasks on one boot of an instance.
type ticket struct {
	value     string
	expiresAt time.Duration
}

func (in *instance) bootID() bootID { return bootID{in.ID, in.Boot} }

// advisedInstances returns the instances on which tasks of the stage may start: all of them, or on a queue with advice
// those with a valid ticket. If these have too little free capacity, it requests advice for more.
func (s *Scheduler) advisedInstances(c *candidate, instances []*instance) []*instance {
	if c.job.adviceConfig == nil {
		return instances
	}
	received := c.job.adviceOf(workload.NewPosition(c.occurrence, c.stage.stepIndex, 0))
	var withTicket []*instance
	for _, in := range instances {
		if t, ok := received.tickets[in.bootID()]; ok && s.now < t.expiresAt {
			withTicket = append(withTicket, in)
		}
	}
	s.requestAdvice(c, received, instances, withTicket)
	return withTicket
}

func (j *job) adviceOf(step workload.Position) *advice {
	if j.advice == nil {
		j.advice = map[workload.Position]*advice{}
	}
	if j.advice[step] == nil {
		j.advice[step] = &advice{requested: map[bootID]bool{}, tickets: map[bootID]ticket{}}
	}
	return j.advice[step]
}

// requestAdvice requests tickets for instances that have free capacity and no known response. The service handles one
// request at a time.
func (s *Scheduler) requestAdvice(c *candidate, received *advice, instances, withTicket []*instance) {
	if s.adviceInFlight || s.now < s.adviceBackoffUntil {
		return
	}
	missing := c.stage.waiting - placeableTasks(c.stage, withTicket)
	if missing <= 0 {
		return
	}
	request := AdviceRequest{Step: workload.TaskID{Job: c.job.ID, Position: workload.NewPosition(c.occurrence, c.stage.stepIndex, 0)}}
	for _, in := range instances {
		t, hasTicket := received.tickets[in.bootID()]
		unknown := !received.requested[in.bootID()] || hasTicket && s.now >= t.expiresAt
		if unknown && in.admits(c.stage) && len(request.Instances) < min(maxAdviceInstances, max(minAdviceInstances, missing)) {
			request.Instances = append(request.Instances, in.ID)
			request.boots = append(request.boots, in.Boot)
		}
	}
	if len(request.Instances) > 0 {
		s.adviceInFlight = true
		s.adviceRequests = append(s.adviceRequests, request)
	}
}

// placeableTasks returns how many tasks of the stage fit into the free capacity of the instances.
func placeableTasks(st *stage, instances []*instance) int {
	n := 0
	for _, in := range instances {
		free := in.free()
		for k := st.runCounts[in]; free.Fits(st.claim) && (st.step.MaxPerInstance == 0 || k < st.step.MaxPerInstance) && n < len(st.tasks); k++ {
			free = free.Sub(st.claim)
			n++
		}
	}
	return n
}

// TakeAdviceRequests returns the requests to the policy service made since the last call.
func (s *Scheduler) TakeAdviceRequests() []AdviceRequest {
	list := s.adviceRequests
	s.adviceRequests = nil
	return list
}

// HandleAdvice processes the response of the policy service: the tickets of the instances that may run the step.
// answered is false if there was no response.
func (s *Scheduler) HandleAdvice(now time.Duration, request AdviceRequest, tickets map[fleet.InstanceID]string, answered bool) {
	s.now = now
	s.adviceInFlight = false
	if !answered {
		s.adviceBackoffUntil = now + adviceRetryBackoff
		return
	}
	j := s.jobs[request.Step.Job]
	if j == nil {
		return
	}
	if j.adviceConfig == nil {
		return
	}
	received := j.adviceOf(request.Step.Position)
	for i, id := range request.Instances {
		k := bootID{id, request.boots[i]}
		received.requested[k] = true
		if value := tickets[id]; value != "" {
			received.tickets[k] = ticket{value: value, expiresAt: now + time.Duration(ticketValidityMargin*float64(j.adviceConfig.Validity))}
		}
	}
}

// ticketFor returns the ticket for starting a task of the job on an instance, or an empty string.
func (j *job) ticketFor(p workload.Position, in *instance) string {
	received := j.advice[workload.NewPosition(p.Occurrence(), p.Step(), 0)]
	if received == nil {
		return ""
	}
	return received.tickets[in.bootID()].value
}

// dropTicket discards the ticket of a rejected start, so that the advice is requested again.
func (j *job) dropTicket(p workload.Position, in *instance) {
	if received := j.advice[workload.NewPosition(p.Occurrence(), p.Step(), 0)]; received != nil {
		delete(received.tickets, in.bootID())
		delete(received.requested, in.bootID())
	}
}
