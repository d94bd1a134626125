package linewriter_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/sapphiresail/sapphiresail/internal/linewriter"
)

// blockedWriter is an output that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.text.Write(p)
}

// TestWriteDoesNotBlockOnStalledReader guards against callers that wait for a log whose reader has stopped: lines must be dropped
// and counted, and Write must return.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := linewriter.New(out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 10_000 {
			_, _ = w.Write([]byte("a line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocked on a stalled reader")
	}
	assert.Assert(t, w.Dropped() > 0)
	close(out.unblock)
	assert.NilError(t, w.Close())
	assert.Assert(t, cmp.Contains(out.text.String(), "a line"))
	assert.Assert(t, cmp.Contains(out.text.String(), "log lines dropped"))
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	w := linewriter.New(&out)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	assert.Equal(t, out.String(), "one\ntwo\nthree\n")
}

// TestCloseWithinEndsOnStalledReader guards against a process that does not end because nobody reads its log, and against a panic of
// parts that still log while the process ends.
func TestCloseWithinEndsOnStalledReader(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := linewriter.New(out)
	for range 3 {
		_, _ = w.Write([]byte("a line\n"))
	}
	ended := make(chan error)
	go func() { ended <- w.CloseWithin(20 * time.Millisecond) }()
	select {
	case err := <-ended:
		assert.ErrorContains(t, err, "log output blocks")
	case <-time.After(20 * time.Second):
		t.Fatal("CloseWithin blocked on a stalled reader")
	}
	_, err := w.Write([]byte("a late line\n"))
	assert.NilError(t, err)
	close(out.unblock)
	assert.NilError(t, w.Close())
}

// TestCloseWithinWritesQueuedLines guards against the loss of the last lines at an output that accepts them, when no time is left.
func TestCloseWithinWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := linewriter.New(&out)
	for range 100 {
		_, _ = w.Write([]byte("a line\n"))
	}
	assert.NilError(t, w.CloseWithin(-time.Second))
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("a line\n")), 100)
}
