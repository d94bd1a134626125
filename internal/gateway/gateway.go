// Package gateway serves callers, targets and operators over HTTP.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/listener"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/receiver"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// replica gives access to the replicated state and to the membership of its group.
type replica interface {
	View(read func(s *state.State))
	Applied() (uint64, <-chan struct{})
	LeaseLeft() time.Duration
	Commit(ctx context.Context, c state.Command) (state.Reply, error)
	Status() replicator.Status
	ChangeMembers(ctx context.Context, c replicator.MemberChange) error
}

// announcements stores the latest announcement of each target.
type announcements interface {
	Announce(i fleet.Instance)
	Read(read func(s *sharer.Sharer))
}

// leader is the leader component of this entry. WaitApplied and ReadIndex are forwarded to the leading entry; Decisions collects from all
// entries.
type leader interface {
	WaitApplied(ctx context.Context, index uint64) error
	// ReadIndex returns a log index that covers all commands acknowledged before the call.
	ReadIndex(ctx context.Context) (uint64, error)
	Decisions(subject string) []Decision
	Reports() []planner.PoolReport
	// RecordDrain logs a change of a data centre and keeps it for Decisions.
	RecordDrain(name fleet.DataCentreID, drained bool, by string, index uint64)
}

// Decision is a decision about a task, request or instance, with its reason.
type Decision struct {
	At      time.Time `json:"at"`
	Event   string    `json:"event"`
	Subject string    `json:"subject"`
	Reason  string    `json:"reason"`
}

// Timeouts and size limits of the HTTP server.
const (
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 32 << 10
	readsPerSecond       = 4000 // of large bodies; a read of chunks of one byte takes 23 us to parse
	maxAnnouncementBytes = 256 << 10
	commitTimeout        = 5 * time.Second
	inForceTimeout       = 10 * time.Second
	membershipTimeout    = 60 * time.Second
	catchUpTimeout       = 2 * time.Second // longer than an election
)

// Options configures a gateway.
type Options struct {
	Entry         fleet.EntryID
	Boot          string
	Address       string
	Replica       replica
	Carrier       *carrier.Carrier
	Announcements announcements
	Leader        leader
	Messenger     *messenger.Messenger
	// OperatorKey is the bearer token of operators; without one all their requests are refused.
	OperatorKey string
	// Share is what clients may take of the memory and the connections of the process.
	Share   *budgeter.Share
	Logger  *zap.Logger
	Metrics metrics.Registry
	Clock   func() time.Duration
}

// Gateway is the HTTP server of one entry.
type Gateway struct {
	options  Options
	server   *http.Server
	listener net.Listener
	bodies   *receiver.Receiver
	done     chan struct{}
	draining atomic.Bool

	mutex    sync.Mutex
	cancels  map[fleet.RequestID]context.CancelFunc
	inFlight sync.WaitGroup
	accepted metrics.Counter
	answered metrics.Counter
	refused  metrics.Counter
}

// Start listens on the address in the options and serves until Close.
func Start(o Options) (*Gateway, error) {
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, &Error{Op: "listen on " + o.Address, Kind: KindListen, Err: err}
	}
	g := &Gateway{
		options:  o,
		listener: listener.New(l, o.Share),
		bodies:   receiver.New(readsPerSecond),
		done:     make(chan struct{}),
		cancels:  map[fleet.RequestID]context.CancelFunc{},
		accepted: metrics.GetOrRegisterCounter("requests-accepted", o.Metrics),
		answered: metrics.GetOrRegisterCounter("requests-answered", o.Metrics),
		refused:  metrics.GetOrRegisterCounter("requests-refused", o.Metrics),
	}
	g.server = &http.Server{
		Handler:           g.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(o.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	listener.Attach(g.server)
	if o.Messenger != nil {
		o.Messenger.Handle(topicCancel, g.handleCancel)
	}
	go func() {
		defer close(g.done)
		_ = g.server.Serve(g.listener)
	}()
	return g, nil
}

// Address returns the address that the gateway listens on.
func (g *Gateway) Address() string { return g.listener.Addr().String() }

// Drain refuses new requests, waits for the accepted ones to complete and shuts the server down; if ctx ends first, it returns the error of ctx.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	finished := make(chan struct{})
	go func() {
		g.inFlight.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return g.server.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections and waits for the server to stop.
func (g *Gateway) Close() error {
	g.draining.Store(true)
	err := g.server.Close()
	<-g.done
	return err
}

func (g *Gateway) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/requests", g.postRequest)
	mux.HandleFunc("GET /v1/requests/{request}", g.getRequest)
	mux.HandleFunc("DELETE /v1/requests/{request}", g.deleteRequest)
	mux.HandleFunc("PUT /v1/instances/{instance}", g.putInstance)
	mux.HandleFunc("GET /healthz", g.getHealth)
	mux.HandleFunc("GET /readyz", g.getReadiness)
	operators := map[string]http.HandlerFunc{
		"PUT /v1/config":                       g.putConfig,
		"GET /v1/config":                       g.getConfig,
		"GET /v1/keys":                         g.getKeys,
		"PUT /v1/keys/{key}":                   g.putKey,
		"DELETE /v1/keys/{key}":                g.deleteKey,
		"GET /v1/instances":                    g.getInstances,
		"POST /v1/instances/{instance}/drain":  g.drainInstance,
		"POST /v1/instances/{instance}/move":   g.moveInstance,
		"POST /v1/instances/{instance}/resume": g.resumeInstance,
		"GET /v1/pools":                        g.getPools,
		"GET /v1/data-centres":                 g.getDataCentres,
		"PUT /v1/data-centres/{name}/drain":    g.putDrain,
		"DELETE /v1/data-centres/{name}/drain": g.deleteDrain,
		"GET /v1/maintenance":                  g.getMaintenance,
		"POST /v1/maintenance/{action}":        g.postMaintenance,
		"GET /v1/members":                      g.getMembers,
		"POST /v1/members":                     g.postMembers,
		"GET /v1/decisions":                    g.getDecisions,
		"GET /v1/metrics":                      g.getMetrics,
		"GET /v1/status":                       g.getStatus,
	}
	for pattern, handler := range operators {
		mux.HandleFunc(pattern, g.requireOperator(handler))
	}
	return mux
}
