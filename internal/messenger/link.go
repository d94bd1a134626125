package messenger

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// frame is one length-prefixed message on a stream; one-way messages have no CallID.
type frame struct {
	CallID            uint64 `cbor:"1,keyasint,omitempty"`
	Topic             Topic  `cbor:"2,keyasint,omitempty"`
	Reply             bool   `cbor:"3,keyasint,omitempty"`
	Cancel            bool   `cbor:"4,keyasint,omitempty"`
	Failure           string `cbor:"5,keyasint,omitempty"`
	Payload           []byte `cbor:"6,keyasint,omitempty"`
	AdvertisedAddress string `cbor:"7,keyasint,omitempty"`
	// ConnectionLost marks a call whose connection was closed before its reply; it is set only within this process.
	ConnectionLost bool `cbor:"-"`
	// delivery is set for calls that this process makes.
	delivery *delivery
}

// peer is the outgoing connection to another process.
type peer struct {
	id      fleet.EntryID
	address string
	queue   *queue[frame]
	cancel  context.CancelFunc

	mutex        sync.Mutex
	connected    bool
	pendingCalls map[uint64]chan frame
	queuedBytes  atomic.Int64
	// connection is the current connection, if there is one, and silence belongs to it.
	connection *quic.Conn
	silence    *silenceDetector
}

func (m *Messenger) startPeer(id fleet.EntryID, address string) *peer {
	ctx, cancel := context.WithCancel(m.ctx)
	p := &peer{id: id, address: address, queue: newQueue[frame](queueCapacity), cancel: cancel, connected: true, pendingCalls: map[uint64]chan frame{}}
	m.goroutines.Go(func() { m.keepConnected(ctx, p) })
	return p
}

// silent reports whether the peer has stopped acknowledging what is written to its connection.
func (p *peer) silent() bool {
	p.mutex.Lock()
	connection, silence := p.connection, p.silence
	p.mutex.Unlock()
	return connection != nil && silence.silent(time.Now(), connection.ConnectionStats().PacketsReceived)
}

// recordWrite records that a frame was taken from the queue to be written.
func (p *peer) recordWrite(f frame) {
	p.queuedBytes.Add(-f.size())
	if f.delivery == nil {
		return
	}
	p.mutex.Lock()
	connection, silence := p.connection, p.silence
	p.mutex.Unlock()
	if connection != nil {
		silence.recordWrite(time.Now(), connection.ConnectionStats().PacketsReceived)
	}
}

// enqueue queues a frame for sending; it reports false if the peer is disconnected or its queue is full.
func (p *peer) enqueue(f frame) bool {
	p.mutex.Lock()
	connected := p.connected
	p.mutex.Unlock()
	if !connected {
		return false
	}
	if p.queuedBytes.Add(f.size()) > maxQueuedBytes {
		p.queuedBytes.Add(-f.size())
		return false
	}
	if !p.queue.push(f) {
		p.queuedBytes.Add(-f.size())
		return false
	}
	return true
}

func (f frame) size() int64 { return int64(len(f.Payload)) }

func (p *peer) addCall(id uint64) chan frame {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	reply := make(chan frame, 1)
	p.pendingCalls[id] = reply
	return reply
}

func (p *peer) removeCall(id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pendingCalls, id)
}

func (p *peer) completeCall(f frame) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if reply := p.pendingCalls[f.CallID]; reply != nil {
		delete(p.pendingCalls, f.CallID)
		reply <- f
	}
}

// setConnection sets the established connection.
func (p *peer) setConnection(c *quic.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connected, p.connection, p.silence = true, c, &silenceDetector{}
}

// disconnect marks the peer as disconnected. All pending calls fail and queued frames are dropped.
func (p *peer) disconnect() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connected, p.connection = false, nil
	for id, reply := range p.pendingCalls {
		delete(p.pendingCalls, id)
		reply <- frame{ConnectionLost: true}
	}
	for _, f := range p.queue.take() {
		p.queuedBytes.Add(-f.size())
	}
}

