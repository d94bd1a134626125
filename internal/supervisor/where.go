package supervisor

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

const (
	// maxExplanationBytes bounds an explanation, whose rows are limited, but not the names in them.
	maxExplanationBytes = 64 << 10
	// explanationRetryAfter is when an operator may ask again if another explanation is under way; one takes some milliseconds.
	explanationRetryAfter = time.Second
)

// explainPlacement explains where the tasks of a job would be placed now. The scheduler is only read, by one request at a time.
func (t *term) explainPlacement(ctx context.Context, request forwarder.Request) forwarder.Response {
	if !t.explaining.CompareAndSwap(false, true) {
		return forwarder.Response{Outcome: forwarder.Refused, Detail: "another placement is being explained", RetryAfter: explanationRetryAfter}
	}
	defer t.explaining.Store(false)
	var placement scheduler.Placement
	var known bool
	if !t.postAndWait(ctx, func() {
		t.skipPlan()
		if request.Queue != "" {
			placement, known = t.scheduler.Where(*request.Job, request.Queue, request.Customer)
		} else {
			placement, known = t.scheduler.WhereWaiting(request.Job.ID)
		}
	}) {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	switch {
	case !known && request.Queue != "":
		return forwarder.Response{Outcome: forwarder.UnknownQueue, Detail: fmt.Sprintf("queue %q does not exist", request.Queue)}
	case !known:
		return forwarder.Response{Outcome: forwarder.UnknownJob, Detail: fmt.Sprintf("job %q is not known, or nothing of it is left", request.Job.ID)}
	}
	text, err := json.Marshal(placement)
	if err != nil || len(text) > maxExplanationBytes {
		return forwarder.Response{Outcome: forwarder.Invalid, Detail: fmt.Sprintf("an explanation of %d bytes is too large", len(text))}
	}
	return forwarder.Response{Outcome: forwarder.Done, Source: text}
}
