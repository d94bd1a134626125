package courier_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/courier"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

const (
	manyInstances = 200 // more than a leader serves by itself
	leaseLength   = 600 * time.Millisecond
	waitLimit     = 20 * time.Second // long, so that the result does not depend on the speed of the machine
)

// network connects the leader and its carriers in memory. Messages to a silenced process wait until it is heard again.
type network struct {
	mutex    sync.Mutex
	handlers map[fleet.EntryID]map[messenger.Topic]messenger.Handler
	silenced map[fleet.EntryID]bool
	held     []func()
}

// port is the transport of one process.
type port struct {
	network *network
	self    fleet.EntryID
}

func (p port) Handle(topic messenger.Topic, h messenger.Handler) {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	if p.network.handlers[p.self] == nil {
		p.network.handlers[p.self] = map[messenger.Topic]messenger.Handler{}
	}
	p.network.handlers[p.self][topic] = h
}

func (p port) Send(to fleet.EntryID, topic messenger.Topic, message any) {
	payload, err := messenger.Codec.Encode(message)
	if err != nil {
		panic(err)
	}
	p.network.mutex.Lock()
	h := p.network.handlers[to][topic]
	deliver := func() {
		if h != nil {
			_, _ = h(context.Background(), p.self, payload)
		}
	}
	if p.network.silenced[to] || p.network.silenced[p.self] {
		p.network.held = append(p.network.held, deliver)
		p.network.mutex.Unlock()
		return
	}
	p.network.mutex.Unlock()
	go deliver()
}

func (p port) Call(ctx context.Context, to fleet.EntryID, topic messenger.Topic, _, reply any) error {
	p.network.mutex.Lock()
	h, silent := p.network.handlers[to][topic], p.network.silenced[to]
	p.network.mutex.Unlock()
	if silent || h == nil {
		<-ctx.Done()
		return fault.New("call", messenger.KindUnreachable, "%w", ctx.Err())
	}
	value, err := h(ctx, p.self, nil)
	if err != nil {
		return err
	}
	payload, err := messenger.Codec.Encode(value)
	if err != nil {
		return err
	}
	return messenger.Codec.Decode(payload, reply)
}

// silence holds back all messages to and from a process, or delivers those that were held.
func (n *network) silence(id fleet.EntryID, silent bool) {
	n.mutex.Lock()
	n.silenced[id] = silent
	held := n.held
	if !silent {
		n.held = nil
	}
	n.mutex.Unlock()
	if !silent {
		for _, deliver := range held {
			go deliver()
		}
	}
}

// sent is one exchange as an instance sees it.
type sent struct {
	by       fleet.EntryID
	instance fleet.InstanceID
	at       time.Time
}

// record is what the instances have received from all processes.
type record struct {
	mutex sync.Mutex
	list  []sent
}

func (r *record) add(by fleet.EntryID, id fleet.InstanceID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.list = append(r.list, sent{by, id, time.Now()})
}

// writersSince returns how many exchanges each process has sent since a moment.
func (r *record) writersSince(since time.Time) map[fleet.EntryID]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := map[fleet.EntryID]int{}
	for _, s := range r.list {
		if s.at.After(since) {
			counts[s.by]++
		}
	}
	return counts
}

// sender sends exchanges in the name of a process.
type sender struct {
	self   fleet.EntryID
	record *record
}

func (s sender) Order(_ context.Context, o scheduler.Order) (scheduler.Outcome, error) {
	s.record.add(s.self, o.Instance)
	return scheduler.Accepted, nil
}

func (s sender) Poll(_ context.Context, request scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	s.record.add(s.self, request.Instance)
	return scheduler.StatusReport{Boot: 7, Clock: time.Minute, Running: []scheduler.ReportedRun{{Run: 3, Percent: 40}}}, scheduler.Accepted, nil
}

// clock is a clock that can be put forward, as a suspension does.
type clock struct {
	mutex  sync.Mutex
	offset time.Duration
	start  time.Time
}

func (c *clock) now() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.start) + c.offset
}

func (c *clock) advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.offset += d
}

// group is a leader with carriers.
type group struct {
	*courier.Dispatcher
	t       *testing.T
	network *network
	record  *record
	clocks  map[fleet.EntryID]*clock
	mutex   sync.Mutex
	term    uint64 // that the carriers know
	leads   bool
}

