// Package forwarder forwards the calls of callers, instances and operators to the leading keeper.
package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/namer"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindNotSent is the kind of a call that reached no leader and changed nothing.
	KindNotSent Kind = iota + 1
	// KindUncertain is the kind of a call that may have been executed.
	KindUncertain
	// KindOutdated is the kind of a call that changed nothing, and whose answer is by a catalogue that came into force while it waited.
	KindOutdated
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "no leader was reached", "outcome is not known", "the catalogue has changed meanwhile"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Message topics of this package. Topics below 16 belong to the replicator.
const (
	TopicCall messenger.Topic = iota + 200
	TopicLeadership
)

// Operation is the operation that a call requests.
type Operation uint8

// Operations of calls.
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
	DrainDataCentre
	ResumeDataCentre
	InspectDataCentre
	// AnnounceBatch passes announcements on that a keeper has collected and acknowledged. A leader of an earlier version answers Invalid.
	AnnounceBatch
	// ExplainPlacement asks where the tasks of a job would be placed now. It changes nothing.
	ExplainPlacement
	// OperationCount is one more than the highest operation.
	OperationCount
)

// String returns the name that logs use.
func (o Operation) String() string {
	return namer.Name(o, "none", "submit", "cancel", "inspect", "count", "announce", "depart", "publish", "fetch", "open-wave", "inspect-wave",
		"drain-data-centre", "resume-data-centre", "inspect-data-centre", "announce-batch", "explain-placement")
}

// Outcome is the outcome of a call.
type Outcome uint8

// Outcomes of calls.
const (
	Done Outcome = iota + 1
	// NotLeading means that the call was not executed and that another keeper may lead.
	NotLeading
	// Uncertain means that the call may still be executed.
	Uncertain
	UnknownQueue
	UnknownJob
	KeyMismatch
	Invalid
	// Refused means that the call was not executed and never will be.
	Refused
	// UnknownDataCentre means that neither the settings nor an instance names the data centre.
	UnknownDataCentre
	// Superseded means that a later request has changed the data centre since the revision of the call, which changed nothing.
	Superseded
	// Outdated means that the revision of the call was read too long ago, or from an earlier leader. The call changed nothing.
	Outdated
)

// Response is the response of a keeper to a call.
type Response struct {
	Outcome Outcome        `cbor:"1,keyasint"`
	Phase   workload.Phase `cbor:"2,keyasint,omitempty"`
	Pending int            `cbor:"3,keyasint,omitempty"`
	// Source is the catalogue as it was sent, or the explanation of a placement in JSON.
	Source   []byte `cbor:"4,keyasint,omitempty"`
	Detail   string `cbor:"5,keyasint,omitempty"`
	Finished bool   `cbor:"6,keyasint,omitempty"`
	// Leader is the leading keeper, as far as the responding one knows.
	Leader fleet.EntryID `cbor:"7,keyasint,omitempty"`
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration `cbor:"8,keyasint,omitempty"`
	// AnnounceTo is the keeper to which an instance sends its next announcements.
	AnnounceTo fleet.EntryID `cbor:"9,keyasint,omitempty"`
	// Revision is that of the data centre.
	Revision   uint64      `cbor:"10,keyasint,omitempty"`
	Inspection *Inspection `cbor:"11,keyasint,omitempty"`
	// CatalogueAge is a lower bound of how long the leader's catalogue has been in force, if the response depends on it alone. Earlier
	// versions of the program send none.
	CatalogueAge time.Duration `cbor:"12,keyasint,omitempty"`
}

// outdated reports whether the catalogue that decided a response came into force while its request waited for longer than
// maxCatalogueLag. Requests that were sent after it may have been answered by the earlier catalogue.
func (r *Response) outdated(waited time.Duration) bool {
	return r.CatalogueAge > 0 && waited > maxCatalogueLag && r.CatalogueAge < waited
}

// Inspection says when and under which leader the revision of a data centre was read, so that the leader can bound how long a change may be
// on its way.
type Inspection struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	// At is on the boot clock of the leader.
	At time.Duration
}

// LeadershipStatus is the response of a keeper to a probe.
type LeadershipStatus struct {
	Leading bool            `cbor:"1,keyasint,omitempty"`
	Leader  fleet.EntryID   `cbor:"2,keyasint,omitempty"`
	Keepers []fleet.EntryID `cbor:"3,keyasint,omitempty"`
	// Ready is set once a catalogue has been published.
	Ready bool `cbor:"4,keyasint,omitempty"`
}

