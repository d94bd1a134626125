package proxy_test

import (
	"net"
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

// echo sends back what arrives on a connection.
func echo(c net.Conn) {
	buffer := make([]byte, 10)
	for n, err := c.Read(buffer); err == nil; n, err = c.Read(buffer) {
		_, _ = c.Write(buffer[:n])
	}
}

// arrives reports whether a byte arrives within a time.
func arrives(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

// returns sends a byte and reports whether its echo arrives within a time.
func returns(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte{1})
	assert.NilError(t, err)
	return arrives(t, c, within)
}

// TestStreamModes guards against a fault that is reported and not injected: each mode has to hold back what it names, and only for its time.
func TestStreamModes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go echo(c)
		}
	}()
	p, err := proxy.NewStream(listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	for _, m := range []proxy.Mode{{CutForward: true}, {CutBackward: true}} {
		assert.Assert(t, returns(t, c, patience))
		assert.NilError(t, p.Set(m))
		assert.Assert(t, !returns(t, c, quiet))
		assert.NilError(t, p.Set(proxy.Mode{}))
		assert.Assert(t, arrives(t, c, patience), "what was held back arrives late")
	}
	assert.NilError(t, p.Set(proxy.Mode{Delay: quiet}))
	before := time.Now()
	assert.Assert(t, returns(t, c, patience))
	assert.Assert(t, time.Since(before) >= 2*quiet, "both directions are delayed")
	assert.NilError(t, p.Set(proxy.Mode{Reset: true}))
	assert.Assert(t, !arrives(t, c, patience), "the connection is broken")
	_, err = net.Dial("tcp", p.Address())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.NilError(t, p.Set(proxy.Mode{}))
	c, err = net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	assert.Assert(t, returns(t, c, patience))
}

// TestDatagramModes guards against packets that pass a link which is cut.
func TestDatagramModes(t *testing.T) {
	const address, target = "127.0.0.1:11901", "127.0.0.1:11902" // below the ephemeral ports
	p, err := proxy.NewDatagram(address, target, "127.0.0.1")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	local, err := net.ResolveUDPAddr("udp", target)
	assert.NilError(t, err)
	server, err := net.ListenUDP("udp", local)
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	go func() {
		for buffer := make([]byte, 10); ; {
			n, from, err := server.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = server.WriteTo(buffer[:n], from)
		}
	}()
	c, err := net.Dial("udp", address)
	assert.NilError(t, err)
	for _, m := range []proxy.Mode{{CutForward: true}, {CutBackward: true}, {Reset: true}} {
		assert.Assert(t, returns(t, c, patience))
		p.Set(m)
		assert.Assert(t, !returns(t, c, quiet), "%+v", m)
		p.Set(proxy.Mode{})
	}
	assert.Assert(t, returns(t, c, patience))
}
