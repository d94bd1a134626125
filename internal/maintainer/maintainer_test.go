package maintainer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/maintainer"
)

// names returns the machines of candidates by index.
func names(v maintainer.View, indices []int) string {
	var list []string
	for _, i := range indices {
		list = append(list, v.Candidates[i].Machine)
	}
	return strings.Join(list, " ")
}

// TestOrderOfMachines guards against a wave that takes machines from a pool at its peak while others cost nothing, and against one that
// waits with these. Load: one pool has three instances to spare, one has none and one needs five more.
func TestOrderOfMachines(t *testing.T) {
	candidates := []maintainer.Candidate{
		{Machine: "peak-idle", Pool: "peak", Empty: true},
		{Machine: "peak-soon", Pool: "peak", BatchLeft: 100 * time.Millisecond},
		{Machine: "even-idle", Pool: "even", Empty: true},
		{Machine: "even-late", Pool: "even", BatchLeft: 3 * time.Second},
		{Machine: "even-soon", Pool: "even", BatchLeft: time.Second},
		{Machine: "spare-busy", Pool: "spare", BatchLeft: 2 * time.Second},
		{Machine: "spare-idle", Pool: "spare", Empty: true},
		{Machine: "drained", Pool: "peak", Drained: true, Empty: true},
		{Machine: "standby", Pool: "off", Standby: true, Empty: true},
		{Machine: "unreachable", Pool: "spare", Doubtful: true, Empty: true},
		{Machine: "moving", Pool: "spare", Obstacle: maintainer.Moving},
	}
	surplus := map[fleet.PoolID]int{"peak": -5, "even": 0, "spare": 3}
	m := maintainer.New(0, 20*time.Second, 1)
	var order []string
	now := time.Duration(0)
	for ; len(order) < 10; now += 100 * time.Millisecond {
		assert.Assert(t, now < time.Minute, "begun: %v", order)
		v := maintainer.View{Now: now, Total: len(candidates) + len(order), Begun: len(order), Candidates: candidates, Surplus: surplus, StandbySurplus: 1}
		plan := m.Plan(v)
		for _, i := range plan.Evacuate {
			candidates[i].Evacuating = true
		}
		for i := range candidates {
			if c := &candidates[i]; c.Evacuating && !c.Empty {
				c.BatchLeft -= 100 * time.Millisecond
				c.Empty = c.BatchLeft <= 0
			}
		}
		if len(plan.Maintain) > 0 {
			order = append(order, candidates[plan.Maintain[0]].Machine)
			candidates = slices.Delete(candidates, plan.Maintain[0], plan.Maintain[0]+1)
		}
	}
	assert.Equal(t, strings.Join(order[:3], " "), "standby drained spare-idle")
	position := func(name string) int { return slices.Index(order, name) }
	assert.Assert(t, position("even-idle") < position("even-soon"), "%v", order)
	assert.Assert(t, position("even-soon") < position("even-late"), "%v", order)
	assert.Assert(t, position("even-soon") < position("peak-soon"), "%v", order)
	assert.Equal(t, order[9], "unreachable", "%v", order)
	assert.Assert(t, now <= 20*time.Second, "done after %s", now)
}

// TestStandbyIsKeptForRisingLoad guards against a wave that takes the machines on standby at the moment in which pools call them: in a rise all 64
// places went to them, and the pool waited for 2 s longer. Load: 40 machines on standby, of which all are about to be called for 5 s, and 16 after that.
func TestStandbyIsKeptForRisingLoad(t *testing.T) {
	m := maintainer.New(0, 20*time.Second, 20)
	var candidates []maintainer.Candidate
	for i := range 40 {
		candidates = append(candidates, maintainer.Candidate{Machine: fmt.Sprintf("m-%02d", i), Standby: true, Empty: true})
	}
	var back []time.Duration
	begun := 0
	for now := time.Duration(0); begun < 40; now += 50 * time.Millisecond {
		assert.Assert(t, now < 9*time.Second, "%d begun 4 s after the rise", begun)
		back = slices.DeleteFunc(back, func(b time.Duration) bool { return b <= now })
		called := 16
		if now < 5*time.Second {
			called = 40
		}
		v := maintainer.View{Now: now, Total: 40, Begun: begun, Down: len(back), Candidates: candidates, StandbySurplus: 40 - len(back) - called}
		plan := m.Plan(v)
		for _, i := range slices.Backward(plan.Maintain) {
			candidates = slices.Delete(candidates, i, i+1)
			back = append(back, now+2*time.Second)
			begun++
		}
		assert.Assert(t, now >= 5*time.Second || len(back) <= 10, "%d of 40 machines are away after %s", len(back), now)
	}
}

