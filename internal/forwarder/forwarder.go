// Package forwarder carries the calls of callers, instances and operators to the leading keeper.
package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindNotSent calls reached no leader and changed nothing.
	KindNotSent Kind = iota + 1
	// KindUncertain calls may have been carried out.
	KindUncertain
)

// Error names the kind.
func (k Kind) Error() string {
	return [...]string{"none", "no leader was reached", "outcome is not known"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Topics of this package; those below 16 belong to the replicator.
const (
	TopicCall messenger.Topic = iota + 200
	TopicLeadership
)

// Subject is what a call is about.
type Operation uint8

// Subjects of calls.
const (
	SubmitJob Operation = iota + 1
	CancelJob
	InspectJob
	CountJobs
	Announce
	Depart
	Publish
	FetchCatalogue
	OpenWave
	InspectWave
)

// Ask is one call.
type Request struct {
	Operation Operation           `cbor:"1,keyasint"`
	Host      string              `cbor:"2,keyasint,omitempty"`
	Path      string              `cbor:"3,keyasint,omitempty"`
	Key       string              `cbor:"4,keyasint,omitempty"`
	Job       *workload.Job       `cbor:"5,keyasint,omitempty"`
	Instance  *workload.Instance  `cbor:"6,keyasint,omitempty"`
	Catalogue *workload.Catalogue `cbor:"7,keyasint,omitempty"`
	Source    []byte              `cbor:"8,keyasint,omitempty"`
	Wave      *workload.Wave      `cbor:"9,keyasint,omitempty"`
}

// Verdict is what became of a call.
type Outcome uint8

// Verdicts on calls.
const (
	Done Outcome = iota + 1
	// NotLeading means that nothing was done and another keeper may lead.
	NotLeading
	// Uncertain means that the call may yet be carried out.
	Uncertain
	UnknownQueue
	UnknownJob
	KeyMismatch
	Invalid
	// Refused calls were not carried out and never will be.
	Refused
)

// Answer is the answer to a call.
type Response struct {
	Outcome  Outcome        `cbor:"1,keyasint"`
	Phase    workload.Phase `cbor:"2,keyasint,omitempty"`
	Pending  int            `cbor:"3,keyasint,omitempty"`
	Source   []byte         `cbor:"4,keyasint,omitempty"`
	Detail   string         `cbor:"5,keyasint,omitempty"`
	Finished bool           `cbor:"6,keyasint,omitempty"`
	// Leader is the keeper that leads, as far as the answering one knows.
	Leader fleet.EntryID `cbor:"7,keyasint,omitempty"`
	// RetryAfter tells a refused caller when to return.
	RetryAfter time.Duration `cbor:"8,keyasint,omitempty"`
}

// Standing tells who leads.
type LeadershipStatus struct {
	Leading bool            `cbor:"1,keyasint,omitempty"`
	Leader  fleet.EntryID   `cbor:"2,keyasint,omitempty"`
	Keepers []fleet.EntryID `cbor:"3,keyasint,omitempty"`
	// Ready is set once a catalogue is in force.
	Ready bool `cbor:"4,keyasint,omitempty"`
}

// Timing of calls to the leader.
const (
	attemptTimeout = 600 * time.Millisecond // a commit takes two syncs of up to 30 ms, and some more on a disk that is slow
	retryInterval  = 40 * time.Millisecond  // a leader is elected within two seconds, so callers hardly wait for the pause
	probeInterval  = 500 * time.Millisecond // an idle entry costs two small calls a second
	probeTimeout   = 400 * time.Millisecond // a hundred round trips
	maxContactAge  = 3 * time.Second        // an entry without contact for longer takes no callers
)

// link carries calls to other processes.
type transport interface {
	Call(ctx context.Context, to fleet.EntryID, topic messenger.Topic, request, reply any) error
}

// Forwarder finds the leader and calls it.
type Forwarder struct {
	self         fleet.EntryID
	transport    transport
	logger       *zap.Logger
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	callDuration metrics.Timer
	callFailures metrics.Counter

	mutex       sync.Mutex
	keepers     []fleet.EntryID
	leader      fleet.EntryID
	lastContact time.Time
	ready       bool
}

// Start follows the leader among the keepers until Close.
func Start(self fleet.EntryID, t transport, keepers []fleet.EntryID, logger *zap.Logger, registry metrics.Registry) *Forwarder {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{self: self, transport: t, logger: logger, ctx: ctx, cancel: cancel, keepers: slices.Clone(keepers)}
	f.callDuration = metrics.GetOrRegisterTimer("call", registry)
	f.callFailures = metrics.GetOrRegisterCounter("calls-failed", registry)
	f.goroutines.Go(f.probeLoop)
	return f
}

// Close stops following and waits.
func (f *Forwarder) Close() error {
	f.cancel()
	f.goroutines.Wait()
	return nil
}

// AddKeepers names further keepers.
func (f *Forwarder) AddKeepers(keepers []fleet.EntryID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, k := range keepers {
		if k != "" && !slices.Contains(f.keepers, k) {
			f.keepers = append(f.keepers, k)
		}
	}
}

// Leader returns the keeper that led when last heard of.
func (f *Forwarder) Leader() fleet.EntryID {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader
}

// Ready reports whether a leader with a catalogue was heard of lately.
func (f *Forwarder) Ready() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ready && time.Since(f.lastContact) < maxContactAge
}

func (f *Forwarder) probeLoop() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		f.findLeader()
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// locate asks the leader whether it still leads, and all keepers where it does not answer.
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
	f.leader = keeper
	f.lastContact = time.Now()
	f.ready = f.ready || status.Ready
	f.mutex.Unlock()
	if changed {
		event.LeaderFound.Info(f.logger, zap.String("leader", string(keeper)))
	}
	return true
}

