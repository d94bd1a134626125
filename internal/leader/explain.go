package leader

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/gateway"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	KindNotLeading Kind = iota + 1
	KindNotApplied
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "this process is not the leader", "the change has not been applied by every process yet"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

const (
	historyCapacity      = 4096
	appliedCheckInterval = 20 * time.Millisecond
)

// history is a ring buffer of the latest decisions. Once it is full, next is the index of the oldest one.
type history struct {
	mutex sync.Mutex
	ring  []gateway.Decision
	next  int
}

func newHistory() *history { return &history{} }

func (h *history) add(d gateway.Decision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.ring) < historyCapacity {
		h.ring = append(h.ring, d)
		return
	}
	h.ring[h.next] = d
	h.next = (h.next + 1) % historyCapacity
}

func (h *history) find(subject string) []gateway.Decision {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found []gateway.Decision
	for i := range h.ring {
		d := h.ring[(h.next+i)%len(h.ring)]
		if strings.Contains(d.Subject, subject) {
			found = append(found, d)
		}
	}
	return found
}

// stepEvent returns the log event, the subject and the log fields of a planner command. The event is zero for a command that is
// not logged.
func stepEvent(c state.Command) (event.Event, string, []zap.Field) {
	switch c := c.(type) {
	case state.AssignOwner:
		return event.OwnerAssigned, string(c.Pool), []zap.Field{zap.String("pool", string(c.Pool)), zap.String("entry", string(c.Entry)), zap.Uint64("epoch", c.Epoch)}
	case state.SetPermit:
		return event.PermitAllotted, fmt.Sprintf("%s %s", c.Customer, c.Pool), []zap.Field{zap.String("customer", string(c.Customer)), zap.String("pool", string(c.Pool)), zap.Int("granted", c.Granted), zap.Int("ceiling", c.Ceiling)}
	case state.AssignInstance:
		return event.InstanceAdopted, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance)), zap.String("pool", string(c.Pool))}
	case state.Disrupt:
		if c.Reason == state.ReasonMove {
			return event.MoveStarted, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance)), zap.String("to", string(c.Target))}
		}
		return event.StopStarted, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance))}
	case state.CompleteMove:
		return event.MoveCompleted, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance))}
	case state.AdvancePhase:
		return event.StopAdvanced, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance)), zap.String("phase", string(c.To))}
	case state.Restore:
		if c.Maintained {
			return event.StopCompleted, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance))}
		}
		return event.StopCancelled, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance))}
	case state.SetLost:
		if c.Lost {
			return event.InstanceLost, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance))}
		}
		return event.InstanceRecovered, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance))}
	case state.SetIsolated:
		if c.Isolated {
			return event.InstanceIsolated, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance))}
		}
		return event.InstanceReleased, string(c.Instance), []zap.Field{zap.String("instance", string(c.Instance))}
	case state.SettleClaim:
		return event.ClaimResolved, string(c.Request), []zap.Field{zap.String("request", string(c.Request)), zap.String("result", string(c.Result))}
	}
	return event.Event{}, "", nil
}

// recordStep logs a planner step and adds it to the history for explain; a refused step is only logged.
func (l *Leader) recordStep(step planner.Step, err error) {
	e, subject, fields := stepEvent(step.Command)
	if e.Number == 0 {
		return
	}
	reason := step.Reason
	if err != nil {
		event.CommandRefused.Info(l.options.Logger, zap.String("command", e.Name+" "+subject), zap.String("reason", err.Error()))
		return
	}
	e.Info(l.options.Logger, append(fields, zap.String("reason", reason))...)
	l.history.add(gateway.Decision{At: time.Now(), Event: e.Name, Subject: subject, Reason: reason})
}

// RecordDecision adds a decision of an owner to the history for explain.
func (l *Leader) RecordDecision(pool fleet.PoolID, d dispatcher.Decision) {
	names := map[dispatcher.DecisionKind]string{
		dispatcher.Placed: "task placed", dispatcher.Refused: "request refused", dispatcher.Preempted: "task over its share",
		dispatcher.Isolated: "instance isolated", dispatcher.Released: "instance released", dispatcher.Adopted: "task adopted", dispatcher.Ended: "task ended",
	}
	subject := fmt.Sprintf("%s %s %s %s %s", d.Request.ID, d.Request.Attempt, d.Request.Customer, d.Instance, pool)
	l.history.add(gateway.Decision{At: time.Now(), Event: names[d.Kind], Subject: subject, Reason: d.Reason})
}

