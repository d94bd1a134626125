package commander

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProcessEndsWhenNobodyReadsItsOutput guards against an entry that outlives its grace period, or a process that reports why it did not
// start and never ends, because its log or its error output goes to a pipe whose reader has stopped.
func TestProcessEndsWhenNobodyReadsItsOutput(t *testing.T) {
	const grace = 2 * time.Second
	dir := t.TempDir()
	peers, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	port := peers.LocalAddr().(*net.UDPAddr).Port
	assert.NilError(t, peers.Close())
	valid := filepath.Join(dir, "entry.yaml")
	text := fmt.Sprintf(`{"process":"e","address":"127.0.0.1","peer-port":%d,"seeds":["127.0.0.1:1"],"voters":3,"maximum-lease":6000,"grace":%g,"fleet-key":"%064x"}`,
		port, grace.Seconds(), 1)
	assert.NilError(t, os.WriteFile(valid, []byte(text), 0o600))
	terminations := make(chan os.Signal, 8)
	signal.Notify(terminations, syscall.SIGTERM) // keeps SIGTERM from ending the test
	defer signal.Stop(terminations)
	for _, c := range []struct {
		name, settings string
		code           int
		limit          time.Duration
	}{
		{"stopped", valid, ExitOK, grace},
		{"not started", filepath.Join(dir, "none.yaml"), ExitFailure, flushTime + exitMargin},
	} {
		t.Run(c.name, func(t *testing.T) {
			log, out := io.Pipe()
			unread, errs := io.Pipe()
			defer func() { _, _ = log.Close(), unread.Close() }()
			ended := make(chan int, 1)
			go func() { ended <- Run([]string{"entry", "--settings", c.settings}, out, errs) }()
			_, err := log.Read(make([]byte, 1)) // the start of the first line; nothing is read after it
			assert.NilError(t, err)
			startedAt := time.Now()
			assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			select {
			case code := <-ended:
				assert.Equal(t, code, c.code)
				t.Logf("ended after %s", time.Since(startedAt))
			case <-time.After(c.limit + 10*time.Second): // a busy machine delays the timers of the process
				t.Fatal("the process did not end")
			}
		})
	}
}