// next returns the keeper to try, the leader first.
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
	f.leader = leader
}

// forget stops calling a keeper that did not answer first; the others tell who leads.
func (f *Forwarder) clearLeader(keeper fleet.EntryID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.leader == keeper {
		f.leader = ""
	}
}

// leaderless reports whether a call is hopeless: no keeper has led for long, and each has been tried.
func (f *Forwarder) leaderUnavailable(failedAttempts int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return failedAttempts >= max(1, len(f.keepers)) && time.Since(f.lastContact) > maxContactAge
}

// Call carries a call to the leader and tries again elsewhere until ctx ends; all calls may be repeated.
func (f *Forwarder) Call(ctx context.Context, request Request) (Response, error) {
	start := time.Now()
	response, err := f.callWithRetries(ctx, request)
	f.callDuration.UpdateSince(start)
	if err != nil {
		f.callFailures.Inc(1)
	}
	return response, err
}

func (f *Forwarder) callWithRetries(ctx context.Context, request Request) (Response, error) {
	kind := KindNotSent
	keeper := f.Leader()
	if keeper == "" {
		keeper = f.nextKeeper("")
	}
	for attempts := 1; ; attempts++ {
		response, err := f.callOnce(ctx, keeper, request)
		switch {
		case errors.Is(err, messenger.KindUnsent):
		case err != nil:
			kind = KindUncertain
			f.clearLeader(keeper)
		case response.Outcome == Uncertain:
			kind = KindUncertain
		case response.Outcome != NotLeading:
			return response, nil
		default:
			f.setLeader(response.Leader)
		}
		if f.leaderUnavailable(attempts) {
			return Response{}, fault.New("call", kind, "no leader for %s", maxContactAge)
		}
		select {
		case <-ctx.Done():
			return Response{}, &Error{Op: "call", Kind: kind, Err: ctx.Err()}
		case <-f.ctx.Done():
			return Response{}, &Error{Op: "call", Kind: kind, Err: f.ctx.Err()}
		case <-time.After(retryInterval):
		}
		keeper = f.nextKeeper(keeper)
	}
}

func (f *Forwarder) callOnce(ctx context.Context, keeper fleet.EntryID, request Request) (Response, error) {
	if keeper == "" {
		return Response{Outcome: NotLeading}, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var response Response
	err := f.transport.Call(callCtx, keeper, TopicCall, request, &response)
	return response, err
}
