package forwarder

import (
	"context"
	"math/rand/v2"
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
	searches := 0 // in vain, in a row
	for {
		switch {
		case f.contactWithin(probeInterval):
			searches = 0
		case f.checkLeader():
			searches = 0
		case f.search():
			searches = 0
		default:
			searches++
		}
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(jittered(f.probePause(searches))):
		}
	}
}

// probePause returns the pause before the next probe after a number of searches in vain, in a row.
func (f *Forwarder) probePause(searches int) time.Duration {
	if searches == 0 {
		return probeInterval
	}
	return min(searchInterval<<min(searches-1, 10), maxSearchPause)
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}

// contactWithin reports whether the leader has answered a call or probe within d, so that there is no need for a probe.
func (f *Forwarder) contactWithin(d time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ready && f.leader != "" && time.Since(f.lastContact) < d
}

// answeredSince reports whether a keeper is the leader and has answered a call or probe since a time.
func (f *Forwarder) answeredSince(keeper fleet.EntryID, since time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader == keeper && f.lastContact.After(since)
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

// checkLeader checks that the known leader leads: by a probe of another keeper, or of the leader itself if it has been silent for
// maxLeaderSilence. It returns false if a leader must be searched.
func (f *Forwarder) checkLeader() bool {
	leader := f.Leader()
	if leader == "" {
		return false
	}
	if !f.contactWithin(maxLeaderSilence) {
		_, leads := f.probe(leader)
		return leads
	}
	home := f.homeKeeper()
	if home == "" {
		return true
	}
	hint, leads := f.probe(home)
	if hint == "" && !leads {
		f.leaveHome()
	}
	if hint != "" && hint != leader {
		f.probe(hint)
	}
	return true
}

// homeKeeper returns the keeper that is probed in place of the leader, or an empty id if there is no other one.
func (f *Forwarder) homeKeeper() fleet.EntryID {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.home == "" || f.home == f.leader || !slices.Contains(f.keepers, f.home) {
		f.home = ""
		if others := f.othersLocked(f.leader); len(others) > 0 {
			f.home = others[0]
		}
	}
	return f.home
}

// leaveHome chooses another keeper next time.
func (f *Forwarder) leaveHome() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.home = ""
}

// othersLocked returns the other keepers but one, in random order.
func (f *Forwarder) othersLocked(except fleet.EntryID) []fleet.EntryID {
	list := slices.DeleteFunc(slices.Clone(f.keepers), func(k fleet.EntryID) bool { return k == f.self || k == except })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// search probes searchWidth keepers, and the leaders that they name. Every keeper of the group knows the leader within a heartbeat of its election.
// It reports whether one of them leads.
func (f *Forwarder) search() (found bool) {
	f.mutex.Lock()
	keepers := f.othersLocked("")
	f.mutex.Unlock()
	answers := make(chan fleet.EntryID, searchWidth)
	var probes sync.WaitGroup
	for _, k := range keepers[:min(searchWidth, len(keepers))] {
		probes.Go(func() {
			hint, leads := f.probe(k)
			if leads {
				hint = f.self // no other keeper is to be asked
			}
			answers <- hint
		})
	}
	probes.Wait()
	close(answers)
	asked := map[fleet.EntryID]bool{"": true}
	for hint := range answers {
		if hint == f.self {
			found = true
		} else if !asked[hint] {
			asked[hint] = true
			_, leads := f.probe(hint)
			found = found || leads
		}
	}
	return found
}

// probe asks a keeper whether it leads, and returns the leader that it names.
func (f *Forwarder) probe(keeper fleet.EntryID) (hint fleet.EntryID, leads bool) {
	ctx, cancel := context.WithTimeout(f.ctx, probeTimeout)
	defer cancel()
	var status LeadershipStatus
	if err := f.transport.Call(ctx, keeper, TopicLeadership, true, &status); err != nil {
		return "", false
	}
	f.AddKeepers(status.Keepers)
	if !status.Leading {
		return status.Leader, false
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
	return keeper, true
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
