package sharer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/codec"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
)

const entries = 9

func announcement(n, sequence int, tasks int) fleet.Instance {
	i := fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("instance-%05d", n)), Address: "10.0.0.1:8000", DataCentre: "lowell-1", Rack: "rack-01", HomePool: "cure",
		Capacity: fleet.Resources{Processors: 64, Memory: 128 << 30, Slots: 8, Connections: 64}, BootID: "b0", Sequence: uint64(sequence), Condition: fleet.Ready,
	}
	for k := range tasks {
		i.Tasks = append(i.Tasks, fleet.Task{Attempt: fleet.AttemptID(fmt.Sprintf("%024d", k)), Customer: "quality-lab", Queue: "cure-check"})
	}
	return i
}

func entryIDs() []fleet.EntryID {
	var list []fleet.EntryID
	for i := range entries {
		list = append(list, fleet.EntryID(fmt.Sprintf("entry-%d", i)))
	}
	return list
}

// TestSharersConverge guards against entries that keep an outdated observation after exchanges were lost, duplicated or reordered and
// writers were restarted. After full exchanges every entry must hold the latest announcement of each instance.
func TestSharersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		var list []*sharer.Sharer
		boots := 0
		for i := range n {
			list = append(list, sharer.New(entryIDs()[i], fmt.Sprint("b", i)))
		}
		newest := map[fleet.InstanceID]uint64{}
		now := time.Second
		pick := func() int { return rapid.IntRange(0, n-1).Draw(t, "entry") }
		var deltas []sharer.Delta
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				now += 10 * time.Millisecond
				i := announcement(rapid.IntRange(0, 5).Draw(t, "instance"), int(now/time.Millisecond), rapid.IntRange(0, 1).Draw(t, "tasks"))
				newest[i.ID] = i.Sequence
				list[pick()].Announce(now, i)
			},
			"exchange": func(t *rapid.T) {
				a, b := pick(), pick()
				d := list[a].Delta(now, list[b].Vector())
				deltas = append(deltas, d)
				if rapid.Bool().Draw(t, "arrives") {
					list[b].Merge(now, d)
				}
			},
			"late delta": func(t *rapid.T) {
				if len(deltas) > 0 {
					list[pick()].Merge(now, deltas[rapid.IntRange(0, len(deltas)-1).Draw(t, "delta")])
				}
			},
			"restart": func(*rapid.T) {
				boots++
				i := pick()
				list[i] = sharer.New(entryIDs()[i], fmt.Sprint("again", boots))
			},
		})
		for _, id := range slices.Sorted(maps.Keys(newest)) {
			now += 10 * time.Millisecond
			newest[id] = uint64(now / time.Millisecond)
			i := announcement(0, int(newest[id]), 0)
			i.ID = id
			list[pick()].Announce(now, i)
		}
		for range n {
			for a := range n {
				for b := range n {
					list[b].Merge(now, list[a].Delta(now, list[b].Vector()))
				}
			}
		}
		for i, s := range list {
			for id, want := range newest {
				got, ok := s.Get(id)
				assert.Assert(t, ok && got.Instance.Sequence == want, "entry %d holds sequence %d of %s, want %d", i, got.Instance.Sequence, id, want)
			}
		}
	})
}

// BenchmarkSharing compares the exchange of deltas by version vector with the exchange of full states. Each entry requests from three
// peers every 400 ms, and a tenth of the announcements differ from the previous ones.
func BenchmarkSharing(b *testing.B) {
	for _, targets := range []int{50, 500, 5000} {
		for _, full := range []bool{false, true} {
			name := fmt.Sprintf("feeds/targets-%d", targets)
			if full {
				name = fmt.Sprintf("full/targets-%d", targets)
			}
			b.Run(name, func(b *testing.B) {
				for b.Loop() {
					bytes, stale := simulateSharing(targets, full)
					b.ReportMetric(bytes, "bytes/s/entry")
					b.ReportMetric(float64(stale.Milliseconds()), "stale-ms")
				}
			})
		}
	}
}

// simulateSharing runs 6 s on a virtual clock, the first half as warm-up, and returns the bytes that each entry sends per second and
// the mean age of the observations.
func simulateSharing(targets int, full bool) (float64, time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	encoder := codec.MustNew()
	var list []*sharer.Sharer
	for i, n := range entryIDs() {
		list = append(list, sharer.New(n, fmt.Sprint(i)))
	}
	sent, staleness, samples := 0, time.Duration(0), 0
	const span, round = 6 * time.Second, 400 * time.Millisecond
	for now := round; now <= span; now += round {
		for n := range targets {
			if (n*7+int(now/round))%2 == 0 {
				list[n%entries].Announce(now, announcement(n, int(now), rng.IntN(10)/9*rng.IntN(8)))
			}
		}
		for i, s := range list {
			var others []fleet.EntryID
			for k, o := range entryIDs() {
				if k != i {
					others = append(others, o)
				}
			}
			for _, peer := range sharer.SelectPeers(others, int(now/round), 3) {
				vector := s.Vector()
				if full {
					vector = sharer.Vector{}
				}
				d := list[indexOf(peer)].Delta(now, vector)
				encoded, _ := encoder.Encode(d)
				if now > span/2 {
					sent += len(encoded)
				}
				s.Merge(now, d)
			}
		}
		if now > span/2 {
			for _, s := range list {
				for _, observation := range s.All() {
					staleness += now - observation.LastSeen
					samples++
				}
			}
		}
	}
	return float64(sent) / (span / 2).Seconds() / entries, staleness / time.Duration(samples)
}

func indexOf(id fleet.EntryID) int {
	for i, n := range entryIDs() {
		if n == id {
			return i
		}
	}
	return 0
}
