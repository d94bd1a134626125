package scheduler

import "fmt"

// describeKeptRoom says which room a batch stage does not use: instances that are reserved for others or too slow, and that away from its data.
func (s *Scheduler) describeKeptRoom(c candidate, pool poolSummary) string {
	if c.stage.step.Service {
		return ""
	}
	reserved, slow := 0, 0
	for _, in := range pool.schedulable {
		switch {
		case in.reservation != nil && in.reservation.stage != c.stage:
			reserved++
		case in.admits(c.stage) && s.tooSlow(in, &c):
			slow++
		}
	}
	text := ""
	if reserved > 0 {
		text += fmt.Sprintf(", %d are reserved for waiting tasks", reserved)
	}
	if slow > 0 {
		text += fmt.Sprintf(", %d are too slow for the job to be in time", slow)
	}
	if r := s.reservationOf(c.stage); r != nil {
		text += fmt.Sprintf("; %d instances are reserved for the task, first %s", len(r.instances), r.instances[0].ID)
	}
	if c.stage.rackWaitSince > 0 {
		text += fmt.Sprintf("; waiting for rack %q of its data since %s", c.stage.step.DataRack, rounded(s.now-c.stage.rackWaitSince))
	}
	return text
}
