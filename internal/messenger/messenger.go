// Package messenger provides one-way messages and remote calls between processes over QUIC with mutual TLS.
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"github.com/sapphiresail/sapphiresail/internal/codec"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	KindUnreachable Kind = iota + 1
	KindRemote
	KindClosed
	KindListen
	// KindUnsent means that the message never left this process.
	KindUnsent
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "peer cannot be reached", "peer refused", "messenger is closed", "cannot listen", "message was not sent"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Topic selects the handler of a message.
type Topic uint16

// Handler handles one message or call; the result of a one-way message is discarded.
type Handler func(ctx context.Context, from fleet.EntryID, payload []byte) (any, error)

// Timeouts and size limits of connections.
const (
	dialTimeout     = time.Second            // a handshake takes two round trips of milliseconds
	idleTimeout     = 2 * time.Second        // detects a dead connection within the contact timeout of peers
	keepAlivePeriod = 700 * time.Millisecond // the connection survives two lost keep-alives
	redialInterval  = 200 * time.Millisecond
	queueCapacity   = 4096
	// maxQueuedBytes bounds the payloads queued for a peer to a tenth of the memory of a small process.
	maxQueuedBytes = 8 << 20
	maxFrameBytes  = 16 << 20
	// A reader takes frames larger than its buffer directly, and there is one for each connection.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 64 << 10
)

// Codec encodes the messages between processes as CBOR.
var Codec = codec.MustNew()

// Messenger is the endpoint of one process, for its outgoing and incoming connections.
type Messenger struct {
	self       fleet.EntryID
	advertised string
	identity   *identity.Identity
	transport  *quic.Transport
	listener   *quic.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	lastCallID atomic.Uint64

	mutex         sync.Mutex
	peers         map[fleet.EntryID]*peer
	handlers      map[Topic]Handler
	blocked       map[fleet.EntryID]bool
	resolver      func(fleet.EntryID) (string, bool)
	bytesSent     metrics.Counter
	bytesReceived metrics.Counter
}

// New listens on a UDP address, given by IP number and port, for the process named by the identity.
func New(id *identity.Identity, address string, registry metrics.Registry) (*Messenger, error) {
	udp, err := parseAddress(address)
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: KindListen, Err: err}
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: KindListen, Err: err}
	}
	transport := &quic.Transport{Conn: conn}
	listener, err := transport.Listen(id.ServerTLS(), quicConfig())
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: KindListen, Err: errors.Join(err, conn.Close())}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Messenger{
		self:          fleet.EntryID(id.Name()),
		advertised:    conn.LocalAddr().String(),
		identity:      id,
		transport:     transport,
		listener:      listener,
		ctx:           ctx,
		cancel:        cancel,
		peers:         map[fleet.EntryID]*peer{},
		handlers:      map[Topic]Handler{},
		blocked:       map[fleet.EntryID]bool{},
		bytesSent:     metrics.GetOrRegisterCounter("peer-bytes-sent", registry),
		bytesReceived: metrics.GetOrRegisterCounter("peer-bytes-received", registry),
	}
	m.goroutines.Go(m.acceptLoop)
	return m, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlivePeriod, HandshakeIdleTimeout: dialTimeout}
}

// Address returns the UDP address at which peers reach this process.
func (m *Messenger) Address() string { return m.advertised }

// Handle sets the handler of a topic; it must be called before messages of that topic arrive.
func (m *Messenger) Handle(topic Topic, h Handler) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.handlers[topic] = h
}

// SetPeer sets the address of a peer and connects to it; a new address replaces the connection.
func (m *Messenger) SetPeer(id fleet.EntryID, address string) {
	if id == m.self || address == "" || m.ctx.Err() != nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	existing := m.peers[id]
	if existing != nil && existing.address == address {
		return
	}
	if existing != nil {
		existing.cancel()
	}
	m.peers[id] = m.startPeer(id, address)
}

// SetResolver sets a function that returns the address of a peer for which SetPeer was not called.
func (m *Messenger) SetResolver(resolver func(fleet.EntryID) (string, bool)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.resolver = resolver
}