func newGroup(t *testing.T) *group { return newGroupOf(t, "a", "b") }

func newGroupOf(t *testing.T, carriers ...fleet.EntryID) *group {
	g := &group{
		t: t, record: &record{}, clocks: map[fleet.EntryID]*clock{}, term: 5, leads: true,
		network: &network{handlers: map[fleet.EntryID]map[messenger.Topic]messenger.Handler{}, silenced: map[fleet.EntryID]bool{}},
	}
	for i, id := range append([]fleet.EntryID{"leader"}, carriers...) {
		g.clocks[id] = &clock{start: time.Now().Add(-time.Duration(i+1) * time.Hour)}
	}
	for _, id := range carriers {
		g.startCarrier(id)
	}
	g.Dispatcher = courier.StartDispatcher(courier.DispatcherOptions{
		Transport: port{g.network, "leader"}, Direct: sender{"leader", g.record}, Leads: g.leading, LeaseLeft: func() time.Duration { return leaseLength },
		Carriers: func() []fleet.EntryID { return carriers }, Clock: g.clocks["leader"].now, Logger: zap.NewNop(),
	})
	t.Cleanup(func() { assert.NilError(t, g.Close()) })
	return g
}

func (g *group) startCarrier(id fleet.EntryID) {
	c := courier.StartCarrier(courier.CarrierOptions{
		Transport: port{g.network, id}, Instances: sender{id, g.record}, Term: g.knownTerm, Clock: g.clocks[id].now, Metrics: metrics.NewRegistry(),
	})
	g.t.Cleanup(func() { assert.NilError(g.t, c.Close()) })
}

func (g *group) leading() (uint64, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return 5, g.leads
}

func (g *group) knownTerm() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.term
}

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("i-", i)) }

func (g *group) poll(i int) (scheduler.StatusReport, scheduler.Outcome) {
	report, outcome, _ := g.Poll(g.t.Context(), scheduler.PollRequest{Instance: instanceID(i), Fence: 5, Timeout: time.Second})
	return report, outcome
}

// pollAll polls n instances at once and counts the outcomes.
func (g *group) pollAll(n int) map[scheduler.Outcome]int {
	var polls sync.WaitGroup
	var mutex sync.Mutex
	counts := map[scheduler.Outcome]int{}
	for i := range n {
		polls.Go(func() {
			_, outcome := g.poll(i)
			mutex.Lock()
			defer mutex.Unlock()
			counts[outcome]++
		})
	}
	polls.Wait()
	return counts
}

// share polls all instances until the carriers send all exchanges.
func (g *group) share() {
	g.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		since := time.Now()
		g.pollAll(manyInstances)
		if w := g.record.writersSince(since); w["leader"] == 0 && w["a"] > 0 && w["b"] > 0 {
			return
		}
	}
	g.t.Fatal("the carriers don't take over")
}

// TestLeaderOfSmallFleetSendsByItself checks that nothing changes for fleets that a leader can serve, and that two carriers share the
// instances of a large one, with the reports as the instances gave them.
func TestLeaderOfSmallFleetSendsByItself(t *testing.T) {
	g := newGroup(t)
	for range 3 {
		g.pollAll(50)
		time.Sleep(150 * time.Millisecond)
	}
	assert.DeepEqual(t, g.record.writersSince(time.Time{}), map[fleet.EntryID]int{"leader": 150})
	g.share()
	report, outcome := g.poll(1)
	assert.Equal(t, outcome, scheduler.Accepted)
	assert.Equal(t, report.Boot, int64(7))
	assert.Equal(t, report.Running[0].Percent, 40)
	outcome, err := g.Order(t.Context(), scheduler.Order{Kind: scheduler.Start, Instance: instanceID(1), Fence: 5, Timeout: time.Second})
	assert.NilError(t, err)
	assert.Equal(t, outcome, scheduler.Accepted)
}

