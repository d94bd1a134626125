package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/daemon"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/settings"
	"github.com/sapphiresail/sapphiresail/internal/standin"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

const benchOperatorKey = "benchmark-operator-key"

const benchConfiguration = `version: 1
site: bench
data-centres: [{name: dc-1, region: r}]
customers: [{name: a, share: 1, limit: 4096}]
pools: [{name: p, minimum-available: 0}]
queues: [{name: q, pool: p, customer: a, repeatable: true, timeout: 1m}]
`

// benchCluster is a cluster of three entries and four targets of 256 slots each.
type benchCluster struct {
	daemons []*daemon.Daemon
	targets []*standin.Target
	key     string
}

func newBenchCluster(b *testing.B) *benchCluster {
	cluster := &benchCluster{key: identity.RandomHex(16)}
	fleetKey := identity.RandomHex(identity.MinKeyBytes)
	var peers []settings.Peer
	for i := range 3 {
		name := fleet.EntryID(fmt.Sprintf("entry-%d", i+1))
		process, err := daemon.Start(settings.Settings{
			Entry: name, DataCentre: "dc-1", HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", DataFolder: b.TempDir(),
			Keepers: []fleet.EntryID{"entry-1", "entry-2", "entry-3"}, Peers: peers, FleetKey: fleetKey, OperatorKey: benchOperatorKey,
		}, zap.NewNop(), daemon.WithPlatform(standin.NewPlatform(time.Second)))
		assert.NilError(b, err)
		peers = append(peers, settings.Peer{Entry: name, Address: process.PeerAddress()})
		cluster.daemons = append(cluster.daemons, process)
	}
	operator := client.New("http://"+cluster.daemons[0].Address(), benchOperatorKey)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for !cluster.daemons[0].Replicator().LeaseValid() {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(b, operator.Send(ctx, http.MethodPut, "/v1/config?wait", []byte(benchConfiguration), nil))
	grant := fmt.Appendf(nil, `{"customer":"a","sha-256":"%x"}`, state.HashKey(cluster.key))
	assert.NilError(b, operator.Send(ctx, http.MethodPut, "/v1/keys/a-1?wait", grant, nil))
	for i := range 4 {
		target, err := standin.NewTarget(fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), DataCentre: "dc-1", Rack: "r", HomePool: "p", Capacity: fleet.Resources{Slots: 256},
		}, []string{cluster.daemons[0].Address(), cluster.daemons[1].Address()}, standin.NewExecutionLog())
		assert.NilError(b, err)
		cluster.targets = append(cluster.targets, target)
	}
	ready := func() (ok bool) {
		cluster.daemons[0].Replicator().View(func(s *state.State) { ok = s.Permits["a"]["p"].Usable() > 1000 && len(s.Instances) == 4 })
		return ok
	}
	for !ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return cluster
}

func (c *benchCluster) close() {
	for _, t := range c.targets {
		_ = t.Close()
	}
	for _, d := range c.daemons {
		_ = d.Close()
	}
}

// benchmarkPosts sends b.N requests from concurrent callers and reports throughput and latency.
func benchmarkPosts(b *testing.B, url, key string, callers, size int) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	body := bytes.Repeat([]byte("x"), size)
	latencies := make([]time.Duration, b.N)
	next := make(chan int, b.N)
	for i := range b.N {
		next <- i
	}
	close(next)
	b.ResetTimer()
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for i := range next {
				sentAt := time.Now()
				r, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+key)
				r.Header.Set(carrier.HeaderAttempt, "bench")
				response, err := httpClient.Do(r)
				if err != nil {
					b.Error(err)
					return
				}
				n, err := io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if err != nil || response.StatusCode != http.StatusOK || n != int64(size) {
					b.Errorf("status %d, %d bytes, %v", response.StatusCode, n, err)
					return
				}
				latencies[i] = time.Since(sentAt)
			}
		})
	}
	group.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkPath compares an entry with a plain reverse proxy in front of the same targets.
func BenchmarkPath(b *testing.B) {
	cluster := newBenchCluster(b)
	defer cluster.close()
	addresses := cluster.addresses()
	proxy := httptest.NewServer(&httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			target, _ := url.Parse("http://" + addresses[int(time.Now().UnixNano()/1000)%len(addresses)])
			r.SetURL(target)
			r.Out.URL.Path = "/v1/tasks/bench-" + identity.RandomHex(8)
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 512},
	})
	defer proxy.Close()
	entry := "http://" + cluster.daemons[1].Address() + "/v1/queues/q/requests"
	for _, size := range []int{1 << 10, 1 << 20} {
		for _, callers := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("entry/%dB/%d", size, callers), func(b *testing.B) { benchmarkPosts(b, entry, cluster.key, callers, size) })
			b.Run(fmt.Sprintf("proxy/%dB/%d", size, callers), func(b *testing.B) { benchmarkPosts(b, proxy.URL, cluster.key, callers, size) })
		}
	}
}

func (c *benchCluster) addresses() []string {
	var list []string
	for _, t := range c.targets {
		list = append(list, t.Address())
	}
	return list
}