// RecordDrain adds the drain or the resumption of a data centre to the history for explain, under its name and the pools with instances
// there, and logs it.
func (l *Leader) RecordDrain(name fleet.DataCentreID, drained bool, by string, index uint64) {
	e := event.DataCentreResumed
	if drained {
		e = event.DataCentreDrained
	}
	e.Info(l.options.Logger, zap.String("data-centre", string(name)), zap.String("by", by), zap.Uint64("index", index))
	subject := string(name)
	for _, pool := range l.poolsIn(name) {
		subject += " " + string(pool)
	}
	l.history.add(gateway.Decision{At: time.Now(), Event: e.Name, Subject: subject, Reason: fmt.Sprintf("data centre %s, requested by %s", name, by)})
}

// poolsIn returns the pools with instances in a data centre, in order of their names.
func (l *Leader) poolsIn(name fleet.DataCentreID) []fleet.PoolID {
	pools := map[fleet.PoolID]bool{}
	l.options.Replica.View(func(s *state.State) {
		for _, a := range s.Instances {
			if a.DataCentre == name {
				pools[a.Pool] = true
			}
		}
	})
	return slices.Sorted(maps.Keys(pools))
}

// Decisions returns the decisions of all processes whose subject contains the given text, oldest first. Processes that do not
// respond within explainTimeout are left out.
func (l *Leader) Decisions(subject string) []gateway.Decision {
	decisions := l.history.find(subject)
	ctx, cancel := context.WithTimeout(l.ctx, explainTimeout)
	defer cancel()
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, entry := range l.peers() {
		calls.Go(func() {
			var peerDecisions []gateway.Decision
			if l.options.Messenger.Call(ctx, entry, topicExplain, subject, &peerDecisions) != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			decisions = append(decisions, peerDecisions...)
		})
	}
	calls.Wait()
	slices.SortStableFunc(decisions, func(a, b gateway.Decision) int { return a.At.Compare(b.At) })
	return decisions
}

func (l *Leader) peers() []fleet.EntryID {
	var list []fleet.EntryID
	l.options.Replica.View(func(s *state.State) {
		for id := range s.Members {
			if id != l.options.Entry {
				list = append(list, id)
			}
		}
	})
	return list
}

func (l *Leader) handleExplain(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var subject string
	if err := messenger.Codec.Decode(payload, &subject); err != nil {
		return nil, err
	}
	return l.history.find(subject), nil
}

// WaitApplied returns once every process has applied the log index or its state lease has certainly expired. A process that does
// not lead forwards the call to the leader.
func (l *Leader) WaitApplied(ctx context.Context, index uint64) error {
	s := l.options.Replica.Status()
	if s.Leading {
		return l.waitAppliedAsLeader(ctx, index)
	}
	var done bool
	return l.options.Messenger.Call(ctx, s.Leader, topicWaitApplied, index, &done)
}

func (l *Leader) handleWaitApplied(ctx context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var index uint64
	if err := messenger.Codec.Decode(payload, &index); err != nil {
		return nil, err
	}
	return true, l.waitAppliedAsLeader(ctx, index)
}

func (l *Leader) waitAppliedAsLeader(ctx context.Context, index uint64) error {
	for {
		s := l.options.Replica.Status()
		if !s.Leading {
			return &Error{Op: "wait until applied", Kind: KindNotLeading}
		}
		if s.AppliedEverywhere(index, l.peers()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "wait until applied", Kind: KindNotApplied, Err: ctx.Err()}
		case <-time.After(appliedCheckInterval):
		}
	}
}

// ReadIndex returns a log index that covers all commands acknowledged before the call. A process that does not lead asks the leader.
func (l *Leader) ReadIndex(ctx context.Context) (uint64, error) {
	if index, err := l.readIndexAsLeader(); err == nil {
		return index, nil
	}
	var index uint64
	err := l.options.Messenger.Call(ctx, l.options.Replica.Status().Leader, topicReadIndex, true, &index)
	return index, err
}

func (l *Leader) handleReadIndex(context.Context, fleet.EntryID, []byte) (any, error) {
	return l.readIndexAsLeader()
}

// readIndexAsLeader returns the applied index of the leader: a command is acknowledged once the leader has applied it. The lease is checked
// afterwards, so that no later leader can have acknowledged a command before that.
func (l *Leader) readIndexAsLeader() (uint64, error) {
	index, _ := l.options.Replica.Applied()
	if _, ok := l.options.Replica.Leads(); !ok {
		return 0, &Error{Op: "read index", Kind: KindNotLeading}
	}
	return index, nil
}