// TestBusyMachinesOfDrainedDataCentresGoBeforeOthers guards against a wave that takes machines on which work could start while those of a drained
// data centre, which get none, wait because their pool is at its peak. They are no part of the surplus of their pool either.
func TestBusyMachinesOfDrainedDataCentresGoBeforeOthers(t *testing.T) {
	v := maintainer.View{Total: 4, Surplus: map[fleet.PoolID]int{"peak": -5, "spare": 1}, Candidates: []maintainer.Candidate{
		{Machine: "other", Pool: "even", BatchLeft: 2 * time.Second},
		{Machine: "spare", Pool: "spare", Empty: true},
		{Machine: "drained-peak", Pool: "peak", Drained: true, BatchLeft: 2 * time.Second},
		{Machine: "drained-spare", Pool: "spare", Drained: true, Empty: true},
	}}
	plan := maintainer.New(0, 20*time.Second, 3).Plan(v)
	assert.Equal(t, names(v, plan.Maintain), "drained-spare spare")
	plan, v.Begun, v.Candidates = maintainer.Plan{}, 2, []maintainer.Candidate{v.Candidates[0], v.Candidates[2]}
	for m := maintainer.New(0, 40*time.Second, 1); len(plan.Evacuate) == 0 && v.Now < 40*time.Second; v.Now += 100 * time.Millisecond {
		plan = m.Plan(v)
	}
	assert.Equal(t, names(v, plan.Evacuate), "drained-peak", "after %s", v.Now)
}

// TestPlacesBoundOrders guards against an order that takes more machines down than the wave allows, also when an unanswered order is
// repeated, and against a machine that waits for a place although it has one.
func TestPlacesBoundOrders(t *testing.T) {
	idle := func(name string) maintainer.Candidate {
		return maintainer.Candidate{Machine: name, Pool: "p", Empty: true}
	}
	unanswered := idle("unanswered")
	unanswered.HoldsPlace, unanswered.Evacuating = true, true
	for _, tc := range []struct {
		down       int
		candidates []maintainer.Candidate
		want       string
	}{
		{0, []maintainer.Candidate{idle("a"), idle("b"), idle("c"), idle("d")}, "a b c"},
		{2, []maintainer.Candidate{idle("a"), idle("b")}, "a"},
		{3, []maintainer.Candidate{idle("a"), idle("b")}, ""},
		{5, []maintainer.Candidate{idle("a"), idle("b")}, ""},
		{3, []maintainer.Candidate{idle("a"), unanswered}, "unanswered"},
		{2, []maintainer.Candidate{idle("a"), idle("b"), unanswered}, "a unanswered"},
	} {
		v := maintainer.View{Total: 20, Down: tc.down, Candidates: tc.candidates, Surplus: map[fleet.PoolID]int{"p": 9}}
		plan := maintainer.New(0, 20*time.Second, 3).Plan(v)
		slices.Sort(plan.Maintain)
		assert.Equal(t, names(v, plan.Maintain), tc.want, "%d down", tc.down)
	}
}

// TestEvacuationBeginsAheadOfTime guards against machines that are emptied only when their places are free, so that places stay unused.
// Load: every machine of a pool at its peak runs tasks that take two, four or eight seconds to end, 40 machines in 20 s.
func TestEvacuationBeginsAheadOfTime(t *testing.T) {
	for _, busy := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		t.Run(busy.String(), func(t *testing.T) {
			evacuating, done := map[int]time.Duration{}, map[int]time.Duration{}
			const machines, places, round = 40, 6, 2300 * time.Millisecond
			m := maintainer.New(0, 20*time.Second, places)
			now := time.Duration(0)
			for ; len(done) < machines && now < 30*time.Second; now += 100 * time.Millisecond {
				v := maintainer.View{Now: now, Total: machines, Begun: len(done), Surplus: map[fleet.PoolID]int{"p": -3}}
				for _, at := range done {
					if now-at < round {
						v.Down++
					}
				}
				for i := range machines {
					if _, begun := done[i]; begun {
						continue
					}
					c := maintainer.Candidate{Machine: fmt.Sprint(i), Pool: "p", BatchLeft: busy}
					if since, ok := evacuating[i]; ok {
						c.Evacuating, c.BatchLeft, c.Empty = true, max(0, busy-(now-since)), now-since >= busy
					}
					v.Candidates = append(v.Candidates, c)
				}
				plan := m.Plan(v)
				for _, i := range plan.Evacuate {
					index := 0
					fmt.Sscan(v.Candidates[i].Machine, &index)
					evacuating[index] = now
				}
				for _, i := range plan.Maintain {
					index := 0
					fmt.Sscan(v.Candidates[i].Machine, &index)
					done[index] = now
				}
			}
			assert.Equal(t, len(done), machines)
			assert.Assert(t, now <= busy+round*machines/places+round, "done after %s", now)
		})
	}
}

