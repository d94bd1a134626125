package replicator

import (
	"context"
	"errors"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/raft"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

func (r *Replicator) handleMessage(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var m raft.Message
	if err := messenger.Codec.Decode(payload, &m); err != nil {
		return nil, err
	}
	select {
	case r.messages <- m:
	default: // the queue is full; Raft retransmits lost messages
	}
	return nil, nil
}

func (r *Replicator) handleProposal(ctx context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var record []byte
	if err := messenger.Codec.Decode(payload, &record); err != nil {
		return nil, err
	}
	return r.proposeAsLeader(ctx, record), nil
}

// proposeAsLeader proposes a record at this member, which must be the leader.
func (r *Replicator) proposeAsLeader(ctx context.Context, record []byte) outcome {
	p := &proposal{record: record, reply: make(chan outcome, 1)}
	select {
	case r.inbox <- input{proposal: p}:
	case <-r.done:
		return outcome{Kind: KindNoLeader}
	case <-ctx.Done():
		return outcome{Kind: KindNoLeader}
	}
	select {
	case o := <-p.reply:
		return o
	case <-r.done:
		return outcome{Kind: KindUncertain}
	case <-ctx.Done():
		return outcome{Kind: KindUncertain}
	}
}

// Commit proposes a command at the leader and returns the result of applying it to the state.
//
// All commands are idempotent, so a proposal whose reply was lost is repeated until ctx ends, at most maxProposeAttempts times.
func (r *Replicator) Commit(ctx context.Context, c state.Command) (state.Reply, error) {
	record, err := state.Encode(c)
	if err != nil {
		return state.Reply{}, &Error{Op: "encode", Kind: KindNoLeader, Err: err}
	}
	kind := KindNoLeader
	for range maxProposeAttempts {
		o := r.tryCommit(ctx, record)
		if o.Kind == 0 {
			return o.Reply, o.Reply.Err()
		}
		if !o.Kind.notExecuted() {
			kind = KindUncertain
		}
		select {
		case <-ctx.Done():
			return state.Reply{}, &Error{Op: "commit", Kind: kind, Err: ctx.Err()}
		case <-r.done:
			return state.Reply{}, &Error{Op: "commit", Kind: kind, Err: errors.New("replicator stopped")}
		case <-time.After(proposeRetryInterval):
		}
	}
	return state.Reply{}, &Error{Op: "commit", Kind: kind}
}

func (r *Replicator) tryCommit(ctx context.Context, record []byte) outcome {
	leader := r.Status().Leader
	if leader == "" {
		return outcome{Kind: KindNoLeader}
	}
	if leader == r.options.Entry {
		return r.proposeAsLeader(ctx, record)
	}
	callCtx, cancel := context.WithTimeout(ctx, raft.DefaultElectionTimeout)
	defer cancel()
	var o outcome
	if err := r.options.Messenger.Call(callCtx, leader, topicPropose, record, &o); err != nil {
		return outcome{Kind: KindUncertain}
	}
	return o
}

// WaitApplied waits until this member has applied index or ctx ends.
func (r *Replicator) WaitApplied(ctx context.Context, index uint64) error {
	for {
		applied, changed := r.Applied()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &Error{Op: "wait", Kind: KindUncertain, Err: ctx.Err()}
		case <-r.done:
			return &Error{Op: "wait", Kind: KindClosed}
		}
	}
}

// CommitAll proposes commands at this member, which must be the leader, and waits for all of them.
//
// The commands are queued in order, without waiting for one another, and not retried. Replies and errors are in the order of
// the commands; a command that failed or whose outcome is unknown has an error. If ctx ends first, the commands stay queued and
// may be committed later, but before the commands of any later call: the inbox is a queue, handleInputs proposes in its order,
// and the log keeps that order within a term and across terms.
func (r *Replicator) CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error) {
	replies, errs := make([]state.Reply, len(commands)), make([]error, len(commands))
	proposals := make([]*proposal, len(commands))
	for i, c := range commands {
		record, err := state.Encode(c)
		if err != nil {
			errs[i] = &Error{Op: "encode", Kind: KindNoLeader, Err: err}
			continue
		}
		p := &proposal{record: record, reply: make(chan outcome, 1)}
		select {
		case r.inbox <- input{proposal: p}:
			proposals[i] = p
		case <-r.done:
			errs[i] = &Error{Op: "commit", Kind: KindClosed}
		}
	}
	for i, p := range proposals {
		if p == nil {
			continue
		}
		select {
		case o := <-p.reply:
			replies[i] = o.Reply
			if o.Kind != 0 {
				errs[i] = &Error{Op: "commit", Kind: o.Kind}
			} else {
				errs[i] = o.Reply.Err()
			}
		case <-ctx.Done():
			errs[i] = &Error{Op: "commit", Kind: KindUncertain, Err: ctx.Err()}
		case <-r.done:
			errs[i] = &Error{Op: "commit", Kind: KindUncertain}
		}
	}
	return replies, errs
}
