package standin

import (
	"context"
	"errors"
	"fmt"
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
	MaxLease          = 6 * time.Second
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = time.Second
	endInterval       = 5 * time.Millisecond // how late an end may be reported
	clockAtBoot       = time.Second
)

// observer takes what happens on instances; the checker implements it.
type observer interface {
	Start(at time.Duration, r checker.Run)
	End(task, job string, number uint64, e checker.Ending)
	AcknowledgeDone(task string)
}

// Fleet is all instances. One mutex orders what happens on them.
type Fleet struct {
	mutex      sync.Mutex
	started    time.Time
	observer   observer
	keepers    []string
	client     *http.Client
	instances  []*Instance
	platform   *http.Server
	address    string
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	starts     int
}

// NewFleet returns a fleet without instances. keepers are the control addresses to which instances announce themselves, and started is
// the time zero of observations.
func NewFleet(o observer, keepers []string, started time.Time) (*Fleet, error) {
	f := &Fleet{started: started, observer: o, keepers: keepers, client: &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f.address = listener.Addr().String()
	f.platform = &http.Server{Handler: http.HandlerFunc(f.servePlatform), ReadHeaderTimeout: heartbeatTimeout}
	f.goroutines.Go(func() { _ = f.platform.Serve(listener) })
	f.goroutines.Go(f.endLoop)
	return f, nil
}

// PlatformAddress is where the platform lists machines.
func (f *Fleet) PlatformAddress() string { return f.address }

// Starts returns how many runs were started.
func (f *Fleet) Starts() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.starts
}

// servePlatform lists the machines; orders to move or maintain one are refused for now.
func (f *Fleet) servePlatform(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	f.mutex.Lock()
	var machines []string
	for _, in := range f.instances {
		machines = append(machines, in.machine)
	}
	f.mutex.Unlock()
	_, _ = w.Write(machinesBody(machines))
}

// endLoop ends the runs whose work is done or whose lease is over.
func (f *Fleet) endLoop() {
	ticker := time.NewTicker(endInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.mutex.Lock()
			f.advance()
			f.mutex.Unlock()
		case <-f.ctx.Done():
			return
		}
	}
}

// advance ends what has ended by now on all instances, in the order of time. It is called before anything that is observed, so that a
// machine that stalls does not let runs outlive their leases.
func (f *Fleet) advance() time.Duration {
	now := time.Since(f.started)
	type due struct {
		at time.Duration
		in *Instance
		r  *run
	}
	var list []due
	for _, in := range f.instances {
		for _, r := range in.runs {
			if at := min(r.endsAt, in.leaseEnd); at <= now {
				list = append(list, due{at, in, r})
			}
		}
	}
	slices.SortFunc(list, func(a, b due) int { return int(a.at - b.at) })
	for _, d := range list {
		how := endedDone
		switch {
		case d.in.leaseEnd < d.r.endsAt:
			how = endedLapsed
		case d.r.fails:
			how = endedFailed
		}
		d.in.end(d.r, how)
	}
	return now
}

// Close stops all instances and waits for their goroutines.
func (f *Fleet) Close() error {
	f.cancel()
	err := f.platform.Close()
	for _, in := range f.instances {
		err = errors.Join(err, in.link.Close(), in.server.Close())
	}
	f.goroutines.Wait()
	f.client.CloseIdleConnections()
	return err
}

// Instances returns the instances.
func (f *Fleet) Instances() []*Instance { return f.instances }

// Add starts an instance in a data centre; processors are in thousandths.
func (f *Fleet) Add(id, dataCentre, rack string, processors int64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	link, err := proxy.NewStream("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	in := &Instance{fleet: f, ID: id, DataCentre: dataCentre, machine: "m-" + id, rack: rack, processors: processors, link: link, changed: make(chan struct{})}
	in.boot()
	in.server = &http.Server{
		Handler: in, ReadHeaderTimeout: MaxLease, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, bootKey{}, in.bootNumber())
		},
	}
	f.mutex.Lock()
	f.instances = append(f.instances, in)
	f.mutex.Unlock()
	f.goroutines.Go(func() { _ = in.server.Serve(listener) })
	f.goroutines.Go(in.announceLoop)
	return nil
}