// keepConnected connects to the peer, and reconnects after failures, until ctx ends.
func (m *Messenger) keepConnected(ctx context.Context, p *peer) {
	defer p.disconnect()
	for ctx.Err() == nil {
		m.connect(ctx, p)
		p.disconnect()
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

func (m *Messenger) connect(ctx context.Context, p *peer) {
	udp, err := parseAddress(p.address)
	if err != nil {
		return
	}
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	conn, err := m.transport.Dial(dialCtx, udp, m.identity.ClientTLS(), quicConfig())
	cancelDial()
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	if name := conn.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName; name != string(p.id) {
		return
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	p.setConnection(conn)
	connCtx, disconnect := context.WithCancel(conn.Context())
	stopWatching := context.AfterFunc(ctx, disconnect)
	defer stopWatching()
	var readers sync.WaitGroup
	readers.Go(func() {
		defer disconnect()
		m.readReplies(p, stream)
	})
	m.writeLoop(connCtx, stream, p.queue, frame{AdvertisedAddress: m.advertised}, p.recordWrite)
	disconnect()
	stream.CancelRead(0)
	readers.Wait()
}

func (m *Messenger) readReplies(p *peer, stream io.Reader) {
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	for {
		f, err := m.readFrame(reader)
		if err != nil {
			return
		}
		if !m.isBlocked(p.id) {
			p.completeCall(f)
		}
	}
}

// writeLoop writes the first frame and then queued frames until ctx ends; frames that are already queued share a flush.
//
// onWrite is called with each frame that was taken from the queue, before it is written or after the stream has failed.
func (m *Messenger) writeLoop(ctx context.Context, stream io.Writer, frames *queue[frame], first frame, onWrite func(frame)) {
	if m.writeFrames(stream, []frame{first}, func(frame) {}) != nil {
		return
	}
	for {
		select {
		case <-frames.ready:
		case <-ctx.Done():
			return
		}
		for list := frames.take(); len(list) > 0; list = frames.take() {
			if m.writeFrames(stream, list, onWrite) != nil {
				return
			}
			frames.recycle(list)
		}
	}
}

// writeBuffers are shared by the connections, of which few write at a time.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func (m *Messenger) writeFrames(stream io.Writer, list []frame, onWrite func(frame)) error {
	writer := writeBuffers.Get().(*bufio.Writer)
	writer.Reset(stream)
	defer func() {
		writer.Reset(nil)
		writeBuffers.Put(writer)
	}()
	var err error
	for _, f := range list {
		onWrite(f)
		if err == nil && f.delivery.beginWrite() {
			err = m.writeFrame(writer, f)
		}
	}
	if err != nil {
		return err
	}
	return writer.Flush()
}

func (m *Messenger) writeFrame(w io.Writer, f frame) error {
	body, err := Codec.Encode(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	var header [4]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(body)))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err = w.Write(body)
	m.bytesSent.Inc(int64(len(header) + len(body)))
	return err
}

func (m *Messenger) readFrame(r io.Reader) (frame, error) {
	var header [4]byte
	var f frame
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return f, err
	}
	n := binary.LittleEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return f, fmt.Errorf("frame too large: %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return f, err
	}
	m.bytesReceived.Inc(int64(len(header)) + int64(n))
	return f, Codec.Decode(body, &f)
}

// acceptLoop accepts connections, and serves each in its own goroutine, until the messenger closes.
func (m *Messenger) acceptLoop() {
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		m.goroutines.Go(func() { m.serveConn(conn) })
	}
}

// serveConn handles the messages and calls of one incoming connection.
func (m *Messenger) serveConn(conn *quic.Conn) {
	peer := fleet.EntryID(conn.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName)
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	stopWatching := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(0, "") })
	defer stopWatching()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return
	}
	s := &session{messenger: m, peer: peer, replies: newQueue[frame](0), cancels: map[uint64]context.CancelFunc{}}
	var writer sync.WaitGroup
	writer.Go(func() { m.writeLoop(ctx, stream, s.replies, frame{}, func(frame) {}) })
	s.readLoop(ctx, stream)
	cancel()
	writer.Wait()
	s.handlers.Wait()
}

// session is the server side of one incoming connection.
type session struct {
	messenger *Messenger
	peer      fleet.EntryID
	// replies has no limit: a handler that waited for room would take more memory than its reply.
	replies  *queue[frame]
	handlers sync.WaitGroup

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (s *session) readLoop(ctx context.Context, stream io.Reader) {
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	for {
		f, err := s.messenger.readFrame(reader)
		if err != nil {
			return
		}
		if s.messenger.isBlocked(s.peer) {
			continue
		}
		s.dispatch(ctx, f)
	}
}

func (s *session) dispatch(ctx context.Context, f frame) {
	switch {
	case f.AdvertisedAddress != "":
		s.messenger.learnAddress(s.peer, f.AdvertisedAddress)
	case f.Cancel:
		s.cancelCall(f.CallID)
	case f.CallID == 0:
		if handler := s.messenger.handlerFor(f.Topic); handler != nil {
			_, _ = handler(ctx, s.peer, f.Payload)
		}
	default:
		callCtx, cancel := context.WithCancel(ctx)
		s.mutex.Lock()
		s.cancels[f.CallID] = cancel
		s.mutex.Unlock()
		s.handlers.Go(func() { s.handleCall(callCtx, f) })
	}
}

func (s *session) cancelCall(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cancel := s.cancels[id]; cancel != nil {
		cancel()
		delete(s.cancels, id)
	}
}

func (s *session) handleCall(ctx context.Context, f frame) {
	defer s.cancelCall(f.CallID)
	reply := frame{CallID: f.CallID, Reply: true}
	handler := s.messenger.handlerFor(f.Topic)
	if handler == nil {
		reply.Failure = fmt.Sprintf("topic %d is not served", f.Topic)
	} else if value, err := handler(ctx, s.peer, f.Payload); err != nil {
		reply.Failure = err.Error()
	} else if reply.Payload, err = Codec.Encode(value); err != nil {
		reply.Failure = err.Error()
	}
	s.replies.push(reply)
}
