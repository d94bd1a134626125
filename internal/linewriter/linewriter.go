// Package linewriter writes log lines without blocking the caller: it drops and counts the lines that the output cannot keep up
// with.
package linewriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const queueCapacity = 2048 // lines; about two seconds of the log of a busy leader, half a megabyte

// minFlushTime is what CloseWithin waits even if no time is left, so that an output that accepts data gets the last lines.
const minFlushTime = 50 * time.Millisecond

// Writer passes lines to a slow writer through a bounded queue.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// New returns a writer to out; Close flushes its queue.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go w.writeLoop()
	return w
}

// Write queues a line, or drops it if the queue is full. Lines that are queued after Close are not written.
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
	for {
		select {
		case line := <-w.lines:
			reported = w.writeLines(line, reported)
			continue
		case <-w.closing:
		}
		select {
		case line := <-w.lines:
			reported = w.writeLines(line, reported)
		default:
			return
		}
	}
}

// writeLines writes a line and those queued behind it, and returns the number of dropped lines that the log reports.
func (w *Writer) writeLines(line []byte, reported int64) int64 {
	if _, err := w.out.Write(w.coalesce(line)); err != nil {
		w.dropped.Add(1) // the write failed; keep reading so that the queue stays empty
	}
	n := w.dropped.Load()
	if n > reported {
		_, _ = fmt.Fprintf(w.out, `{"level":"warn","msg":"log lines dropped","event":442,"count":%d}`+"\n", n)
	}
	return n
}

// coalesce appends the queued lines to the first one, so that one system call writes many.
func (w *Writer) coalesce(line []byte) []byte {
	for range len(w.lines) {
		line = append(line, <-w.lines...)
	}
	return line
}

// Close writes the queued lines and waits for that, however long the output blocks.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
	return nil
}

// CloseWithin writes the queued lines and waits for that, at most for limit or minFlushTime. It returns an error if the output still blocks
// then; the goroutine that writes stays blocked.
func (w *Writer) CloseWithin(limit time.Duration) error {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
		return nil
	case <-time.After(max(limit, minFlushTime)):
		return fmt.Errorf("the log output blocks: more than %d lines were not written", len(w.lines))
	}
}
