// Package listener accepts connections of HTTP clients within a share of the budget of the process.
package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
)

const (
	// connectionBytes is what an idle connection takes: two buffers of 4 KiB, a goroutine and what the server keeps of it.
	connectionBytes = 16 * budgeter.KiB
	// lingerTime is how long a client has to read a refusal before its connection is closed with bytes that were not read, which resets it.
	lingerTime = 250 * time.Millisecond
	// refusalTimeout bounds the time for the refusal of a connection, which delays those after it.
	refusalTimeout = time.Millisecond
)

// refusal is sent on connections for which there is no room.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"

// Listener accepts connections as long as its share has room. If it has none, the connections go first of which the client makes no progress.
type Listener struct {
	net.Listener
	share      *budgeter.Share
	goroutines sync.WaitGroup

	mutex     sync.Mutex
	closed    bool
	lingering map[*conn]bool
}

// New returns a listener that accepts the connections of another one.
func New(l net.Listener, share *budgeter.Share) *Listener {
	return &Listener{Listener: l, share: share, lingering: map[*conn]bool{}}
}

// Attach makes a server report the progress of its connections to the listener that it serves. The server must have its handler.
func Attach(s *http.Server) {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		discardRest(w, r)
	})
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

type connKey struct{}

// connOf returns the connection of a request, or nil if it came over another listener.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// LeaseOf returns the lease of the connection of a request, or nil if it came over another listener.
func LeaseOf(ctx context.Context) *budgeter.Lease {
	if c := connOf(ctx); c != nil {
		return c.lease
	}
	return nil
}

// Accept returns the next connection for which there is room, and refuses the others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		lease, err := l.share.Connect(connectionBytes)
		if err != nil {
			refuse(accepted)
			continue
		}
		c := &conn{Conn: accepted, listener: l, lease: lease}
		c.awaitHead()
		return c, nil
	}
}

// refuse tells the client when to return. It reads what has arrived, since unread bytes would reset the connection before the answer is read.
func refuse(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(refusal))
	var head [budgeter.KiB]byte
	_, _ = c.Read(head[:])
	_ = c.Close()
}

// Close stops the listener and waits for connections that are about to be closed.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mutex.Lock()
	l.closed = true
	for c := range l.lingering {
		_ = c.closeNow()
	}
	l.mutex.Unlock()
	l.goroutines.Wait()
	return err
}

// linger closes a connection once its client has ended it, or had lingerTime to read the answer. What the client sends meanwhile is discarded:
// one that writes its whole request before it reads would otherwise wait for room and find a reset.
func (l *Listener) linger(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		_ = c.closeNow()
		return
	}
	l.lingering[c] = true
	l.goroutines.Go(func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		var discarded [4 * budgeter.KiB]byte
		for {
			if _, err := c.Conn.Read(discarded[:]); err != nil {
				break
			}
		}
		_ = c.closeNow()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.lingering, c)
	})
}
