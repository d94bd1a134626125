package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Datagram is a proxy of UDP packets.
type Datagram struct {
	link
	conn       *net.UDPConn
	target     *net.UDPAddr
	source     net.IP
	goroutines sync.WaitGroup
	mutex      sync.Mutex
	sessions   map[string]*net.UDPConn
}

// NewDatagram starts a proxy that listens on an address and sends to target from the address source, so that the target sees the
// host of the client.
func NewDatagram(address, target, source string) (*Datagram, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	remote, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d := &Datagram{link: newLink(), conn: conn, target: remote, source: net.ParseIP(source), sessions: map[string]*net.UDPConn{}}
	d.goroutines.Go(d.forward)
	return d, nil
}

// Set changes the mode. With Reset the packets of later connections leave from other ports, as behind a translated address that has changed.
func (d *Datagram) Set(m Mode) error {
	d.set(m)
	if m.Reset {
		d.closeSessions()
	}
	return nil
}

// Close stops the proxy and waits for its goroutines.
func (d *Datagram) Close() error {
	d.close()
	err := d.conn.Close()
	d.closeSessions()
	d.goroutines.Wait()
	return err
}

func (d *Datagram) closeSessions() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for key, s := range d.sessions {
		_ = s.Close()
		delete(d.sessions, key)
	}
}

func (d *Datagram) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, client, err := d.conn.ReadFromUDP(buffer)
		if err != nil {
			if _, closed, _ := d.get(); closed {
				return
			}
			continue // a refused packet of an earlier write
		}
		mode, _, _ := d.get()
		if mode.CutForward || mode.Reset {
			continue
		}
		if s := d.session(client); s != nil {
			deliver(mode.Delay, buffer[:n], func(packet []byte) { _, _ = s.Write(packet) })
		}
	}
}

// deliver writes a packet, after a delay if there is one.
func deliver(delay time.Duration, packet []byte, write func([]byte)) {
	if delay == 0 {
		write(packet)
		return
	}
	late := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() { write(late) })
}

// session returns the connection to the target for the packets of a client, or nil if there can be none.
func (d *Datagram) session(client *net.UDPAddr) *net.UDPConn {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s := d.sessions[client.String()]; s != nil {
		return s
	}
	if _, closed, _ := d.get(); closed {
		return nil
	}
	s, err := net.DialUDP("udp", &net.UDPAddr{IP: d.source}, d.target)
	if err != nil {
		return nil
	}
	d.sessions[client.String()] = s
	d.goroutines.Go(func() { d.backward(s, client) })
	return s
}

func (d *Datagram) backward(s *net.UDPConn, client *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := s.Read(buffer)
		if err != nil {
			if d.gone(s, client) {
				return
			}
			time.Sleep(time.Millisecond) // the target is down: its host refuses packets
			continue
		}
		mode, _, _ := d.get()
		if mode.CutBackward || mode.Reset {
			continue
		}
		deliver(mode.Delay, buffer[:n], func(packet []byte) { _, _ = d.conn.WriteToUDP(packet, client) })
	}
}

func (d *Datagram) gone(s *net.UDPConn, client *net.UDPAddr) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.sessions[client.String()] != s
}