// TestHurryOnlyWhenTimeIsShort guards against tasks that are stopped although they end in time, and against machines that are late because
// their tasks are not stopped.
func TestHurryOnlyWhenTimeIsShort(t *testing.T) {
	for _, tc := range []struct {
		name           string
		now, batchLeft time.Duration
		machines       int // to be begun, of which one is looked at
		want           bool
	}{
		{"ends in time", 5 * time.Second, 10 * time.Second, 1, false},
		{"ends too late", 5 * time.Second, 14 * time.Second, 1, true},
		{"others need the places after it", 5 * time.Second, 10 * time.Second, 12, true},
		{"others have time after it", 5 * time.Second, 5 * time.Second, 12, false},
		{"after the limit", 25 * time.Second, 100 * time.Millisecond, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := maintainer.View{Now: tc.now, Total: tc.machines, Surplus: map[fleet.PoolID]int{}}
			v.Candidates = append(v.Candidates, maintainer.Candidate{Machine: "0", Pool: "p", Evacuating: true, BatchLeft: tc.batchLeft})
			plan := maintainer.New(0, 20*time.Second, 3).Plan(v)
			assert.Equal(t, len(plan.Hurry) > 0, tc.want)
		})
	}
}

// TestStepsAreEmptiedOneAfterTheOther guards against two machines that wait for each other because a step has tasks on both, and against a
// step whose tasks are all on machines of the wave and leave too late. Load: with whole racks in a wave, twelve tasks of a step of which
// one may be unavailable are on six machines.
func TestStepsAreEmptiedOneAfterTheOther(t *testing.T) {
	var candidates []maintainer.Candidate
	for i := range 6 {
		c := maintainer.Candidate{Machine: fmt.Sprint("step-", i), Pool: "p"}
		c.AddServiceTask(1, 1)
		c.AddServiceTask(1, 1)
		candidates = append(candidates, c)
	}
	free := maintainer.Candidate{Machine: "other", Pool: "p", BatchLeft: time.Second}
	free.AddServiceTask(2, 3)
	candidates = append(candidates, free)
	v := maintainer.View{Total: 40, Candidates: candidates, Surplus: map[fleet.PoolID]int{}}
	m := maintainer.New(0, 25*time.Second, 6)
	plan := m.Plan(v)
	assert.Equal(t, names(v, plan.Evacuate), "other step-0", "at the begin of the wave")
	v.Candidates[0].Evacuating = true
	assert.Equal(t, names(v, m.Plan(v).Evacuate), "other", "while the first machine is being emptied")
	v.Candidates[0].ServiceTasks = nil
	assert.Equal(t, names(v, m.Plan(v).Evacuate), "other step-1", "once no task is left there")
}

// TestObstructionsNameTheReason guards against a wave that is late without a reason that operators can see.
func TestObstructionsNameTheReason(t *testing.T) {
	relocating := maintainer.Candidate{Machine: "relocating", Evacuating: true}
	for range 9 {
		relocating.AddServiceTask(1, 1)
	}
	v := maintainer.View{Now: 10 * time.Second, Total: 9, Candidates: []maintainer.Candidate{
		{Machine: "fine", BatchLeft: time.Second},
		{Machine: "empty", Empty: true},
		{Machine: "b", Obstacle: maintainer.Unreachable},
		{Machine: "a", Obstacle: maintainer.Unreachable},
		{Machine: "long", BatchLeft: 11 * time.Second},
		relocating,
	}}
	var list []string
	for _, o := range maintainer.New(0, 20*time.Second, 3).Obstructions(v) {
		list = append(list, fmt.Sprintf("%s %d %v", o.Reason, o.Count, o.Machines))
	}
	assert.DeepEqual(t, list, []string{"unreachable 2 [a b]", "long tasks 1 [long]", "relocating 1 [relocating]"})
}
