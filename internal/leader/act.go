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

// action is one request to the platform.
type action struct {
	instance fleet.InstanceID
	phase    state.Phase
}

func inPhases(s *state.State) []state.Assignment {
	var list []state.Assignment
	for _, a := range s.Instances {
		if a.Phase != state.Serving && a.Reason != state.ReasonMove {
			list = append(list, a)
		}
	}
	return list
}

// act asks the platform to drain and reboot the instances whose committed phase calls for it.
//
// An instance in these phases takes no new work and is verified empty before it reboots, so that a request
// to the platform that is repeated or comes late cuts nothing.
func (l *Leader) act(list []state.Assignment) {
	now := l.options.Clock()
	for _, a := range list {
		key := action{instance: a.Instance, phase: a.Phase}
		last, acted := l.acted[key]
		if a.Phase == state.Verifying || acted && now-last < rebootInterval {
			continue
		}
		l.acted[key] = now
		l.wait.Go(func() { l.actOn(a) })
	}
	for key, at := range l.acted {
		if now-at > rebootInterval {
			delete(l.acted, key)
		}
	}
}

func (l *Leader) actOn(a state.Assignment) {
	ctx, cancel := context.WithTimeout(l.ctx, rebootInterval)
	defer cancel()
	var err error
	if a.Phase == state.Rebooting {
		err = l.options.Platform.Reboot(ctx, a.Instance, a.BootID)
	} else {
		err = l.options.Platform.Drain(ctx, a.Instance)
		l.checkpoint(a)
	}
	if err != nil {
		event.StopCalledOff.Warn(l.options.Logger, zap.String("instance", string(a.Instance)), zap.String("reason", err.Error()))
	}
}

// checkpoint asks the tasks that keep an instance from being empty to save their progress.
func (l *Leader) checkpoint(a state.Assignment) {
	if time.Since(a.Since.Time()) < checkpointAfter {
		return
	}
	l.options.Sights.Read(func(known *sharer.Sharer) {
		seen, _ := known.Get(a.Instance)
		for _, task := range seen.Instance.Tasks {
			l.options.Presser.Press(seen.Instance.Address, task.Attempt, dispatcher.Checkpoint)
		}
	})
}

// unknownAfter is how often a target is asked about an orphaned attempt before its claim is settled as unknown.
const unknownAfter = 5

// resolve settles claims whose entry is gone, from what their targets say.
func (l *Leader) resolve(orphans []state.Claim) {
	for _, c := range orphans {
		if c.Attempt == "" && !c.Repeatable {
			continue
		}
		l.mutex.Lock()
		tries := l.resolved[c.Request]
		l.resolved[c.Request]++
		l.mutex.Unlock()
		if tries%10 != 0 {
			continue
		}
		l.wait.Go(func() { l.resolveOne(c, tries/10) })
	}
}

func (l *Leader) resolveOne(c state.Claim, tries int) {
	ctx, cancel := context.WithTimeout(l.ctx, resolveTimeout)
	defer cancel()
	settle, ok := state.SettleClaim{}, false
	if c.Attempt != "" {
		settle, ok = l.options.Fetcher.Outcome(ctx, c.Address, c.Attempt)
	}
	if !ok && (tries < unknownAfter && c.Attempt != "") {
		return
	}
	if !ok {
		settle = state.SettleClaim{Result: fleet.Unknown, Answer: []byte("the entry that carried the request was lost")}
	}
	settle.Key, settle.Request, settle.Attempt, settle.At = c.Key, c.Request, c.Attempt, state.TimestampOf(time.Now())
	settle.Instance, settle.Address = c.Instance, c.Address
	if _, errs := l.options.Replica.CommitAll(ctx, []state.Command{settle}); errs[0] != nil {
		return
	}
	l.mutex.Lock()
	delete(l.resolved, c.Request)
	l.mutex.Unlock()
	event.ClaimResolved.Info(l.options.Logger, zap.String("request", string(c.Request)), zap.String("attempt", string(c.Attempt)), zap.String("result", string(settle.Result)))
}
