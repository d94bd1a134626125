package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Leader returns the keeper that is last known to lead, or an empty id.
func (f *Forwarder) Leader() fleet.EntryID {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader
}

// Ready reports whether a catalogue has been published and a leader was in contact within maxContactAge.
func (f *Forwarder) Ready() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ready && time.Since(f.lastContact) < maxContactAge
}

func (f *Forwarder) probeLoop() {
	for {
		if !f.recentContact() {
			f.findLeader()
		}
		interval := probeInterval
		if f.Leader() == "" {
			interval = searchInterval
		}
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// recentContact reports whether the leader has answered a call within probeInterval, so that there is no need for a probe.
func (f *Forwarder) recentContact() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ready && f.leader != "" && time.Since(f.lastContact) < probeInterval
}

// recordContact records an answer of the leader.
func (f *Forwarder) recordContact(keeper fleet.EntryID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.setLeaderLocked(keeper)
	f.lastContact = time.Now()
}

// setLeaderLocked sets the leader, or forgets it if the id is empty, and wakes the calls that wait for one.
func (f *Forwarder) setLeaderLocked(leader fleet.EntryID) {
	if f.leader == "" && leader != "" {
		close(f.found)
	}
	if f.leader != "" && leader == "" {
		f.found = make(chan struct{})
	}
	f.leader = leader
}

// findLeader probes the known leader, and all keepers if that one does not respond or no longer leads.
func (f *Forwarder) findLeader() {
	if leader := f.Leader(); leader != "" && f.probe(leader) {
		return
	}
	f.mutex.Lock()
	keepers := slices.Clone(f.keepers)
	f.mutex.Unlock()
	var calls sync.WaitGroup
	for _, k := range keepers {
		if k != f.self {
			calls.Go(func() { f.probe(k) })
		}
	}
	calls.Wait()
}

func (f *Forwarder) probe(keeper fleet.EntryID) bool {
	ctx, cancel := context.WithTimeout(f.ctx, probeTimeout)
	defer cancel()
	var status LeadershipStatus
	if err := f.transport.Call(ctx, keeper, TopicLeadership, true, &status); err != nil {
		return false
	}
	f.AddKeepers(status.Keepers)
	if !status.Leading {
		return false
	}
	f.mutex.Lock()
	changed := f.leader != keeper
	f.setLeaderLocked(keeper)
	f.lastContact = time.Now()
	f.ready = f.ready || status.Ready
	f.mutex.Unlock()
	if changed {
		event.LeaderFound.Info(f.logger, zap.String("leader", string(keeper)))
	}
	return true
}

// nextKeeper returns the keeper to call after previous: the leader unless that was previous, else the next keeper in turn.
func (f *Forwarder) nextKeeper(previous fleet.EntryID) fleet.EntryID {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.leader != "" && f.leader != previous {
		return f.leader
	}
	if len(f.keepers) == 0 {
		return ""
	}
	i := slices.Index(f.keepers, previous)
	for n := 1; n <= len(f.keepers); n++ {
		if k := f.keepers[(i+n+len(f.keepers))%len(f.keepers)]; k != f.self {
			return k
		}
	}
	return ""
}

func (f *Forwarder) setLeader(leader fleet.EntryID) {
	if leader == "" {
		return
	}
	f.AddKeepers([]fleet.EntryID{leader})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.setLeaderLocked(leader)
}

// clearLeader forgets a leader that did not respond, so that the other keepers are called and name the new one.
func (f *Forwarder) clearLeader(keeper fleet.EntryID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.leader == keeper {
		f.setLeaderLocked("")
	}
}

// leaderUnavailable reports whether retrying is futile: no leader was in contact within maxContactAge, and at least as many attempts
// failed as there are keepers.
func (f *Forwarder) leaderUnavailable(failedAttempts int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return failedAttempts >= max(1, len(f.keepers)) && time.Since(f.lastContact) > maxContactAge
}