// TestCarrierWithoutPermissionSendsNothing guards against a carrier that acts on a permission which has run out: because it was suspended
// with a batch in its hands, because another leader was elected, because it was started again and its clock with it, or because the
// leader has lost its lease.
func TestCarrierWithoutPermissionSendsNothing(t *testing.T) {
	losses := map[string]func(g *group){
		"suspended": func(g *group) { g.clocks["a"].advance(5 * time.Second); g.clocks["b"].advance(5 * time.Second) },
		"superseded": func(g *group) {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.term++
		},
		"started again": func(g *group) {
			for _, id := range []fleet.EntryID{"a", "b"} {
				g.clocks[id].advance(-30 * time.Minute)
				g.startCarrier(id)
			}
		},
		"lease lost": func(g *group) {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.leads = false
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t)
			g.share()
			instances := g.instanceOfEach("a", "b")
			lose(g)
			since := time.Now()
			for _, i := range instances { // one for each carrier: a refusal tells the leader the clock of the carrier, by which it may permit the next
				_, outcome := g.poll(i)
				assert.Equal(t, outcome, scheduler.Unsent)
			}
			assert.Equal(t, len(g.record.writersSince(since)), 0, "exchanges were sent: %v", g.record.writersSince(since))
			if name == "suspended" || name == "started again" {
				assert.Equal(t, g.pollAll(20)[scheduler.Accepted], 20, "the carriers are permitted again")
			}
		})
	}
}

// instanceOfEach returns the number of an instance that each of the carriers has polled last.
func (g *group) instanceOfEach(carriers ...fleet.EntryID) []int {
	g.record.mutex.Lock()
	defer g.record.mutex.Unlock()
	last := map[fleet.InstanceID]fleet.EntryID{}
	for _, s := range g.record.list {
		last[s.instance] = s.by
	}
	var list []int
	for _, c := range carriers {
		for i := range manyInstances {
			if last[instanceID(i)] == c {
				list = append(list, i)
				break
			}
		}
	}
	return list
}

// TestLostCarrierIsReplacedOnceItCannotSend guards against two processes that write to one instance, and against instances that nobody
// polls. Carrier a falls silent with a batch on its way, which reaches it later: nobody else may write to its instances
// before its permission has run out, and then others do.
func TestLostCarrierIsReplacedOnceItCannotSend(t *testing.T) {
	g := newGroup(t)
	g.share()
	before := time.Now().Add(-time.Minute)
	mine := map[fleet.InstanceID]bool{}
	g.record.mutex.Lock()
	for _, s := range g.record.list {
		if s.by == "a" && s.at.After(before) {
			mine[s.instance] = true
		}
	}
	g.record.mutex.Unlock()
	g.network.silence("a", true)
	silentAt := time.Now()
	counts := g.pollAll(manyInstances)
	assert.Assert(t, counts[scheduler.Uncarried] > 0, "%v", counts)
	assert.Equal(t, counts[scheduler.Unhealthy]+counts[scheduler.Refused]+counts[scheduler.Uncertain], 0, "an instance is blamed for its carrier: %v", counts)
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		if g.pollAll(manyInstances)[scheduler.Accepted] == manyInstances {
			break
		}
	}
	g.record.mutex.Lock()
	taken := 0
	for _, s := range g.record.list {
		if mine[s.instance] && s.by != "a" && s.at.After(silentAt) {
			taken++
			assert.Check(t, s.at.Sub(silentAt) >= leaseLength, "%s wrote to %s %s after its carrier fell silent", s.by, s.instance, s.at.Sub(silentAt))
		}
	}
	g.record.mutex.Unlock()
	assert.Assert(t, taken > 0, "nobody polls the instances of the lost carrier")
	g.clocks["a"].advance(time.Second) // what has passed for it, too
	heardAt := time.Now()
	g.network.silence("a", false)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, g.record.writersSince(heardAt)["a"], 0, "the batch that was held up was sent")
}

// TestInstancesMoveToCarrierThatAnswers guards against a partition that cuts off several processes, of which one carries nothing, as two carriers
// are enough for the fleet: the instances of the lost carrier were given to it, and were polled by nobody until its silence was noticed, too.
func TestInstancesMoveToCarrierThatAnswers(t *testing.T) {
	g := newGroupOf(t, "a", "b", "c")
	g.share()
	g.network.silence("c", true)
	g.network.silence("a", true)
	first := g.pollAll(manyInstances)
	assert.Assert(t, first[scheduler.Uncarried] > 0, "%v", first)
	second := g.pollAll(manyInstances)
	assert.Equal(t, second[scheduler.Accepted], manyInstances, "%v", second)
}
