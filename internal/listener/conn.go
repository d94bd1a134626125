package listener

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
)

// expired is a deadline that ends a read or write at once.
var expired = time.Unix(1, 0)

const (
	// freeHeadBytes are those of a head that its connection has room for.
	freeHeadBytes = int(budgeter.KiB)
	// headFactor is what the parsing of a byte of a head allocates at most: a field of six bytes becomes an entry of a map and a slice.
	headFactor = 24
	// writeBytes are written at a time.
	writeBytes = 16 << 10
	// maxDiscardBytes are read at most of a body that its handler has not read.
	maxDiscardBytes = 256 << 10
)

// conn is a connection with its lease.
type conn struct {
	net.Conn
	listener *Listener
	lease    *budgeter.Lease
	// inRequest is set from the end of the head of a request to the end of the answer. Before that, headBytes counts what was read of the head.
	inRequest atomic.Bool
	headBytes atomic.Int64
	// refused is set once the rest of the request will not be read.
	refused  atomic.Bool
	lingers  sync.Once
	closing  sync.Once
	closeErr error
}

// awaitHead makes the connection wait for its client's next request. Until a byte of it has come, nothing is lost if the connection is closed.
func (c *conn) awaitHead() {
	c.inRequest.Store(false)
	c.headBytes.Store(0)
	c.lease.ShrinkTo(connectionBytes)
	c.lease.Wait(true, func() { _ = c.closeNow() })
}

// setState follows the states that the server reports: active with each head that was read, idle after each answer.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inRequest.Store(true)
		c.lease.Run()
	case http.StateIdle:
		if c.refused.Load() { // the answer was begun before, so that the server does not know
			_ = c.Close()
			return
		}
		c.awaitHead()
	}
}

// Read reads from the client. What is read of a head is charged by what it takes once it is parsed; without room the read fails, and the server
// closes the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 || c.inRequest.Load() {
		return n, err
	}
	part := headLength(p[:n])
	read := int(c.headBytes.Add(int64(part)))
	if read == part {
		c.lease.Wait(false, func() { _ = c.closeNow() })
	}
	c.lease.Advance(n)
	if charged := min(part, read-freeHeadBytes); charged > 0 {
		if full := c.lease.Grow(headFactor * budgeter.Bytes(charged)); full != nil {
			return 0, full
		}
	}
	return n, err
}

// headLength returns how much of what was read belongs to a head, rather than to the body after it.
func headLength(read []byte) int {
	length := len(read)
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if i := bytes.Index(read, []byte(end)); i >= 0 {
			length = min(length, i+len(end))
		}
	}
	return length
}

// Write writes to the client in parts, each of which is progress. If the client does not read them and the lease is evicted, the connection is
// closed.
func (c *conn) Write(p []byte) (written int, err error) {
	if !c.lease.Waits() {
		c.lease.Wait(false, func() { _ = c.closeNow() })
		defer c.lease.Run()
	}
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		c.lease.Advance(n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite ends the sending side, so that the server can wait before it closes the connection.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close closes the connection. After a refusal it only ends the sending side at first, so that the client can read the answer.
func (c *conn) Close() error {
	if !c.refused.Load() {
		return c.closeNow()
	}
	c.lingers.Do(func() {
		_ = c.CloseWrite()
		c.lease.ShrinkTo(connectionBytes)
		c.lease.Wait(true, func() { _ = c.closeNow() })
		c.listener.linger(c)
	})
	return nil
}

func (c *conn) closeNow() error {
	c.closing.Do(func() {
		c.closeErr = c.Conn.Close()
		c.lease.Close()
	})
	return c.closeErr
}

// AwaitBody says that the handler of a request waits for its client to send the body. If the lease is evicted, reads fail. The returned function
// ends the wait; it returns false after an eviction.
func AwaitBody(ctx context.Context) (end func() bool) {
	c := connOf(ctx)
	if c == nil {
		return func() bool { return true }
	}
	c.lease.Wait(false, func() { _ = c.SetReadDeadline(expired) })
	return c.lease.Run
}

// discardRest reads what a handler has left of a body, as the server does before it answers. Here the client may be evicted meanwhile.
func discardRest(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil || r.ContentLength == 0 || c.refused.Load() {
		return
	}
	end := AwaitBody(r.Context())
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes) // it fails if the server has discarded the body before a long answer
	if !end() {
		StopReading(w, r)
	}
}

// StopReading says that the rest of a request will not be read. The server sends the answer and closes the connection.
func StopReading(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if c := connOf(r.Context()); c != nil {
		c.refused.Store(true)
		_ = c.SetReadDeadline(expired)
	}
}
