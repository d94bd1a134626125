package budgeter

import (
	"container/list"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
)

const (
	// OrdinaryBytes is what a lease may hold to count as that of an ordinary request.
	OrdinaryBytes = 64 * KiB
	// ordinaryPart is the part of a share that only ordinary leases can take.
	ordinaryPart = 0.25
	// stallTime is how long a client may make no progress before its lease may be evicted.
	stallTime = time.Second
	// minProgress is what counts as progress: a client that sends less in stallTime has stalled.
	minProgress = 4 * KiB
	logInterval = time.Second
)

// Share is a part of the budget, such as that of the callers of one listener.
type Share struct {
	name      string
	limit     Bytes
	maxLeases int
	logger    *zap.Logger
	now       func() time.Time

	refusals, evictions metrics.Counter
	usedGauge           metrics.Gauge
	leasesGauge         metrics.Gauge

	mutex  sync.Mutex
	used   Bytes
	leases int
	// waiting holds the leases that wait for their client, the one that has waited longest since its last progress first.
	waiting list.List
	// leaving is what evicted leases hold that are not closed yet.
	leaving Bytes
	// loggedAt is when the last line about refusals was logged, and refused and evicted count those since.
	loggedAt         time.Time
	refused, evicted int
}

func newShare(name string, limit Bytes, maxLeases int, logger *zap.Logger, registry metrics.Registry) *Share {
	s := &Share{
		name: name, limit: limit, maxLeases: maxLeases, logger: logger, now: time.Now,
		refusals:    metrics.GetOrRegisterCounter("budget."+name+".refused", registry),
		evictions:   metrics.GetOrRegisterCounter("budget."+name+".evicted", registry),
		usedGauge:   metrics.GetOrRegisterGauge("budget."+name+".bytes", registry),
		leasesGauge: metrics.GetOrRegisterGauge("budget."+name+".leases", registry),
	}
	s.waiting.Init()
	metrics.GetOrRegisterGauge("budget."+name+".limit", registry).Update(int64(limit))
	return s
}

// Limit returns the memory of the share.
func (s *Share) Limit() Bytes { return s.limit }

// Connect returns a lease for a new connection that holds n bytes. If the share is full, it evicts the one that waits longest for its client.
func (s *Share) Connect(n Bytes) (*Lease, error) {
	l := &Lease{share: s, connection: true}
	return l, s.admit(l, n)
}

// Open returns a lease that is no connection and holds n bytes.
func (s *Share) Open(n Bytes) (*Lease, error) {
	l := &Lease{share: s}
	return l, s.admit(l, n)
}

// Take returns a lease that holds n bytes, whether or not the share has room: for what the process has to hold.
func (s *Share) Take(n Bytes) *Lease {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used += n
	s.updateGauges()
	return &Lease{share: s, held: n, open: true}
}

// Refuse counts and logs a refusal for another reason than the share.
func (s *Share) Refuse(reason error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordRefusal(reason)
}

// admit charges n more bytes to a lease, and a connection if the lease is a new one of a connection.
func (s *Share) admit(l *Lease, n Bytes) error {
	fits := func() bool {
		if l.closed || l.connection && !l.open && s.leases >= s.maxLeases {
			return false
		}
		return s.used+n <= s.ceiling(l.held+n)
	}
	s.mutex.Lock()
	if !fits() {
		victims := s.selectVictims(l, n)
		s.mutex.Unlock()
		for _, evict := range victims {
			evict()
		}
		s.mutex.Lock()
	}
	defer s.mutex.Unlock()
	if !fits() {
		kind := KindFull
		if l.held+n > s.ceiling(l.held+n) {
			kind = KindTooLarge
		}
		err := fault.New("charge "+s.name, kind, "%d bytes on top of %d, %d of %d in use by %d", n, l.held, s.used, s.limit, s.leases)
		s.recordRefusal(err)
		return err
	}
	if l.connection && !l.open {
		s.leases++
	}
	l.open = true
	l.held += n
	s.used += n
	s.updateGauges()
	return nil
}

// ceiling returns how much of the share may be in use with a lease that holds a number of bytes.
func (s *Share) ceiling(held Bytes) Bytes {
	if held <= OrdinaryBytes {
		return s.limit
	}
	return s.limit - Bytes(ordinaryPart*float64(s.limit))
}

// selectVictims marks the leases to evict for n bytes, and returns their eviction functions. Only ordinary leases have other ordinary ones evicted.
func (s *Share) selectVictims(l *Lease, n Bytes) (victims []func()) {
	ordinary := l.held+n <= OrdinaryBytes
	need := s.used + n - s.ceiling(l.held+n) - s.leaving
	connections := 0
	if l.connection && !l.open {
		connections = s.leases + 1 - s.maxLeases
	}
	now := s.now()
	for e := s.waiting.Front(); e != nil && (need > 0 || connections > 0); {
		victim := e.Value.(*Lease)
		e = e.Next()
		if victim == l || !ordinary && victim.held <= OrdinaryBytes || !victim.idle && now.Sub(victim.progressAt) < stallTime {
			continue
		}
		evict := victim.evict
		victim.stopWaiting()
		victim.evicted = true
		s.leaving += victim.held
		need -= victim.held
		connections--
		s.evicted++
		s.evictions.Inc(1)
		victims = append(victims, evict)
	}
	return victims
}

// recordRefusal counts a refusal and logs at most one line in logInterval.
func (s *Share) recordRefusal(reason error) {
	s.refused++
	s.refusals.Inc(1)
	now := s.now()
	if now.Sub(s.loggedAt) < logInterval {
		return
	}
	event.ClientsRefused.Warn(s.logger, zap.String("share", s.name), zap.Int("refused", s.refused), zap.Int("evicted", s.evicted),
		zap.Int64("bytes", int64(s.used)), zap.Int64("limit", int64(s.limit)), zap.Int("connections", s.leases), zap.NamedError("reason", reason))
	s.loggedAt, s.refused, s.evicted = now, 0, 0
}

func (s *Share) updateGauges() {
	s.usedGauge.Update(int64(s.used))
	s.leasesGauge.Update(int64(s.leases))
}
