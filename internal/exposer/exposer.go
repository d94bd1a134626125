// Package exposer serves the counters and histograms of a process as text.
package exposer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

const readHeaderTimeout = 2 * time.Second // a reader of metrics is on the same network

// Exposer is a running server of metrics.
type Exposer struct {
	server  *http.Server
	address string
	done    chan struct{}
}

// Start serves the registry at an address, under /metrics, until Close.
func Start(address string, registry metrics.Registry) (*Exposer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("serve metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(registry, w)
	})
	e := &Exposer{server: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}, address: listener.Addr().String(), done: make(chan struct{})}
	go func() {
		defer close(e.done)
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = e.server.Shutdown(context.Background())
		}
	}()
	return e, nil
}

// Address returns where the metrics are served.
func (e *Exposer) Address() string { return e.address }

// Close ends the server and waits for it.
func (e *Exposer) Close() error {
	err := e.server.Close()
	<-e.done
	return err
}
