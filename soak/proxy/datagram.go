package proxy

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Datagram is a proxy of the UDP packets of one client.
type Datagram struct {
	mode       atomic.Pointer[Mode]
	conns      [2]*net.UDPConn // to the client and to the target
	goroutines sync.WaitGroup
}

// NewDatagram starts a proxy that listens on an address for packets of client and sends them to target from the host of the client.
func NewDatagram(address, client, target netip.AddrPort) (*Datagram, error) {
	listening, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	sending, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(client.Addr(), 0)))
	if err != nil {
		return nil, errors.Join(err, listening.Close())
	}
	d := &Datagram{conns: [2]*net.UDPConn{listening, sending}}
	d.Set(Mode{})
	d.goroutines.Go(func() { d.pump(listening, sending, target, func(m *Mode) bool { return m.CutForward || m.Reset }) })
	d.goroutines.Go(func() { d.pump(sending, listening, client, func(m *Mode) bool { return m.CutBackward || m.Reset }) })
	return d, nil
}

// Set changes the mode.
func (d *Datagram) Set(m Mode) { d.mode.Store(&m) }

// Close stops the proxy and waits for its goroutines.
func (d *Datagram) Close() error {
	err := errors.Join(d.conns[0].Close(), d.conns[1].Close())
	d.goroutines.Wait()
	return err
}

// pump passes the packets of one direction on.
func (d *Datagram) pump(from, to *net.UDPConn, address netip.AddrPort, cut func(*Mode) bool) {
	for buffer := make([]byte, 64<<10); ; {
		n, err := from.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		m := d.mode.Load()
		switch {
		case err != nil || cut(m):
		case m.Delay == 0:
			_, _ = to.WriteToUDPAddrPort(buffer[:n], address)
		default:
			late := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(m.Delay, func() { _, _ = to.WriteToUDPAddrPort(late, address) })
		}
	}
}
