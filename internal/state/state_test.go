package state_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

func configurationText(version, limit, minimum int) []byte {
	return fmt.Appendf(nil, `version: %d
site: test
data-centres: [{name: dc-1, region: r}]
customers: [{name: a, share: 1, limit: %d}, {name: b, share: 2, limit: 9}]
pools: [{name: p, minimum-available: %d}, {name: q, minimum-available: 1}, {name: s, minimum-available: 0, spare: true}]
queues: [{name: qa, pool: p, customer: a}]
`, version, limit, minimum)
}

// oracle tracks the expected state with plain maps and checks the invariants of the state machine.
type oracle struct {
	s          *state.State
	index      uint64
	digests    map[uint64]string
	running    map[fleet.PoolID]int
	dispatches map[fleet.RequestID]int
	withdrawn  map[state.KeyID]bool
	limit      int
	minimum    int
}

func (o *oracle) apply(t *rapid.T, c state.Command) state.Reply {
	o.index++
	record, err := state.Encode(c)
	assert.NilError(t, err)
	return o.s.Apply(o.index, record)
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		s: state.New(), digests: map[uint64]string{}, running: map[fleet.PoolID]int{}, dispatches: map[fleet.RequestID]int{},
		withdrawn: map[state.KeyID]bool{}, limit: 10, minimum: 2,
	}
	assert.NilError(t, o.apply(t, state.Configure{Text: configurationText(1, 10, 2)}).Err())
	o.digests[1] = o.s.ConfigDigest
	assert.NilError(t, o.apply(t, state.RegisterMember{Member: state.Member{Entry: "e1"}}).Err())
	assert.NilError(t, o.apply(t, state.RegisterMember{Member: state.Member{Entry: "e2"}}).Err())
	for _, p := range []fleet.PoolID{"p", "q"} {
		assert.NilError(t, o.apply(t, state.AssignOwner{Pool: p, Entry: "e1", Epoch: 1}).Err())
	}
	for i := range 8 {
		pool := []fleet.PoolID{"p", "q", "s"}[i%3]
		assert.NilError(t, o.apply(t, state.AssignInstance{Instance: instanceID(i), Pool: pool, At: 1}).Err())
	}
	return o
}

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i%d", i)) }

var phases = []state.Phase{state.Serving, state.Draining, state.Rebooting, state.Verifying}

func (o *oracle) actions() map[string]func(*rapid.T) {
	drawInstance := func(t *rapid.T) fleet.InstanceID { return instanceID(rapid.IntRange(0, 9).Draw(t, "instance")) }
	pool := rapid.SampledFrom([]fleet.PoolID{"p", "q", "s", "none"})
	return map[string]func(*rapid.T){
		"configure": func(t *rapid.T) { o.configure(t) },
		"disrupt": func(t *rapid.T) {
			id := drawInstance(t)
			a := o.s.Instances[id]
			before := o.s.AvailableInstances(a.Pool)
			c := state.Disrupt{Instance: id, Reason: rapid.SampledFrom([]state.DisruptionReason{state.ReasonMove, state.ReasonMaintenance}).Draw(t, "reason"), Target: pool.Draw(t, "to")}
			if o.apply(t, c).Err() == nil && a.Available() {
				p, _ := o.s.Configuration().Pool(a.Pool)
				assert.Assert(t, before-1 >= p.MinimumAvailable, "the availability budget of pool %s was violated", a.Pool)
			}
		},
		"advance": func(t *rapid.T) {
			o.apply(t, state.AdvancePhase{Instance: drawInstance(t), From: rapid.SampledFrom(phases).Draw(t, "from"), To: rapid.SampledFrom(phases).Draw(t, "to")})
		},
		"move": func(t *rapid.T) { o.apply(t, state.CompleteMove{Instance: drawInstance(t)}) },
		"restore": func(t *rapid.T) {
			id := drawInstance(t)
			before := o.s.Instances[id].Phase
			err := o.apply(t, state.Restore{Instance: id, Maintained: rapid.Bool().Draw(t, "done")}).Err()
			assert.Assert(t, err != nil || before != state.Rebooting, "a rebooting instance returned to service")
		},
		"lose": func(t *rapid.T) {
			o.apply(t, state.SetLost{Instance: drawInstance(t), Lost: rapid.Bool().Draw(t, "lost"), InWave: true})
		},
		"own": func(t *rapid.T) {
			p := pool.Draw(t, "pool")
			o.apply(t, state.AssignOwner{Pool: p, Entry: "e2", Epoch: o.s.Owners[p].Epoch + uint64(rapid.IntRange(0, 2).Draw(t, "step"))})
		},
		"allot":         func(t *rapid.T) { o.setPermit(t, pool.Draw(t, "pool")) },
		"task starts":   func(t *rapid.T) { o.startTask(t, pool.Draw(t, "pool")) },
		"task ends":     func(t *rapid.T) { o.endTask(pool.Draw(t, "pool")) },
		"claim":         func(t *rapid.T) { o.claim(t) },
		"key granted":   func(t *rapid.T) { o.grantKey(t) },
		"key withdrawn": func(t *rapid.T) { o.withdrawKey(t) },
		"restart": func(t *rapid.T) {
			data, err := o.s.Snapshot()
			assert.NilError(t, err)
			restored, err := state.FromSnapshot(data)
			assert.NilError(t, err)
			second, err := restored.Snapshot()
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(data, second), "a restored state encodes to another snapshot")
			o.s = restored
		},
		"": func(t *rapid.T) { o.checkInvariants(t) },
	}
}

