package main

import (
	"net"
	"sync"
	"time"
)

const bufferBytes = 64 << 10

// front is the address at which a worker is reached. While it is silent, as that of a machine without power or behind a partition, it passes
// nothing on, and what is sent to it is lost. The connections that it had then stay silent; bytes on them reset them once it answers again.
type front struct {
	address, backend string
	mutex            sync.Mutex
	listener         net.Listener
	silent           bool
	conns            map[net.Conn]bool // true for those that stay silent
}

func newFront(address, backend string) (*front, error) {
	f := &front{address: address, backend: backend, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f.listener, f.address = listener, listener.Addr().String()
	go f.accept()
	return f, nil
}

func (f *front) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mutex.Lock()
		f.conns[c] = f.silent
		f.mutex.Unlock()
		go f.serve(c)
	}
}

// setSilent changes the mode.
func (f *front) setSilent(silent bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.silent = silent
	if silent {
		for c := range f.conns {
			f.conns[c] = true
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// open reports whether bytes of a connection may be passed on.
func (f *front) open(c net.Conn) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	doomed, exists := f.conns[c]
	return exists && !doomed
}

func (f *front) isSilent() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.silent
}

func (f *front) serve(client net.Conn) {
	defer func() {
		f.mutex.Lock()
		delete(f.conns, client)
		f.mutex.Unlock()
		_ = client.Close()
	}()
	if !f.open(client) {
		f.swallow(client)
		return
	}
	server, err := net.DialTimeout("tcp", f.backend, time.Second)
	if err != nil {
		return
	}
	go f.answer(server, client)
	defer func() { _ = server.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := client.Read(buffer)
		if err != nil {
			return
		}
		if !f.open(client) {
			if !f.isSilent() {
				reset(client)
				return
			}
			f.swallow(client)
			return
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// answer passes on what a server sends while the connection of its client is open.
func (f *front) answer(server, client net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := server.Read(buffer)
		if !f.open(client) {
			return // the client learns nothing
		}
		if err != nil {
			_ = client.Close()
			return
		}
		if _, err := client.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// swallow reads what a client sends on a silent connection until the client gives up, or resets it after the silence.
func (f *front) swallow(client net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		if _, err := client.Read(buffer); err != nil {
			return
		}
		if !f.isSilent() {
			reset(client)
			return
		}
	}
}

func (f *front) close() {
	_ = f.listener.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}
