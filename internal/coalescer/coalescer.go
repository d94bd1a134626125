// Package coalescer lets callers that ask for the same value share one call.
package coalescer

import (
	"context"
	"sync"
	"time"
)

// Coalescer makes one call at a time. Callers that come during a call share the next one, so each gets a value that was read after it asked.
type Coalescer[T any] struct {
	call       func(ctx context.Context) (T, error)
	timeout    time.Duration
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mutex sync.Mutex
	// running is set during a call, and next is the call after it, if somebody waits for it.
	running bool
	next    *flight[T]
}

// flight is a call that has not begun or is under way. The result is valid once done is closed.
type flight[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// New returns a coalescer of a call, which gets a context that ends after timeout.
func New[T any](call func(ctx context.Context) (T, error), timeout time.Duration) *Coalescer[T] {
	c := &Coalescer[T]{call: call, timeout: timeout}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends the call under way and waits for it. Later calls fail at once.
func (c *Coalescer[T]) Close() error {
	c.mutex.Lock()
	c.cancel()
	c.mutex.Unlock()
	c.goroutines.Wait()
	return nil
}

// Get returns the value of a call that began after Get was called, or the error of ctx if that ends first.
func (c *Coalescer[T]) Get(ctx context.Context) (value T, err error) {
	c.mutex.Lock()
	if err := c.ctx.Err(); err != nil {
		c.mutex.Unlock()
		return value, err
	}
	if c.next == nil {
		c.next = &flight[T]{done: make(chan struct{})}
	}
	f := c.next
	if !c.running {
		c.running = true
		c.goroutines.Go(c.run)
	}
	c.mutex.Unlock()
	select {
	case <-f.done:
		return f.value, f.err
	case <-ctx.Done():
		return value, ctx.Err()
	}
}

// run makes the calls until nobody waits for one.
func (c *Coalescer[T]) run() {
	for {
		c.mutex.Lock()
		f := c.next
		c.next = nil
		if f == nil {
			c.running = false
			c.mutex.Unlock()
			return
		}
		c.mutex.Unlock()
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		f.value, f.err = c.call(ctx)
		cancel()
		close(f.done)
	}
}
