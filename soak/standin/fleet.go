package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/checker"
	"github.com/sapphiresail/sapphiresail/soak/proxy"
)

// Timing of the stand-ins.
const (
	// MaxLease is the longest lease that instances grant.
	MaxLease         = 6 * time.Second
	announceInterval = 400 * time.Millisecond
	announceTimeout  = time.Second
	endInterval      = 5 * time.Millisecond // how late an end may be reported
	clockAtBoot      = time.Second
)

// observer takes what happens on instances; the checker implements it.
type observer interface {
	Start(at time.Duration, r checker.Run)
	End(r checker.Run, e checker.Ending)
	AcknowledgeDone(task string)
}

// Fleet is all instances, and the platform that lists them. One mutex orders what happens.
type Fleet struct {
	mutex      sync.Mutex
	started    time.Time
	observer   observer
	keepers    []string
	client     *http.Client
	instances  []*Instance
	servers    []*http.Server
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// PlatformAddress is where the platform takes orders and lists machines.
	PlatformAddress string
}

// NewFleet returns a fleet without instances. keepers are the control addresses to which instances announce themselves, and started is
// the time zero of observations.
func NewFleet(o observer, keepers []string, started time.Time) (*Fleet, error) {
	f := &Fleet{started: started, observer: o, keepers: keepers, client: &http.Client{Timeout: announceTimeout}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.goroutines.Go(f.endLoop)
	address, err := f.serve(&http.Server{Handler: http.HandlerFunc(f.servePlatform), ReadHeaderTimeout: MaxLease})
	f.PlatformAddress = address
	return f, err
}

// serve starts a server on a free port.
func (f *Fleet) serve(s *http.Server) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.servers = append(f.servers, s)
	f.goroutines.Go(func() { _ = s.Serve(listener) })
	return listener.Addr().String(), nil
}

// Add starts an instance in a data centre; processors are in thousandths.
func (f *Fleet) Add(id, dataCentre string, processors int64) error {
	in := &Instance{fleet: f, ID: id, DataCentre: dataCentre, processors: processors, changed: make(chan struct{})}
	in.boot()
	// An order is for the boot that accepted its connection.
	address, err := f.serve(&http.Server{Handler: in, ReadHeaderTimeout: MaxLease, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, bootKey{}, in.accept())
	}})
	if err != nil {
		return err
	}
	if in.link, err = proxy.NewStream(address); err != nil {
		return err
	}
	defer f.lock()()
	f.instances = append(f.instances, in)
	f.goroutines.Go(in.announceLoop)
	return nil
}

// lock locks the fleet and returns the function that unlocks it.
func (f *Fleet) lock() (unlock func()) {
	f.mutex.Lock()
	return f.mutex.Unlock
}

// Instances returns the instances.
func (f *Fleet) Instances() []*Instance {
	defer f.lock()()
	return slices.Clone(f.instances)
}

// servePlatform lists the machines; orders to move or maintain one are refused for now.
func (f *Fleet) servePlatform(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	_, _ = w.Write(machineList(f.Instances()))
}

// endLoop ends the runs whose work is done or whose lease is over.
func (f *Fleet) endLoop() {
	for f.ctx.Err() == nil {
		time.Sleep(endInterval)
		unlock := f.lock()
		f.advance()
		unlock()
	}
}

// advance ends what has ended by now on all instances. It is called before anything that is observed, so that a machine that stalls does not
// let runs outlive their leases.
func (f *Fleet) advance() time.Duration {
	now := time.Since(f.started)
	for _, in := range f.instances {
		for _, r := range in.runs {
			switch {
			case min(r.endsAt, in.leaseEnd) > now:
			case in.leaseEnd < r.endsAt:
				in.end(r, endedLapsed)
			case r.fails:
				in.end(r, endedFailed)
			default:
				in.end(r, endedDone)
			}
		}
	}
	return now
}

// Close stops all instances and waits for their goroutines.
func (f *Fleet) Close() error {
	f.cancel()
	var err error
	for _, in := range f.Instances() {
		err = errors.Join(err, in.link.Close())
	}
	for _, s := range f.servers {
		err = errors.Join(err, s.Close())
	}
	f.goroutines.Wait()
	f.client.CloseIdleConnections()
	return err
}