// configure proposes versions around the current one, with varying content.
func (o *oracle) configure(t *rapid.T) {
	version := int(o.s.ConfigVersion) + rapid.IntRange(-1, 2).Draw(t, "version")
	limit, minimum := rapid.IntRange(0, 12).Draw(t, "limit"), rapid.IntRange(0, 3).Draw(t, "minimum")
	before := o.s.ConfigVersion
	reply := o.apply(t, state.Configure{Text: configurationText(version, limit, minimum)})
	if reply.Err() != nil {
		assert.Equal(t, o.s.ConfigVersion, before)
		return
	}
	accepted, exists := o.digests[uint64(version)]
	assert.Assert(t, !exists || accepted == reply.Digest, "version %d was accepted with two different contents", version)
	o.digests[uint64(version)] = reply.Digest
	if o.s.ConfigVersion != before {
		o.limit = limit
	}
}

// setPermit proposes any change of a permit; it lowers a grant only as a pool owner would report it.
func (o *oracle) setPermit(t *rapid.T, p fleet.PoolID) {
	held := o.s.Permits["a"][p]
	c := state.SetPermit{Customer: "a", Pool: p, Granted: rapid.IntRange(0, 12).Draw(t, "granted"), Ceiling: rapid.IntRange(0, 12).Draw(t, "ceiling"), Revision: held.Revision, Epoch: o.s.Owners[p].Epoch}
	if c.Granted < held.Granted && (o.running[p] > c.Granted || c.Granted < held.Ceiling) {
		return
	}
	before := o.s.GrantedTotal("a")
	if o.apply(t, c).Err() == nil && c.Granted > held.Granted {
		assert.Assert(t, o.s.GrantedTotal("a") <= o.limit, "%d tasks granted, limit %d, %d granted before", o.s.GrantedTotal("a"), o.limit, before)
	}
}

// startTask starts a task if the permit allows it, and checks the limit of the customer over all pools.
func (o *oracle) startTask(t *rapid.T, p fleet.PoolID) {
	if o.running[p] >= o.s.Permits["a"][p].Usable() {
		return
	}
	o.running[p]++
	sum := 0
	for _, n := range o.running {
		sum += n
	}
	assert.Assert(t, sum <= o.limit, "%d tasks run, limit %d", sum, o.limit)
}

func (o *oracle) endTask(p fleet.PoolID) { o.running[p] = max(o.running[p]-1, 0) }

