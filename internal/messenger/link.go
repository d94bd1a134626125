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

// frame is one unit on a stream.
type frame struct {
	ID      uint64 `cbor:"1,keyasint,omitempty"`
	Topic   Topic  `cbor:"2,keyasint,omitempty"`
	Reply   bool   `cbor:"3,keyasint,omitempty"`
	Cancel  bool   `cbor:"4,keyasint,omitempty"`
	Failure string `cbor:"5,keyasint,omitempty"`
	Payload []byte `cbor:"6,keyasint,omitempty"`
	Hello   string `cbor:"7,keyasint,omitempty"`
	// Lost marks, within this process, a call whose link went away.
	Lost bool `cbor:"-"`
}

// peer is the outgoing link to another process.
type peer struct {
	id      fleet.EntryID
	address string
	queue   chan frame
	cancel  context.CancelFunc

	mutex  sync.Mutex
	up     bool
	calls  map[uint64]chan frame
	queued atomic.Int64
}

func (m *Messenger) startPeer(id fleet.EntryID, address string) *peer {
	ctx, cancel := context.WithCancel(m.ctx)
	p := &peer{id: id, address: address, queue: make(chan frame, queueLength), cancel: cancel, up: true, calls: map[uint64]chan frame{}}
	m.wait.Go(func() { m.dial(ctx, p) })
	return p
}

// offer queues a frame and reports whether there was room.
func (p *peer) offer(f frame) bool {
	p.mutex.Lock()
	up := p.up
	p.mutex.Unlock()
	if !up {
		return false
	}
	if p.queued.Add(f.size()) > maxQueuedBytes {
		p.queued.Add(-f.size())
		return false
	}
	select {
	case p.queue <- f:
		return true
	default:
		p.queued.Add(-f.size())
		return false
	}
}

func (f frame) size() int64 { return int64(len(f.Payload)) }

func (p *peer) register(id uint64) chan frame {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := make(chan frame, 1)
	p.calls[id] = c
	return c
}

func (p *peer) forget(id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.calls, id)
}

func (p *peer) answer(f frame) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c := p.calls[f.ID]; c != nil {
		delete(p.calls, f.ID)
		c <- f
	}
}

// setUp marks the link; when it goes down, all open calls fail and queued frames are dropped.
func (p *peer) setUp(up bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.up = up
	if up {
		return
	}
	for id, c := range p.calls {
		delete(p.calls, id)
		c <- frame{Lost: true}
	}
	for len(p.queue) > 0 {
		p.queued.Add(-(<-p.queue).size())
	}
}

// dial keeps the link up until ctx ends.
func (m *Messenger) dial(ctx context.Context, p *peer) {
	defer p.setUp(false)
	for ctx.Err() == nil {
		m.connect(ctx, p)
		p.setUp(false)
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

func (m *Messenger) connect(ctx context.Context, p *peer) {
	udp, err := resolve(p.address)
	if err != nil {
		return
	}
	dialing, stop := context.WithTimeout(ctx, dialTimeout)
	conn, err := m.transport.Dial(dialing, udp, m.identity.Client(), quicConfig())
	stop()
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
	p.setUp(true)
	linked, done := context.WithCancel(conn.Context())
	stopAfter := context.AfterFunc(ctx, done)
	defer stopAfter()
	var readers sync.WaitGroup
	readers.Go(func() {
		defer done()
		m.readReplies(p, stream)
	})
	m.write(linked, stream, p.queue, frame{Hello: m.advertise}, func(f frame) { p.queued.Add(-f.size()) })
	done()
	stream.CancelRead(0)
	readers.Wait()
}

func (m *Messenger) readReplies(p *peer, stream io.Reader) {
	reader := bufio.NewReaderSize(stream, writeBuffer)
	for {
		f, err := m.readFrame(reader)
		if err != nil {
			return
		}
		if !m.isBlocked(p.id) {
			p.answer(f)
		}
	}
}

// write sends queued frames until ctx ends, many in one write where they wait.
//
// Each frame taken from the queue is handed to taken first.
func (m *Messenger) write(ctx context.Context, stream io.Writer, queue chan frame, first frame, taken func(frame)) {
	writer := bufio.NewWriterSize(stream, writeBuffer)
	f := first
	for {
		if err := m.writeFrame(writer, f); err != nil {
			return
		}
		select {
		case f = <-queue:
			taken(f)
			continue
		default:
		}
		if writer.Flush() != nil {
			return
		}
		select {
		case f = <-queue:
			taken(f)
		case <-ctx.Done():
			return
		}
	}
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
	m.sent.Inc(int64(len(header) + len(body)))
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
		return f, fmt.Errorf("frame of %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return f, err
	}
	m.received.Inc(int64(len(header)) + int64(n))
	return f, Codec.Decode(body, &f)
}

// accept serves incoming connections until the messenger closes.
func (m *Messenger) accept() {
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		m.wait.Go(func() { m.serve(conn) })
	}
}

// serve answers the requests of one incoming connection.
func (m *Messenger) serve(conn *quic.Conn) {
	from := fleet.EntryID(conn.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName)
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(0, "") })
	defer stop()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return
	}
	s := &session{messenger: m, from: from, replies: make(chan frame, queueLength), running: map[uint64]context.CancelFunc{}}
	var writer sync.WaitGroup
	writer.Go(func() { m.write(ctx, stream, s.replies, frame{}, func(frame) {}) })
	s.read(ctx, stream)
	cancel()
	writer.Wait()
	s.handlers.Wait()
}

// session is the serving side of one connection.
type session struct {
	messenger *Messenger
	from      fleet.EntryID
	replies   chan frame
	handlers  sync.WaitGroup

	mutex   sync.Mutex
	running map[uint64]context.CancelFunc
}

func (s *session) read(ctx context.Context, stream io.Reader) {
	reader := bufio.NewReaderSize(stream, writeBuffer)
	for {
		f, err := s.messenger.readFrame(reader)
		if err != nil {
			return
		}
		if s.messenger.isBlocked(s.from) {
			continue
		}
		s.take(ctx, f)
	}
}

func (s *session) take(ctx context.Context, f frame) {
	switch {
	case f.Hello != "":
		s.messenger.SetPeer(s.from, f.Hello)
	case f.Cancel:
		s.end(f.ID)
	case f.ID == 0:
		if h := s.messenger.handler(f.Topic); h != nil {
			_, _ = h(ctx, s.from, f.Payload)
		}
	default:
		calling, cancel := context.WithCancel(ctx)
		s.mutex.Lock()
		s.running[f.ID] = cancel
		s.mutex.Unlock()
		s.handlers.Go(func() { s.call(calling, f) })
	}
}

func (s *session) end(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cancel := s.running[id]; cancel != nil {
		cancel()
		delete(s.running, id)
	}
}

func (s *session) call(ctx context.Context, f frame) {
	defer s.end(f.ID)
	reply := frame{ID: f.ID, Reply: true}
	h := s.messenger.handler(f.Topic)
	if h == nil {
		reply.Failure = fmt.Sprintf("topic %d is not served", f.Topic)
	} else if value, err := h(ctx, s.from, f.Payload); err != nil {
		reply.Failure = err.Error()
	} else if reply.Payload, err = Codec.Encode(value); err != nil {
		reply.Failure = err.Error()
	}
	select {
	case s.replies <- reply:
	case <-ctx.Done():
	}
}
