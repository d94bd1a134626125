package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Stream is a proxy of TCP connections.
type Stream struct {
	link
	target     string
	goroutines sync.WaitGroup
	connMutex  sync.Mutex
	address    string
	listener   net.Listener
	conns      map[net.Conn]bool
	closing    bool
}

// NewStream starts a proxy that listens on an address and connects to target.
func NewStream(address, target string) (*Stream, error) {
	s := &Stream{link: newLink(), address: address, target: target, conns: map[net.Conn]bool{}}
	return s, s.listen()
}

// Address returns the address at which the proxy listens.
func (s *Stream) Address() string {
	s.connMutex.Lock()
	defer s.connMutex.Unlock()
	return s.address
}

func (s *Stream) listen() error {
	listener, err := net.Listen("tcp", s.Address())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.connMutex.Lock()
	defer s.connMutex.Unlock()
	s.listener, s.address = listener, listener.Addr().String()
	s.goroutines.Go(func() { s.accept(listener) })
	return nil
}

// Set changes the mode. With Reset the address refuses connections until the next change.
func (s *Stream) Set(m Mode) error {
	before, _, _ := s.get()
	s.set(m)
	switch {
	case m.Reset && !before.Reset:
		s.breakAll()
	case !m.Reset && before.Reset:
		return s.listen()
	}
	return nil
}

// breakAll stops listening and resets all connections.
func (s *Stream) breakAll() {
	s.connMutex.Lock()
	defer s.connMutex.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the proxy and waits for its goroutines.
func (s *Stream) Close() error {
	s.connMutex.Lock()
	s.closing = true
	s.connMutex.Unlock()
	s.close()
	s.breakAll()
	s.goroutines.Wait()
	return nil
}

func (s *Stream) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		s.goroutines.Go(func() { s.serve(client) })
	}
}

func (s *Stream) add(c net.Conn) bool {
	s.connMutex.Lock()
	defer s.connMutex.Unlock()
	if mode, _, _ := s.get(); s.closing || mode.Reset {
		_ = c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Stream) remove(c net.Conn) {
	_ = c.Close()
	s.connMutex.Lock()
	defer s.connMutex.Unlock()
	delete(s.conns, c)
}

func (s *Stream) serve(client net.Conn) {
	if !s.add(client) {
		return
	}
	defer s.remove(client)
	server, err := net.DialTimeout("tcp", s.target, time.Second)
	if err != nil || !s.add(server) {
		return
	}
	defer s.remove(server)
	var both sync.WaitGroup
	both.Go(func() { s.pump(client, server, func(m Mode) bool { return m.CutForward }) })
	both.Go(func() { s.pump(server, client, func(m Mode) bool { return m.CutBackward }) })
	both.Wait()
}

// pump copies one direction until it ends. What was read before a cut is passed on after it, also if the reader of the other side is gone:
// a request that its sender gave up arrives late.
func (s *Stream) pump(from, to net.Conn, cut func(Mode) bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !s.pass(cut) {
				break
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// pass waits until the direction is open, and for its delay. It returns false if the proxy was closed.
func (s *Stream) pass(cut func(Mode) bool) bool {
	for {
		mode, closed, changed := s.get()
		switch {
		case closed:
			return false
		case cut(mode):
			<-changed
		default:
			time.Sleep(mode.Delay)
			return true
		}
	}
}
