package process

import (
	"hash/fnv"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// maxFollowerLag is how many entries a keeper may lack to count as following; those that are down soon lack more.
const maxFollowerLag = 2048

// saysNothingNew reports whether the committed state, of which this keeper holds a leased copy, says all that an announcement says, so
// that this keeper may acknowledge it by itself. The leader learns nothing new from it, and learns from its own
// polls whether the instance responds.
func (p *Process) saysNothingNew(announced *workload.Instance) bool {
	if announced.Draining || !p.replicator.LeaseValid() {
		return false
	}
	known := false
	p.replicator.View(func(s *state.State) {
		record, enrolled := s.Workload.Enrolled[announced.ID]
		known = enrolled && record.SaysSame(announced)
	})
	return known
}

// announcementKeeper returns the keeper to which an instance sends its next announcements: this one, or another one if this one
// leads, since an announcement that says nothing new needs no leader.
func (p *Process) announcementKeeper(id fleet.InstanceID) fleet.EntryID {
	s := p.replicator.Status()
	if !s.Leading {
		return p.entryID()
	}
	return chooseKeeper(s, id)
}

// chooseKeeper spreads instances over the keepers that follow the leader.
func chooseKeeper(s replicator.Status, id fleet.InstanceID) fleet.EntryID {
	following := followers(s)
	if len(following) == 0 {
		return s.Entry
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return following[int(h.Sum32()%uint32(len(following)))]
}

// followers returns the keepers that follow this one, which leads, in the order of their ids.
func followers(s replicator.Status) []fleet.EntryID {
	var list []fleet.EntryID
	for _, peer := range s.Peers {
		if peer.Durable && peer.Match+maxFollowerLag >= s.Commit {
			list = append(list, peer.Entry)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// acknowledgeAnnouncement answers an announcement that says nothing new; ok is false for any other.
func (p *Process) acknowledgeAnnouncement(announced *workload.Instance) (response forwarder.Response, ok bool) {
	if !p.saysNothingNew(announced) {
		return forwarder.Response{}, false
	}
	return forwarder.Response{Outcome: forwarder.Done, AnnounceTo: p.announcementKeeper(announced.ID)}, true
}
