package process

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/bootclock"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// maxFollowerLag is how many entries a keeper may lack to count as following; those that are down soon lack more.
const maxFollowerLag = 2048

// maxContactAge is how long after its last contact with a leader a keeper acknowledges announcements before the leader has them. An
// election takes up to two seconds; without the bound, a keeper that is cut off would keep the instances that announce themselves to it.
const maxContactAge = 3 * time.Second

// leaderWait is how long a new boot waits at a keeper that has lost the leader. A partition leaves the leader to other keepers, and a boot that
// is unknown to it serves nothing, so it should soon go to one of them; an election rarely ends sooner.
const leaderWait = 250 * time.Millisecond

// handling is what a keeper does with an announcement.
type handling uint8

const (
	// acknowledge answers at once: the committed state has all that the announcement says.
	acknowledge handling = iota + 1
	// collect answers at once and passes the announcement to the leader with others. The instance gets no work before it is enrolled, and
	// it announces itself again, so nothing is lost with the announcement but time.
	collect
	// collectAndWait answers once the leader has handled the announcement, with others.
	collectAndWait
	// collectBriefly is collectAndWait for leaderWait at most.
	collectBriefly
	// forward passes the announcement to the leader by itself: a later leader must know what it says before it is acknowledged.
	forward
)

// copyStatus is what a keeper knows from its copy of the committed state.
type copyStatus struct {
	// leased is set while the copy is at most a lease old, recent within maxContactAge after that, and starting if the process started since.
	leased, recent, starting bool
	// record is the enrolled boot of the instance, or nil.
	record *workload.Instance
}

// chooseHandling decides what to do with an announcement. repeats is set if the announcement before it said the same and was acknowledged
// here, so that no other keeper can have acknowledged anything else since.
//
// Without a lease the copy may lack what another keeper has acknowledged, so announcements wait for a leader, except for those that say nothing
// new and the first ones of a fleet that starts together with its keepers. They
// wait together: forwarded one by one, the announcements of thousands of instances take the processor time that an election needs.
func chooseHandling(c copyStatus, announced *workload.Instance, repeats bool) handling {
	unknown := c.record == nil || c.record.Boot < announced.Boot
	same := !unknown && c.record.SaysSame(announced)
	switch {
	case announced.Draining:
		return forward
	case c.leased && same, c.recent && same && repeats:
		return acknowledge
	case c.leased && unknown, c.starting && unknown && (repeats || announced.Sequence <= 1):
		return collect
	case unknown && (repeats || announced.Sequence <= 1):
		return collectBriefly
	case c.leased:
		return forward
	default:
		return collectAndWait
	}
}

// copyOf returns what this keeper knows of an instance.
func (p *Process) copyOf(id fleet.InstanceID) copyStatus {
	left, sinceStart := p.replicator.LeaseLeft(), bootclock.Now()-p.startedAt
	c := copyStatus{leased: left > 0, recent: max(left, -sinceStart) > -maxContactAge, starting: sinceStart < maxContactAge}
	p.replicator.View(func(s *state.State) {
		if record, enrolled := s.Workload.Enrolled[id]; enrolled {
			c.record = &record
		}
	})
	return c
}

// announce handles the announcement of an instance at a keeper.
func (p *Process) announce(ctx context.Context, request forwarder.Request) (response forwarder.Response, err error) {
	in := request.Instance
	response.Outcome = forwarder.Done
	switch chooseHandling(p.copyOf(in.ID), in, p.collector.Repeats(in)) {
	case acknowledge:
		p.collector.Acknowledge(in)
	case collect:
		err = p.collector.Add(in)
	case collectAndWait:
		err = p.collector.AddAndWait(ctx, in)
	case collectBriefly:
		ctx, cancel := context.WithTimeout(ctx, leaderWait)
		defer cancel()
		err = p.collector.AddAndWait(ctx, in)
	case forward:
		p.collector.Forget(in)
		if response, err = p.callAsKeeper(ctx, request); err == nil && !in.Draining {
			p.collector.Acknowledge(in)
		}
	}
	response.AnnounceTo = p.announcementKeeper(in.ID)
	return response, err
}

// deliverAnnouncements passes collected announcements to the leader. One of an earlier version knows no batches, and gets one call for each.
func (p *Process) deliverAnnouncements(ctx context.Context, batch []workload.Instance) error {
	return deliver(ctx, p.callAsKeeper, batch)
}

func deliver(ctx context.Context, call func(context.Context, forwarder.Request) (forwarder.Response, error), batch []workload.Instance) error {
	response, err := call(ctx, forwarder.Request{Operation: forwarder.AnnounceBatch, Instances: batch})
	if err != nil || response.Outcome != forwarder.Invalid {
		return err
	}
	for i := range batch {
		if _, err := call(ctx, forwarder.Request{Operation: forwarder.Announce, Instance: &batch[i]}); err != nil {
			return err
		}
	}
	return nil
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
