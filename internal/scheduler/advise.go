package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Limits of consultations of the policy service.
const (
	leastAsked   = 3                      // the answer costs time for each instance, and some may not run the step
	mostAsked    = 20                     // a call names at most a hundred
	adviceMargin = 0.8                    // of a ticket's validity, for the way to the instance
	advicePause  = 250 * time.Millisecond // after a call without an answer
)

// Consultation asks the policy service which instances may run a step.
type Consultation struct {
	// Step is the first task of the step.
	Step      workload.TaskID
	Instances []fleet.InstanceID
	boots     []int64
}

// advice is what the policy service has said of one step.
type advice struct {
	asked   map[boot]bool
	tickets map[boot]ticket
}

// boot names one boot of an instance.
type boot struct {
	id   fleet.InstanceID
	born int64
}

// ticket lets the tasks of a step start on one boot of an instance.
type ticket struct {
	value string
	until time.Duration
}

func (in *instance) boot() boot { return boot{in.ID, in.Boot} }

// advised returns the instances on which the stage may start: all of them, or on a queue with advice those with a
// ticket. It asks for more where these have too little room.
func (s *Scheduler) advised(c candidate, instances []*instance) []*instance {
	q, ok := s.catalogue.Named(c.job.queue)
	if !ok || q.Advice == nil {
		return instances
	}
	known := c.job.adviceOf(workload.At(c.round, c.stage.step, 0))
	var open []*instance
	for _, in := range instances {
		if t, ok := known.tickets[in.boot()]; ok && s.now < t.until {
			open = append(open, in)
		}
	}
	s.consult(c, known, instances, open)
	return open
}

func (j *job) adviceOf(step workload.Place) *advice {
	if j.advice == nil {
		j.advice = map[workload.Place]*advice{}
	}
	if j.advice[step] == nil {
		j.advice[step] = &advice{asked: map[boot]bool{}, tickets: map[boot]ticket{}}
	}
	return j.advice[step]
}

// consult asks for the instances that have room and of which nothing is known; the service takes one call at a time.
func (s *Scheduler) consult(c candidate, known *advice, instances, open []*instance) {
	if s.consulting || s.now < s.consultAfter {
		return
	}
	step := &c.job.Steps[c.stage.step]
	missing := c.waiting() - roomFor(c, step, open)
	if missing <= 0 {
		return
	}
	o := Consultation{Step: workload.TaskID{Job: c.job.ID, Place: workload.At(c.round, c.stage.step, 0)}}
	for _, in := range instances {
		t, good := known.tickets[in.boot()]
		unknown := !known.asked[in.boot()] || good && s.now >= t.until
		if unknown && in.admits(c, step) && len(o.Instances) < min(mostAsked, max(leastAsked, missing)) {
			o.Instances = append(o.Instances, in.ID)
			o.boots = append(o.boots, in.Boot)
		}
	}
	if len(o.Instances) > 0 {
		s.consulting = true
		s.consultations = append(s.consultations, o)
	}
}

// waiting counts the tasks of the stage that wait.
func (c *candidate) waiting() int {
	n := 0
	for i := range c.stage.tasks {
		if t := &c.stage.tasks[i]; !t.done && t.run == nil {
			n++
		}
	}
	return n
}

// roomFor counts the tasks of the step that have room on the instances now.
func roomFor(c candidate, step *workload.Step, instances []*instance) int {
	n := 0
	for _, in := range instances {
		room := in.free()
		for k := in.count(c); room.Fits(step.Claim()) && (step.PerInstance == 0 || k < step.PerInstance) && n < len(c.stage.tasks); k++ {
			room = room.Sub(step.Claim())
			n++
		}
	}
	return n
}

// Consultations returns the calls to the policy service made since the last call.
func (s *Scheduler) Consultations() []Consultation {
	list := s.consultations
	s.consultations = nil
	return list
}

// Advised takes the answer of the policy service: tickets of the instances that may run the step; answered is false when
// there was none.
func (s *Scheduler) Advised(now time.Duration, o Consultation, tickets map[fleet.InstanceID]string, answered bool) {
	s.now = now
	s.consulting = false
	if !answered {
		s.consultAfter = now + advicePause
		return
	}
	j := s.jobs[o.Step.Job]
	if j == nil {
		return
	}
	q, ok := s.catalogue.Named(j.queue)
	if !ok || q.Advice == nil {
		return
	}
	known := j.adviceOf(o.Step.Place)
	for i, id := range o.Instances {
		k := boot{id, o.boots[i]}
		known.asked[k] = true
		if value := tickets[id]; value != "" {
			known.tickets[k] = ticket{value: value, until: now + time.Duration(adviceMargin*float64(q.Advice.Validity))}
		}
	}
}

// ticketFor returns the ticket with which a task of the job starts on an instance.
func (j *job) ticketFor(p workload.Place, in *instance) string {
	known := j.advice[workload.At(p.Occurrence(), p.Step(), 0)]
	if known == nil {
		return ""
	}
	return known.tickets[in.boot()].value
}

// dropTicket forgets a ticket with which a start was refused, so that the service is asked again.
func (j *job) dropTicket(p workload.Place, in *instance) {
	if known := j.advice[workload.At(p.Occurrence(), p.Step(), 0)]; known != nil {
		delete(known.tickets, in.boot())
		delete(known.asked, in.boot())
	}
}
