// Package exposer serves the metrics of a process over HTTP as text.
package exposer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/listener"
)

// Limits of the server; its clients are on the same network.
const (
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 5 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 4 << 10
)

// Exposer is a running metrics server.
type Exposer struct {
	server  *http.Server
	address string
	done    chan struct{}
}

// Start serves a registry at /metrics on an address until Close. The clients share a part of the budget of the process.
func Start(address string, registry metrics.Registry, share *budgeter.Share) (*Exposer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("serve metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(registry, w)
	})
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	listener.Attach(server)
	e := &Exposer{server: server, address: l.Addr().String(), done: make(chan struct{})}
	go func() {
		defer close(e.done)
		if err := e.server.Serve(listener.New(l, share)); !errors.Is(err, http.ErrServerClosed) {
			_ = e.server.Shutdown(context.Background())
		}
	}()
	return e, nil
}

// Address returns the address that the server listens on, which differs from that given to Start if its port was zero.
func (e *Exposer) Address() string { return e.address }

// Close stops the server and waits for its goroutine.
func (e *Exposer) Close() error {
	err := e.server.Close()
	<-e.done
	return err
}
