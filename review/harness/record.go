package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in order.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	began   time.Time
	broken  []string
	ownEnds int
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	return &record{file: f, began: time.Now()}, err
}

// now returns the time since the record began.
func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, values...))
}

// say adds a line and prints it.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf("%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that a rule was broken.
func (r *record) breaks(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	r.mutex.Lock()
	r.broken = append(r.broken, line)
	r.mutex.Unlock()
	r.add("BROKEN %s", line)
}

func (r *record) ownEnd() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ownEnds++
}
