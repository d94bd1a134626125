package leader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// platformAction identifies a request to the platform: the instance and the phase that requires it.
type platformAction struct {
	instance fleet.InstanceID
	phase    state.Phase
}

// disruptedInstances returns the assignments in a phase of a planned stop; instances that move are left out.
func disruptedInstances(s *state.State) []state.Assignment {
	var list []state.Assignment
	for _, a := range s.Instances {
		if a.Phase != state.Serving && a.Reason != state.ReasonMove {
			list = append(list, a)
		}
	}
	return list
}

// requestPlatformActions asks the platform to drain and reboot the instances whose committed phase requires it.
//
// An instance in these phases gets no new tasks and is verified to be empty before it reboots, so that a repeated or late request
// to the platform interrupts no task.
func (l *Leader) requestPlatformActions(assignments []state.Assignment) {
	now := l.options.Clock()
	for _, a := range assignments {
		key := platformAction{instance: a.Instance, phase: a.Phase}
		lastRequest, requested := l.lastRequested[key]
		if a.Phase == state.Verifying || requested && now-lastRequest < platformRetryInterval {
			continue
		}
		l.lastRequested[key] = now
		l.goroutines.Go(func() { l.requestPlatformAction(a) })
	}
	for key, requestedAt := range l.lastRequested {
		if now-requestedAt > platformRetryInterval {
			delete(l.lastRequested, key)
		}
	}
}

func (l *Leader) requestPlatformAction(a state.Assignment) {
	ctx, cancel := context.WithTimeout(l.ctx, platformRetryInterval)
	defer cancel()
	var err error
	if a.Phase == state.Rebooting {
		err = l.options.Platform.Reboot(ctx, a.Instance, a.BootID)
	} else {
		err = l.options.Platform.Drain(ctx, a.Instance)
		l.checkpointTasks(a)
	}
	if err != nil {
		event.StopCancelled.Warn(l.options.Logger, zap.String("instance", string(a.Instance)), zap.String("reason", err.Error()))
	}
}

// checkpointTasks asks the tasks that still run on an instance checkpointAfter into its drain to save their progress.
func (l *Leader) checkpointTasks(assignment state.Assignment) {
	if time.Since(assignment.Since.Time()) < checkpointAfter {
		return
	}
	l.options.Announcements.Read(func(announced *sharer.Sharer) {
		observation, _ := announced.Get(assignment.Instance)
		for _, task := range observation.Instance.Tasks {
			l.options.ActionSender.SendAction(observation.Instance.Address, task.Attempt, dispatcher.Checkpoint)
		}
	})
}

// maxOutcomeQueries is the number of unsuccessful queries of a target after which a further one settles an orphaned claim as
// unknown.
const maxOutcomeQueries = 5

// resolveOrphans settles the claims whose entry is gone, from the outcomes that their targets report. It runs on every tick and
// queries each target on every tenth.
func (l *Leader) resolveOrphans(orphans []state.Claim) {
	for _, c := range orphans {
		if c.Attempt == "" && !c.Repeatable {
			continue
		}
		l.mutex.Lock()
		ticks := l.resolveTicks[c.Request]
		l.resolveTicks[c.Request]++
		l.mutex.Unlock()
		if ticks%10 != 0 {
			continue
		}
		l.goroutines.Go(func() { l.resolveOrphan(c, ticks/10) })
	}
}

func (l *Leader) resolveOrphan(c state.Claim, queries int) {
	ctx, cancel := context.WithTimeout(l.ctx, resolveTimeout)
	defer cancel()
	settlement, ok := state.SettleClaim{}, false
	if c.Attempt != "" {
		settlement, ok = l.options.OutcomeFetcher.Outcome(ctx, c.Address, c.Attempt)
	}
	if !ok && (queries < maxOutcomeQueries && c.Attempt != "") {
		return
	}
	if !ok {
		settlement = state.SettleClaim{Result: fleet.Unknown, Answer: []byte("the entry that carried the request was lost")}
	}
	settlement.Key, settlement.Request, settlement.Attempt, settlement.At = c.Key, c.Request, c.Attempt, state.TimestampOf(time.Now())
	settlement.Instance, settlement.Address = c.Instance, c.Address
	if _, errs := l.options.Replica.CommitAll(ctx, []state.Command{settlement}); errs[0] != nil {
		return
	}
	l.mutex.Lock()
	delete(l.resolveTicks, c.Request)
	l.mutex.Unlock()
	event.ClaimResolved.Info(l.options.Logger, zap.String("request", string(c.Request)), zap.String("attempt", string(c.Attempt)), zap.String("result", string(settlement.Result)))
}
