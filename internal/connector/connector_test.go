package connector_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/connector"
)

// server counts its connections and answers with a body after an optional delay.
type server struct {
	http     *httptest.Server
	address  string
	mutex    sync.Mutex
	accepted []net.Conn
	closed   int
	body     string
	delay    time.Duration
}

func startServer(t *testing.T) *server {
	s := &server{body: "ok"}
	s.http = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(s.delay):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, s.body)
	}))
	s.http.Config.ConnState = func(c net.Conn, state http.ConnState) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		switch state {
		case http.StateNew:
			s.accepted = append(s.accepted, c)
		case http.StateClosed:
			s.closed++
		}
	}
	s.http.Start()
	t.Cleanup(s.http.Close)
	s.address = strings.TrimPrefix(s.http.URL, "http://")
	return s
}

func (s *server) connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.accepted)
}

func (s *server) open() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.accepted) - s.closed
}

// breakConnections resets all connections.
func (s *server) breakConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.accepted {
		_ = c.Close()
	}
}

func (s *server) request(ctx context.Context, t *testing.T) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/", strings.NewReader("x"))
	assert.NilError(t, err)
	return r
}

// acquire returns a connection for a boot and fails the test if there is none.
func acquire(t *testing.T, c *connector.Connector, s *server, boot int64) *connector.Connection {
	t.Helper()
	conn, err := c.Acquire(t.Context(), s.address, boot)
	assert.NilError(t, err)
	return conn
}

// exchange sends a request on a connection and binds the connection to a boot.
func exchange(t *testing.T, s *server, conn *connector.Connection, boot int64) {
	t.Helper()
	status, body, err := conn.Do(s.request(t.Context(), t))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, string(body), s.body)
	conn.Bind(boot)
}

// TestConnectionsAreReusedByBoot guards against a request on a connection to another boot, and against a new connection for each request.
func TestConnectionsAreReusedByBoot(t *testing.T) {
	s := startServer(t)
	c := connector.New(&http.Transport{})
	for i, step := range []struct {
		boot, found, bind int64
		connections       int
	}{
		{boot: 5, found: 0, bind: 5, connections: 1}, // a new connection
		{boot: 5, found: 5, bind: 5, connections: 1},
		{boot: 4, found: 5, bind: 5, connections: 1}, // a later boot has answered
		{boot: 6, found: 0, bind: 6, connections: 2}, // the connection of boot 5 is closed
		{boot: 5, found: 6, bind: 6, connections: 2},
		{boot: 0, found: 6, bind: 6, connections: 2}, // any boot
	} {
		conn := acquire(t, c, s, step.boot)
		assert.Equal(t, conn.Boot(), step.found, "step %d", i)
		exchange(t, s, conn, step.bind)
		conn.Release()
		assert.Equal(t, s.connections(), step.connections, "step %d", i)
	}
	assert.NilError(t, c.Close())
}

// TestBrokenConnectionIsNotReused guards against a connection that counts as one of a boot after it has ended with the boot.
func TestBrokenConnectionIsNotReused(t *testing.T) {
	s := startServer(t)
	c := connector.New(&http.Transport{})
	conn := acquire(t, c, s, 5)
	exchange(t, s, conn, 5)
	s.breakConnections()
	_, _, err := conn.Do(s.request(t.Context(), t))
	assert.Assert(t, errors.Is(err, connector.KindBroken), "%v", err)
	conn.Release()
	conn = acquire(t, c, s, 5)
	assert.Equal(t, conn.Boot(), int64(0))
	exchange(t, s, conn, 6)
	conn.Release()
	s.breakConnections()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		conn = acquire(t, c, s, 6)
		boot := conn.Boot()
		conn.Release()
		if boot == 0 {
			break // the connector has noticed the end of the idle connection
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, acquireAndRelease(t, c, s, 6), int64(0))
	assert.NilError(t, c.Close())
}

func acquireAndRelease(t *testing.T, c *connector.Connector, s *server, boot int64) int64 {
	conn := acquire(t, c, s, boot)
	defer conn.Release()
	return conn.Boot()
}

