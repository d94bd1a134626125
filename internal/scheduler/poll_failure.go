package scheduler

import (
	"cmp"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// HandlePollFailure records that a poll was not answered with a report. What the failure of a poll of an earlier boot or at an earlier address
// shows is out of date, but for a higher fencing token.
func (s *Scheduler) HandlePollFailure(now time.Duration, request PollRequest, outcome Outcome) {
	s.now = now
	if outcome == Fenced {
		s.superseded = true
	}
	in := s.instances.byID[request.Instance]
	if in == nil || !in.servedAt(request.Boot, request.Address) {
		return
	}
	in.failedPolls++
	in.failingSince = cmp.Or(in.failingSince, now)
	s.cordon(in)
	if outcome == Refused {
		s.markPending(in)
	}
	if outcome == Mismatched || outcome == Refused && in.departed {
		s.removeInstance(in, outcome.String(), in.lossByLaterBoot(workload.Instance{}))
	}
}

// servedAt reports whether the boot of the instance is the one that was known when a message was sent, at the address to which it was sent.
func (in *instance) servedAt(boot int64, address string) bool {
	return in.Boot == boot && in.Address == address
}
