// Package connector keeps HTTP connections to instances and knows which boot accepted each of them. A connection ends with the boot that
// accepted it, so a request on it reaches that boot or none, although an address and an ID outlive their boots.
package connector

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fault"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindUnreachable means that no connection was made, so that no request was sent.
	KindUnreachable Kind = iota + 1
	// KindBroken means that the connection broke or the time ran out, so that the instance may have carried out the request.
	KindBroken
	// KindClosed means that the connector is closed.
	KindClosed
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "no connection", "connection broke", "connector is closed"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

const (
	defaultMaxConnections = 5
	defaultIdleTimeout    = 60 * time.Second
	maxResponseBytes      = 8 << 20
)

// Connector holds the connections to all instances.
type Connector struct {
	transport      *http.Transport
	maxConnections int
	idleTimeout    time.Duration

	mutex  sync.Mutex
	closed bool
	hosts  map[string]*host
	inUse  sync.WaitGroup
}

// host is the connections to one address.
type host struct {
	// slots has an element for each connection that is in use.
	slots chan struct{}
	// users is the number of callers that hold or wait for a slot.
	users int
	// idle connections, the most recently used last.
	idle []*Connection
}

// Option configures a Connector.
type Option func(*Connector)

// WithMaxConnections sets how many connections to one address may be in use; others wait. The default is 5.
func WithMaxConnections(n int) Option { return func(c *Connector) { c.maxConnections = n } }

// WithIdleTimeout sets after which time without a request a connection is closed. The default is 60 s.
func WithIdleTimeout(d time.Duration) Option { return func(c *Connector) { c.idleTimeout = d } }

// New returns a connector that dials with the settings of a transport, except its limits on connections.
func New(transport *http.Transport, options ...Option) *Connector {
	transport = transport.Clone()
	transport.MaxConnsPerHost = 0 // a ClientConn is not counted when it is made, but subtracted when it is closed
	c := &Connector{transport: transport, maxConnections: defaultMaxConnections, idleTimeout: defaultIdleTimeout, hosts: map[string]*host{}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes idle connections and waits until those in use are released.
func (c *Connector) Close() error {
	c.mutex.Lock()
	c.closed = true
	for _, h := range c.hosts {
		h.closeIdle(func(*Connection) bool { return true })
	}
	c.mutex.Unlock()
	c.inUse.Wait()
	return nil
}

// Acquire returns a connection to an address: one of the given boot if any is idle, else one of a later boot, else one whose boot is not known.
// Idle connections of earlier boots are closed. The caller releases the connection.
func (c *Connector) Acquire(ctx context.Context, address string, boot int64) (*Connection, error) {
	h, err := c.enter(address)
	if err != nil {
		return nil, err
	}
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		c.leave(address, h)
		return nil, &Error{Op: "acquire", Kind: KindUnreachable, Err: ctx.Err()}
	}
	if conn := c.takeIdle(h, boot); conn != nil {
		conn.expiry.Stop()
		return conn, nil
	}
	client, err := c.transport.NewClientConn(ctx, "http", address)
	if err != nil {
		<-h.slots
		c.leave(address, h)
		return nil, &Error{Op: "acquire", Kind: KindUnreachable, Err: err}
	}
	return &Connection{client: client, connector: c, host: h, address: address}, nil
}

// enter counts a user of an address.
func (c *Connector) enter(address string) (*host, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, &Error{Op: "acquire", Kind: KindClosed}
	}
	h := c.hosts[address]
	if h == nil {
		h = &host{slots: make(chan struct{}, c.maxConnections)}
		c.hosts[address] = h
	}
	h.users++
	c.inUse.Add(1)
	return h, nil
}

func (c *Connector) leave(address string, h *host) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h.users--
	if h.users == 0 && len(h.idle) == 0 {
		delete(c.hosts, address)
	}
	c.inUse.Done()
}

// takeIdle takes an idle connection of the boot, or else of the next one after it, or else one whose boot is not known. It closes those that have
// ended.
func (c *Connector) takeIdle(h *host, boot int64) *Connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h.closeIdle(func(conn *Connection) bool { return conn.boot != 0 && conn.boot < boot })
	if len(h.idle) == 0 {
		return nil
	}
	best := 0
	for i, conn := range h.idle {
		if conn.rank(boot) <= h.idle[best].rank(boot) {
			best = i
		}
	}
	taken := h.idle[best]
	h.idle = slices.Delete(h.idle, best, best+1)
	return taken
}

// closeIdle closes the idle connections that broke or that are superfluous.
func (h *host) closeIdle(superfluous func(conn *Connection) bool) {
	h.idle = slices.DeleteFunc(h.idle, func(conn *Connection) bool {
		if conn.client.Err() == nil && !superfluous(conn) {
			return false
		}
		_ = conn.client.Close()
		return true
	})
}

// expire closes a connection if it is still idle.
func (c *Connector) expire(conn *Connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := conn.host
	h.closeIdle(func(other *Connection) bool { return other == conn })
	if h.users == 0 && len(h.idle) == 0 && c.hosts[conn.address] == h {
		delete(c.hosts, conn.address)
	}
}

// release makes a connection idle, or closes it if it cannot be used again.
func (c *Connector) release(conn *Connection) {
	c.mutex.Lock()
	reusable := !c.closed && !conn.broken && conn.client.Err() == nil
	if reusable {
		conn.expiry = time.AfterFunc(c.idleTimeout, func() { c.expire(conn) })
		conn.host.idle = append(conn.host.idle, conn)
	}
	c.mutex.Unlock()
	if !reusable {
		_ = conn.client.Close()
	}
	<-conn.host.slots
	c.leave(conn.address, conn.host)
}