// TestTimedOutRequestEndsItsConnection guards against a late response that is taken for the one to the next request.
func TestTimedOutRequestEndsItsConnection(t *testing.T) {
	s := startServer(t)
	c := connector.New(&http.Transport{})
	conn := acquire(t, c, s, 5)
	exchange(t, s, conn, 5)
	s.delay = time.Minute
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, _, err := conn.Do(s.request(ctx, t))
	assert.Assert(t, errors.Is(err, connector.KindBroken) && errors.Is(err, context.DeadlineExceeded), "%v", err)
	conn.Release()
	assert.Equal(t, acquireAndRelease(t, c, s, 5), int64(0))
	assert.NilError(t, c.Close())
}

// TestConnectionsInUseAreBounded guards against more connections to an instance than it accepts, and against a caller that waits for one beyond
// its time.
func TestConnectionsInUseAreBounded(t *testing.T) {
	s := startServer(t)
	c := connector.New(&http.Transport{}, connector.WithMaxConnections(2))
	first, second := acquire(t, c, s, 5), acquire(t, c, s, 5)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := c.Acquire(ctx, s.address, 5)
	assert.Assert(t, errors.Is(err, connector.KindUnreachable) && errors.Is(err, context.DeadlineExceeded), "%v", err)
	exchange(t, s, first, 5)
	first.Release()
	third := acquire(t, c, s, 5)
	assert.Equal(t, third.Boot(), int64(5))
	third.Release()
	second.Release()
	assert.NilError(t, c.Close())
}

// TestRefusedConnectionIsUnreachable guards against a request that counts as possibly sent although nothing listens.
func TestRefusedConnectionIsUnreachable(t *testing.T) {
	s := startServer(t)
	s.http.Close()
	c := connector.New(&http.Transport{})
	_, err := c.Acquire(t.Context(), s.address, 5)
	assert.Assert(t, errors.Is(err, connector.KindUnreachable), "%v", err)
	assert.NilError(t, c.Close())
}

// TestIdleConnectionsExpire guards against connections to instances that are gone, to which no request is sent any more.
func TestIdleConnectionsExpire(t *testing.T) {
	s := startServer(t)
	c := connector.New(&http.Transport{}, connector.WithIdleTimeout(time.Millisecond))
	conn := acquire(t, c, s, 5)
	exchange(t, s, conn, 5)
	conn.Release()
	for end := time.Now().Add(10 * time.Second); s.open() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "an idle connection stays open")
	}
	assert.Equal(t, acquireAndRelease(t, c, s, 5), int64(0))
	assert.NilError(t, c.Close())
}

// TestConnectionWithoutBootIsReused guards against a new connection for each request to an instance that does not name its boot, as an unhealthy one.
func TestConnectionWithoutBootIsReused(t *testing.T) {
	s := startServer(t)
	c := connector.New(&http.Transport{MaxConnsPerHost: 1})
	for range 5 {
		conn := acquire(t, c, s, 5)
		exchange(t, s, conn, 0)
		conn.Release()
	}
	assert.Equal(t, s.connections(), 1)
	assert.NilError(t, c.Close())
}

// TestCloseWaits guards against a request that goes on after the process is said to have stopped.
func TestCloseWaits(t *testing.T) {
	s := startServer(t)
	c := connector.New(&http.Transport{})
	conn := acquire(t, c, s, 5)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = c.Close()
	}()
	for {
		other, err := c.Acquire(t.Context(), s.address, 5)
		if errors.Is(err, connector.KindClosed) {
			break
		}
		assert.NilError(t, err)
		other.Release()
	}
	select {
	case <-closed:
		t.Fatal("closed while a connection is in use")
	case <-time.After(20 * time.Millisecond):
	}
	exchange(t, s, conn, 5)
	conn.Release()
	<-closed
}

// Example shows how a caller finds out which boot a connection leads to.
func Example() {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "1796584427076") }))
	defer s.Close()
	c := connector.New(&http.Transport{})
	defer func() { _ = c.Close() }()
	conn, err := c.Acquire(context.Background(), strings.TrimPrefix(s.URL, "http://"), 1796584427076)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Release()
	fmt.Println("boot before the first response:", conn.Boot())
	request, _ := http.NewRequest(http.MethodGet, s.URL, nil)
	_, body, _ := conn.Do(request)
	var boot int64
	_, _ = fmt.Sscan(string(body), &boot)
	conn.Bind(boot)
	fmt.Println("boot after it:", conn.Boot())
	// Output:
	// boot before the first response: 0
	// boot after it: 1796584427076
}