// Timing of calls and probes.
const (
	attemptTimeout = 600 * time.Millisecond // a commit takes two disk syncs of up to 30 ms each, and more on a slow disk
	retryInterval  = 40 * time.Millisecond  // doubled with each attempt; short against an election, which takes up to two seconds
	maxRetryPause  = 500 * time.Millisecond // a leader that is found ends the pause
	probeInterval  = 500 * time.Millisecond // an entry whose calls are answered sends no probes
	searchInterval = 250 * time.Millisecond // while no leader is known, doubled with each search in vain
	maxSearchPause = 500 * time.Millisecond // 290 entries send 130 probes a second to each of nine keepers; a contact is soon enough for Ready
	searchWidth    = 2                      // keepers probed at a time: one of them may be down, and each knows the leader
	jitterShare    = 0.25                   // of an interval, so that entries that lost their leader together do not probe together
	// maxLeaderSilence is how long an entry relies on a leader without an answer: half of maxContactAge.
	maxLeaderSilence = 1500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond // a hundred round trips
	// maxCatalogueLag is how far apart two requests may be sent that are answered by catalogues in the reverse order; callers allow 250 ms.
	maxCatalogueLag = 200 * time.Millisecond
	maxContactAge   = 3 * time.Second // an entry that has had no contact with a leader for longer is not ready for callers
)

// transport calls other processes; the messenger implements it.
type transport interface {
	Call(ctx context.Context, to fleet.EntryID, topic messenger.Topic, request, reply any) error
}

// Forwarder tracks the leader and forwards calls to it.
type Forwarder struct {
	self         fleet.EntryID
	transport    transport
	logger       *zap.Logger
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	callDuration metrics.Timer
	callFailures metrics.Counter

	mutex sync.Mutex
	// found is closed when a leader becomes known.
	found       chan struct{}
	keepers     []fleet.EntryID
	leader      fleet.EntryID
	lastContact time.Time
	ready       bool
	// home is the keeper that is probed for a change of leader, so that idle entries do not all probe the leader.
	home fleet.EntryID
}

// Start starts a forwarder, which probes the keepers for the leader until Close.
func Start(self fleet.EntryID, t transport, keepers []fleet.EntryID, logger *zap.Logger, registry metrics.Registry) *Forwarder {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{self: self, transport: t, logger: logger, ctx: ctx, cancel: cancel, keepers: slices.Clone(keepers), found: make(chan struct{})}
	f.callDuration = metrics.GetOrRegisterTimer("call", registry)
	f.callFailures = metrics.GetOrRegisterCounter("calls-failed", registry)
	f.goroutines.Go(f.probeLoop)
	return f
}

// Close stops the probes and waits for them.
func (f *Forwarder) Close() error {
	f.cancel()
	f.goroutines.Wait()
	return nil
}

// AddKeepers adds keepers that are not known yet.
func (f *Forwarder) AddKeepers(keepers []fleet.EntryID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, k := range keepers {
		if k != "" && !slices.Contains(f.keepers, k) {
			f.keepers = append(f.keepers, k)
		}
	}
}

// Call forwards a call to the leader, and retries at other keepers until ctx ends or leaderUnavailable. All operations are
// idempotent.
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
	kind, calledAt := KindNotSent, time.Now()
	keeper := f.Leader()
	if keeper == "" {
		keeper = f.nextKeeper("")
	}
	for attempts := 1; ; attempts++ {
		startedAt, previous := time.Now(), keeper
		response, err := f.callOnce(ctx, keeper, request)
		switch {
		case errors.Is(err, messenger.KindUnsent):
			if time.Since(startedAt) >= attemptTimeout {
				f.clearLeader(keeper) // no connection to it was established meanwhile
			}
		case err != nil:
			kind = KindUncertain
			if f.answeredSince(keeper, startedAt) {
				previous = "" // it is only slow: leaving it would add the calls of a search to its load
			} else {
				f.clearLeader(keeper)
			}
		case response.Outcome == Uncertain, response.Outcome == Refused && kind == KindUncertain:
			kind = KindUncertain // what was refused now may have been executed before
		case response.Outcome != NotLeading:
			f.recordContact(keeper)
			if kind == KindUncertain && request.mayStillRun(response.Outcome) {
				return Response{}, fault.New("call", kind, "an earlier attempt had no answer, a later one gives outcome %d", response.Outcome)
			}
			if waited := time.Since(calledAt); response.outdated(waited) {
				return Response{}, fault.New("call", KindOutdated, "the call took %s, the catalogue is in force for %s", waited, response.CatalogueAge)
			}
			return response, nil
		case response.Leader == keeper:
			f.clearLeader(keeper) // its lease has expired; it may lead on
		case response.Leader == "":
			f.clearLeader(keeper)
		default:
			f.setLeader(response.Leader)
		}
		if f.leaderUnavailable(attempts) {
			return Response{}, fault.New("call", kind, "no leader for %s", maxContactAge)
		}
		if err := f.pause(ctx, attempts); err != nil {
			return Response{}, &Error{Op: "call", Kind: kind, Err: err}
		}
		keeper = f.nextKeeper(previous)
	}
}

// pause waits before the next attempt of a call: until a leader is found, or for a time that doubles with each attempt, so that calls
// that find no leader do not take the processor time that the keepers need to elect one.
func (f *Forwarder) pause(ctx context.Context, attempts int) error {
	f.mutex.Lock()
	found := f.found
	if f.leader != "" {
		found = nil
	}
	f.mutex.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.ctx.Done():
		return f.ctx.Err()
	case <-found:
	case <-time.After(min(retryInterval<<min(attempts-1, 10), maxRetryPause)):
	}
	return nil
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
