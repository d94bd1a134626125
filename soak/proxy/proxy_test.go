package proxy_test

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/soak/proxy"
)

// quiet is how long nothing must arrive for a direction to count as cut; patience bounds the wait for what must arrive.
const (
	quiet    = 100 * time.Millisecond
	patience = 20 * time.Second
)

// arrives reports whether a byte arrives within a time.
func arrives(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// passes sends a byte and reports whether it arrives within a time.
func passes(t *testing.T, from, to net.Conn, within time.Duration) bool {
	t.Helper()
	_, err := from.Write([]byte{1})
	assert.NilError(t, err)
	return arrives(t, to, within)
}

// TestStreamModes guards against a fault that is reported and not injected: each mode has to hold back what it names, and only for its time.
func TestStreamModes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	p, err := proxy.NewStream(listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	client, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	server, err := listener.Accept()
	assert.NilError(t, err)
	for m, conns := range map[proxy.Mode][2]net.Conn{{CutForward: true}: {client, server}, {CutBackward: true}: {server, client}} {
		assert.NilError(t, p.Set(m))
		assert.Assert(t, passes(t, conns[1], conns[0], patience), "only one direction is cut")
		assert.Assert(t, !passes(t, conns[0], conns[1], quiet))
		assert.NilError(t, p.Set(proxy.Mode{}))
		assert.Assert(t, arrives(t, conns[1], patience), "what was held back arrives late")
	}
	assert.NilError(t, p.Set(proxy.Mode{Delay: quiet}))
	before := time.Now()
	assert.Assert(t, passes(t, client, server, patience))
	assert.Assert(t, time.Since(before) >= quiet)
	assert.NilError(t, p.Set(proxy.Mode{Reset: true}))
	assert.Assert(t, !arrives(t, client, patience), "the connection is broken")
	_, err = net.Dial("tcp", p.Address())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.NilError(t, p.Set(proxy.Mode{}))
	_, err = net.Dial("tcp", p.Address())
	assert.NilError(t, err)
}

// TestDatagramModes guards against packets that pass a link which is cut.
func TestDatagramModes(t *testing.T) {
	at, client, server := netip.MustParseAddrPort("127.0.0.1:11901"), netip.MustParseAddrPort("127.0.0.1:11902"), netip.MustParseAddrPort("127.0.0.1:11903")
	p, err := proxy.NewDatagram(at, client, server)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	sender, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(client), net.UDPAddrFromAddrPort(at))
	assert.NilError(t, err)
	receiver, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(server))
	assert.NilError(t, err)
	for _, m := range []proxy.Mode{{CutForward: true}, {Reset: true}} {
		assert.Assert(t, passes(t, sender, receiver, patience))
		p.Set(m)
		assert.Assert(t, !passes(t, sender, receiver, quiet), "%+v", m)
		p.Set(proxy.Mode{CutBackward: true})
	}
	assert.Assert(t, passes(t, sender, receiver, patience))
}
