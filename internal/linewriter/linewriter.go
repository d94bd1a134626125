// Package linewriter writes log lines without blocking the caller: it drops and counts the lines that the output cannot keep up
// with.
package linewriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const queueCapacity = 2048 // lines; about two seconds of the log of a busy leader, half a megabyte

// Writer passes lines to a slow writer through a bounded queue.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// New returns a writer to out; Close flushes its queue.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.writeLoop()
	return w
}

// Write queues a line, or drops it if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, because a caller must not wait for the output.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// writeLoop writes queued lines until Close, and reports the number of dropped lines in the log itself.
func (w *Writer) writeLoop() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		if _, err := w.out.Write(w.coalesce(line)); err != nil {
			w.dropped.Add(1) // the write failed; keep reading so that the queue stays empty
		}
		if n := w.dropped.Load(); n > reported {
			reported = n
			_, _ = fmt.Fprintf(w.out, `{"level":"warn","msg":"log lines dropped","event":442,"count":%d}`+"\n", n)
		}
	}
}

// coalesce appends the queued lines to the first one, so that one system call writes many.
func (w *Writer) coalesce(line []byte) []byte {
	for range len(w.lines) {
		next, ok := <-w.lines
		if !ok {
			break
		}
		line = append(line, next...)
	}
	return line
}

// Close writes the queued lines and waits for that; Write must not be called afterwards.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
	return nil
}