// claim lets several requests race for one idempotency key and checks that at most one dispatch is accepted; a request counts as
// dispatched only if the state accepted its DispatchClaim.
func (o *oracle) claim(t *rapid.T) {
	key := state.NewClaimKey("a", rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"))
	request := fleet.RequestID(rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request")) + fleet.RequestID(key)
	attempt := fleet.AttemptID(fmt.Sprint("t", o.index))
	switch rapid.IntRange(0, 2).Draw(t, "step") {
	case 0:
		o.apply(t, state.OpenClaim{Claim: state.Claim{Key: key, Request: request, Customer: "a"}})
	case 1:
		if o.apply(t, state.DispatchClaim{Key: key, Request: request, Attempt: attempt}).Err() == nil {
			o.dispatches[fleet.RequestID(key)]++
		}
	case 2:
		c := o.s.Claims[key]
		o.apply(t, state.SettleClaim{Key: key, Request: request, Attempt: c.Attempt, Result: rapid.SampledFrom([]fleet.Result{fleet.Done, fleet.Unknown}).Draw(t, "result")})
	}
	assert.Assert(t, o.dispatches[fleet.RequestID(key)] <= 1, "claim %s was dispatched twice", key)
}

func (o *oracle) grantKey(t *rapid.T) {
	id := state.KeyID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"))
	o.apply(t, state.GrantKey{ID: id, Hash: state.HashKey(string(id)), Customer: "a"})
}

func (o *oracle) withdrawKey(t *rapid.T) {
	id := state.KeyID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"))
	if o.apply(t, state.WithdrawKey{ID: id}).Err() == nil {
		o.withdrawn[id] = true
	}
}

func (o *oracle) checkInvariants(t *rapid.T) {
	for id := range o.withdrawn {
		_, ok := o.s.Authenticate(string(id))
		assert.Assert(t, !ok, "withdrawn key %s still authenticates", id)
	}
	for p, n := range o.running {
		assert.Assert(t, n <= o.s.Permits["a"][p].Granted, "%d tasks run in pool %s, granted %d", n, p, o.s.Permits["a"][p].Granted)
	}
	usable := 0
	for _, p := range o.s.Permits["a"] {
		usable += p.Usable()
	}
	assert.Assert(t, usable <= o.limit, "%d tasks usable, limit %d", usable, o.limit)
	for id, a := range o.s.Instances {
		_, ok := o.s.Configuration().Pool(a.Pool)
		assert.Assert(t, ok, "the pool of instance %s is not configured", id)
	}
}

// Applies random commands, with restores from snapshots in between, and checks the invariants after each.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newOracle(t).actions()) })
}

// Eviction for space must drop only responses: without its claim a request could run twice.
func TestEvictionKeepsAllClaims(t *testing.T) {
	s := state.New()
	response := bytes.Repeat([]byte("x"), state.MaxResponseBytes)
	opened := 0
	for i := range 40_000 {
		key := state.NewClaimKey("a", fmt.Sprint(i))
		request := fleet.RequestID(fmt.Sprint("r", i))
		if s.ApplyCommand(uint64(i), state.OpenClaim{Claim: state.Claim{Key: key, Request: request}}).Err() != nil {
			break
		}
		opened++
		assert.NilError(t, s.ApplyCommand(uint64(i), state.SettleClaim{Key: key, Request: request, Result: fleet.Done, Answer: response, At: state.Timestamp(i)}).Err())
	}
	assert.Equal(t, len(s.Claims), opened)
	assert.Assert(t, s.ClaimBytes <= state.MaxClaimsBytes+len(response))
	assert.Assert(t, opened > 1000 && opened < 40_000, "%d claims opened", opened)
}

// TestBarrierChangesOnlyAppliedIndex guards against a barrier that differs between replicas or restarts: leaders commit one
// whenever they begin.
func TestBarrierChangesOnlyAppliedIndex(t *testing.T) {
	s := state.New()
	assert.NilError(t, s.ApplyCommand(1, state.RegisterMember{Member: state.Member{Entry: "e1"}}).Err())
	before, err := s.Snapshot()
	assert.NilError(t, err)
	record, err := state.Encode(state.Barrier{})
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Apply(2, record), state.Reply{Index: 2})
	assert.Equal(t, s.AppliedIndex, uint64(2))
	s.AppliedIndex = 1
	after, err := s.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)
}
