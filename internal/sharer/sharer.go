// Package sharer replicates the announcements of targets among the entries by gossip.
//
// Each entry is the only writer of one append-only feed. A version vector holds the position up to which an entry has each feed, and
// an entry can pass on the feeds of other writers. The scheme of one feed per writer with a vector clock follows DEP-0008
// (Multi-Writer).
package sharer

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// ObservationRetention is how long the observation of an instance is kept after its last announcement.
const ObservationRetention = 10 * time.Minute

// Observation is the latest announcement of one instance that an entry has received.
type Observation struct {
	Instance fleet.Instance
	// LastSeen is the local clock value at the announcement.
	LastSeen time.Duration
	// Writer is the entry to which the target announced.
	Writer fleet.EntryID
}

// feedSlot is the latest announcement of one instance in a feed.
type feedSlot struct {
	number uint32
	// changedSeq is the feed position of the last announcement that was no repeat, latestSeq that of the last one of either kind.
	changedSeq  uint64
	latestSeq   uint64
	observation Observation
}

// feed is the local copy of the feed of one writer.
type feed struct {
	boot  string
	head  uint64
	slots map[fleet.InstanceID]*feedSlot
	order []fleet.InstanceID
}

// Sharer holds the feeds of all writers and the merged observations. It isn't safe for concurrent use.
type Sharer struct {
	self   fleet.EntryID
	feeds  *table.Table[fleet.EntryID, *feed]
	merged *table.Table[fleet.InstanceID, Observation]
}

