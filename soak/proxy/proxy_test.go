package proxy_test

import (
	"errors"
	"io"
	"net"
	"os"
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

// startEcho returns the address of a TCP server that sends back what it gets.
func startEcho(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return listener.Addr().String()
}

// expect sends a byte and waits for its echo; it reports whether it came within a time.
func expect(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte{1})
	assert.NilError(t, err)
	return arrives(t, c, within)
}

func arrives(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := c.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	assert.NilError(t, err)
	return true
}

// TestStreamModes guards against a fault that is reported and not injected: each mode has to hold back what it names, and only for its time.
func TestStreamModes(t *testing.T) {
	p, err := proxy.NewStream("127.0.0.1:0", startEcho(t))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	assert.Assert(t, expect(t, c, patience))
	for _, m := range []proxy.Mode{{CutForward: true}, {CutBackward: true}} {
		assert.NilError(t, p.Set(m))
		assert.Assert(t, !expect(t, c, quiet))
		assert.NilError(t, p.Set(proxy.Mode{}))
		assert.Assert(t, arrives(t, c, patience), "what was held back arrives late")
	}
	assert.NilError(t, p.Set(proxy.Mode{Delay: quiet}))
	before := time.Now()
	assert.Assert(t, expect(t, c, patience))
	assert.Assert(t, time.Since(before) >= 2*quiet, "both directions are delayed")
	assert.NilError(t, p.Set(proxy.Mode{Reset: true}))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection is broken")
	_, err = net.Dial("tcp", p.Address())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.NilError(t, p.Set(proxy.Mode{}))
	c, err = net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	assert.Assert(t, expect(t, c, patience))
}

// TestDatagramModes guards against packets that pass a link which is cut.
func TestDatagramModes(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	go func() {
		buffer := make([]byte, 10)
		for {
			n, from, err := server.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = server.WriteTo(buffer[:n], from)
		}
	}()
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := free.LocalAddr().String()
	assert.NilError(t, free.Close())
	p, err := proxy.NewDatagram(address, server.LocalAddr().String(), "127.0.0.1")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	c, err := net.Dial("udp", address)
	assert.NilError(t, err)
	for _, m := range []proxy.Mode{{CutForward: true}, {CutBackward: true}, {Reset: true}} {
		assert.Assert(t, expect(t, c, patience))
		assert.NilError(t, p.Set(m))
		assert.Assert(t, !expect(t, c, quiet), "%+v", m)
		assert.NilError(t, p.Set(proxy.Mode{}))
	}
	assert.Assert(t, expect(t, c, patience))
}
