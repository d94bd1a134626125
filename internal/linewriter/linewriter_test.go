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