// Position is the position up to which a feed is held, within one run of its writer.
type Position struct {
	Boot string `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

// Vector is the version vector of an entry: its position in each feed.
type Vector map[fleet.EntryID]Position

// Record is an announcement that differs from the previous one of the instance.
type Record struct {
	Slot     uint32         `cbor:"1,keyasint"`
	Age      time.Duration  `cbor:"2,keyasint"`
	Instance fleet.Instance `cbor:"3,keyasint"`
}

// Repeat is an announcement that differs from the previous one only in its sequence.
type Repeat struct {
	_    struct{} `cbor:",toarray"`
	Slot uint32
	// AgeMillis is the age of the announcement in milliseconds.
	AgeMillis uint32
	// Sequence is the sequence of the announcement; it orders it among the announcements that other entries received.
	Sequence uint64
}

// FeedDelta is the part of one feed after the position Since.
type FeedDelta struct {
	Writer   fleet.EntryID `cbor:"1,keyasint"`
	Position Position      `cbor:"2,keyasint"`
	Since    uint64        `cbor:"3,keyasint"`
	Records  []Record      `cbor:"4,keyasint,omitempty"`
	Repeats  []Repeat      `cbor:"5,keyasint,omitempty"`
}

// Delta is the response to a version vector: the missing part of each feed.
type Delta []FeedDelta

// New returns the sharer of an entry; boot identifies this run of the process.
func New(self fleet.EntryID, boot string) *Sharer {
	s := &Sharer{self: self, feeds: table.New[fleet.EntryID, *feed](), merged: table.New[fleet.InstanceID, Observation]()}
	s.feeds.Put(self, newFeed(boot))
	return s
}

func newFeed(boot string) *feed { return &feed{boot: boot, slots: map[fleet.InstanceID]*feedSlot{}} }

// Announce appends an announcement to the own feed; it reports whether the instance is new to the entry.
func (s *Sharer) Announce(now time.Duration, i fleet.Instance) (isNew bool) {
	_, known := s.merged.Get(i.ID)
	f, _ := s.feeds.Get(s.self)
	f.head++
	slot := f.slotFor(i.ID)
	if slot.changedSeq == 0 || !equalExceptSequence(slot.observation.Instance, i) {
		slot.changedSeq = f.head
	}
	slot.latestSeq = f.head
	slot.observation = Observation{Instance: i, LastSeen: now, Writer: s.self}
	s.merge(slot.observation)
	return !known
}

func (f *feed) slotFor(id fleet.InstanceID) *feedSlot {
	slot, ok := f.slots[id]
	if !ok {
		slot = &feedSlot{number: uint32(len(f.order))}
		f.slots[id] = slot
		f.order = append(f.order, id)
	}
	return slot
}

// equalExceptSequence reports whether two announcements are equal except for their sequence.
func equalExceptSequence(a, b fleet.Instance) bool {
	return a.Address == b.Address && a.DataCentre == b.DataCentre && a.Rack == b.Rack && a.HomePool == b.HomePool &&
		a.Capacity == b.Capacity && a.BootID == b.BootID && a.Condition == b.Condition && slices.Equal(a.Tasks, b.Tasks)
}

// merge keeps the newest observation of an instance across all feeds: by sequence within a boot, by time across boots.
func (s *Sharer) merge(observation Observation) {
	old, ok := s.merged.Get(observation.Instance.ID)
	if ok && old.Instance.BootID == observation.Instance.BootID && old.Instance.Sequence > observation.Instance.Sequence {
		return
	}
	if ok && old.Instance.BootID != observation.Instance.BootID && old.LastSeen > observation.LastSeen {
		return
	}
	if ok && old.Instance.Sequence == observation.Instance.Sequence && old.Instance.BootID == observation.Instance.BootID {
		observation.LastSeen = max(observation.LastSeen, old.LastSeen)
	}
	s.merged.Put(observation.Instance.ID, observation)
}

// Vector returns the version vector of this entry.
func (s *Sharer) Vector() Vector {
	v := Vector{}
	for id, f := range s.feeds.All() {
		v[id] = Position{Boot: f.boot, Seq: f.head}
	}
	return v
}

// Delta returns the parts of the feeds that the holder of a version vector lacks.
func (s *Sharer) Delta(now time.Duration, v Vector) Delta {
	var d Delta
	for id, f := range s.feeds.All() {
		position := v[id]
		since := position.Seq
		if position.Boot != f.boot {
			since = 0
		}
		if since >= f.head && position.Boot == f.boot {
			continue
		}
		d = append(d, f.deltaSince(now, id, since))
	}
	return d
}

func (f *feed) deltaSince(now time.Duration, writer fleet.EntryID, since uint64) FeedDelta {
	p := FeedDelta{Writer: writer, Position: Position{Boot: f.boot, Seq: f.head}, Since: since}
	for _, id := range f.order {
		slot := f.slots[id]
		switch {
		case slot.changedSeq > since:
			p.Records = append(p.Records, Record{Slot: slot.number, Age: now - slot.observation.LastSeen, Instance: slot.observation.Instance})
		case slot.latestSeq > since:
			p.Repeats = append(p.Repeats, Repeat{Slot: slot.number, AgeMillis: uint32((now - slot.observation.LastSeen).Milliseconds()), Sequence: slot.observation.Instance.Sequence})
		}
	}
	return p
}

// Merge applies a delta and returns the instances that are new to the entry; the own feed is skipped.
func (s *Sharer) Merge(now time.Duration, d Delta) (added []fleet.InstanceID) {
	for _, p := range d {
		if p.Writer == s.self {
			continue
		}
		added = append(added, s.mergeFeed(now, p)...)
	}
	return added
}

func (s *Sharer) mergeFeed(now time.Duration, p FeedDelta) (added []fleet.InstanceID) {
	f, ok := s.feeds.Get(p.Writer)
	if !ok || f.boot != p.Position.Boot {
		if p.Since != 0 {
			return nil
		}
		f = newFeed(p.Position.Boot)
		s.feeds.Put(p.Writer, f)
	}
	if p.Since > f.head || p.Position.Seq <= f.head {
		return nil
	}
	for _, r := range p.Records {
		if _, known := s.merged.Get(r.Instance.ID); !known {
			added = append(added, r.Instance.ID)
		}
		f.setRecord(p, r.Slot, r.Instance.ID, Observation{Instance: r.Instance, LastSeen: now - r.Age, Writer: p.Writer})
		s.merge(f.slots[r.Instance.ID].observation)
	}
	for _, t := range p.Repeats {
		s.mergeRepeat(now, f, p, t)
	}
	f.head = p.Position.Seq
	return added
}

func (f *feed) setRecord(p FeedDelta, number uint32, id fleet.InstanceID, observation Observation) {
	for uint32(len(f.order)) <= number {
		f.order = append(f.order, "")
	}
	f.order[number] = id
	f.slots[id] = &feedSlot{number: number, changedSeq: p.Position.Seq, latestSeq: p.Position.Seq, observation: observation}
}

func (s *Sharer) mergeRepeat(now time.Duration, f *feed, p FeedDelta, r Repeat) {
	if int(r.Slot) >= len(f.order) || f.order[r.Slot] == "" {
		return
	}
	slot := f.slots[f.order[r.Slot]]
	slot.latestSeq = p.Position.Seq
	lastSeen := now - time.Duration(r.AgeMillis)*time.Millisecond
	slot.observation.LastSeen = max(slot.observation.LastSeen, lastSeen)
	slot.observation.Instance.Sequence = max(slot.observation.Instance.Sequence, r.Sequence)
	s.merge(slot.observation)
}

// Get returns the observation of one instance.
func (s *Sharer) Get(id fleet.InstanceID) (Observation, bool) { return s.merged.Get(id) }

// All returns the observations of all instances, in order of their ids.
func (s *Sharer) All() []Observation {
	list := make([]Observation, 0, s.merged.Len())
	for _, observation := range s.merged.All() {
		list = append(list, observation)
	}
	return list
}

// EvictSilent removes the observations that are older than ObservationRetention.
func (s *Sharer) EvictSilent(now time.Duration) {
	for id, observation := range s.merged.All() {
		if now-observation.LastSeen > ObservationRetention {
			s.merged.Delete(id)
		}
	}
}

// SelectPeers returns the fanout peers to exchange with in a round; the selection rotates, so that every pair exchanges.
func SelectPeers(peers []fleet.EntryID, round, fanout int) []fleet.EntryID {
	list := slices.SortedFunc(slices.Values(peers), func(a, b fleet.EntryID) int { return cmp.Compare(a, b) })
	if len(list) <= fanout {
		return list
	}
	chosen := make([]fleet.EntryID, 0, fanout)
	for i := range fanout {
		chosen = append(chosen, list[(round*fanout+i)%len(list)])
	}
	return chosen
}