// SetBlocked drops all traffic with a peer while blocked is true; tests and the demo simulate network partitions with it.
func (m *Messenger) SetBlocked(id fleet.EntryID, blocked bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.blocked[id] = blocked
}

// learnAddress sets the address that a peer advertises, unless the resolver knows it: then a connection is made once there is
// something to send. A leader that a hundred entries call would otherwise keep a second connection to each.
func (m *Messenger) learnAddress(id fleet.EntryID, address string) {
	m.mutex.Lock()
	resolver := m.resolver
	m.mutex.Unlock()
	if resolver != nil {
		if _, known := resolver(id); known {
			return
		}
	}
	m.SetPeer(id, address)
}

func (m *Messenger) isBlocked(id fleet.EntryID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.blocked[id]
}

// Send queues a one-way message without blocking; it is dropped if the peer is unknown or disconnected or its queue is full.
func (m *Messenger) Send(to fleet.EntryID, topic Topic, message any) {
	payload, err := Codec.Encode(message)
	if err != nil {
		return
	}
	if p, ok := m.peerFor(to); ok {
		p.enqueue(frame{Topic: topic, Payload: payload})
	}
}

// Call sends a request to a peer, waits for the response and decodes it into reply. An error of KindUnsent means that the request was
// not written to a connection and never will be.
func (m *Messenger) Call(ctx context.Context, to fleet.EntryID, topic Topic, request, reply any) error {
	payload, err := Codec.Encode(request)
	if err != nil {
		return &Error{Op: "encode", Kind: KindRemote, Err: err}
	}
	p, ok := m.peerFor(to)
	if !ok {
		return unsentError("%s has no known address", to)
	}
	if p.silent() {
		return unsentError("%s does not acknowledge what was sent to it", to)
	}
	id, sent := m.lastCallID.Add(1), &delivery{}
	replies := p.addCall(id)
	defer p.removeCall(id)
	if !p.enqueue(frame{CallID: id, Topic: topic, Payload: payload, delivery: sent}) {
		return unsentError("%s: the queue is full or the link is down", to)
	}
	select {
	case f := <-replies:
		if f.ConnectionLost && sent.withdraw() {
			return unsentError("%s: the link was lost before", to)
		}
		return decodeReply(f, reply)
	case <-ctx.Done():
		if sent.withdraw() {
			return unsentError("%s: no connection was established in time", to)
		}
		p.enqueue(frame{CallID: id, Cancel: true})
		return &Error{Op: "call " + string(to), Kind: KindUnreachable, Err: ctx.Err()}
	case <-m.ctx.Done():
		return &Error{Op: "call", Kind: KindClosed}
	}
}

// unsentError returns the error of a call whose request never left this process.
func unsentError(format string, to fleet.EntryID) error {
	return &Error{Op: "call", Kind: KindUnreachable, Err: fault.New("send", KindUnsent, format, to)}
}

func decodeReply(f frame, reply any) error {
	if f.ConnectionLost {
		return fault.New("call", KindUnreachable, "the link was lost")
	}
	if f.Failure != "" {
		return fault.New("call", KindRemote, "%s", f.Failure)
	}
	if err := Codec.Decode(f.Payload, reply); err != nil {
		return &Error{Op: "decode", Kind: KindRemote, Err: err}
	}
	return nil
}

func (m *Messenger) peerFor(id fleet.EntryID) (*peer, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.blocked[id] {
		return nil, false
	}
	p, ok := m.peers[id]
	if ok || m.resolver == nil || id == m.self || m.ctx.Err() != nil {
		return p, ok
	}
	address, found := m.resolver(id)
	if !found {
		return nil, false
	}
	p = m.startPeer(id, address)
	m.peers[id] = p
	return p, true
}

func (m *Messenger) handlerFor(topic Topic) Handler {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.handlers[topic]
}

// Close closes all connections and waits for their goroutines.
func (m *Messenger) Close() error {
	m.cancel()
	err := m.listener.Close()
	m.goroutines.Wait()
	if closeErr := m.transport.Close(); err == nil {
		err = closeErr
	}
	if closeErr := m.transport.Conn.Close(); err == nil {
		err = closeErr
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close messenger: %w", err)
	}
	return nil
}
