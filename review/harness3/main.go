// Command harness3 plays one scenario of a review: it starts the program's own roles as processes on loopback, surrounds them with stand-ins, and
// checks the rules that requesters, workers and the provider can see.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scenarios by their names. Each returns when it is over; what it finds is in the world.
var scenarios = map[string]func(w *world, trouble bool){}

func main() { os.Exit(play()) }

// play returns 1 if a rule was broken, 0 if all held, and 2 if the scenario couldn't run.
func play() int {
	name := flag.String("scenario", "", "scenario to play")
	program := flag.String("program", "target/sapphiresail", "program under test")
	record := flag.String("record", "record.txt", "file that takes the record")
	keep := flag.String("keep", "", "folder that takes the logs of the processes")
	flag.Parse()
	scenario := scenarios[*name]
	file, err := filepath.Abs(*program)
	if scenario == nil || err != nil {
		fmt.Fprintf(os.Stderr, "no scenario %q, or no program: %v\n", *name, err)
		return 2
	}
	folder := *keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(folder) }()
	} else if err := os.MkdirAll(folder, 0o700); err != nil {
		return 2
	}
	w := newWorld()
	ports, err := freePorts(1)
	if err != nil {
		return 2
	}
	w.workerPort = ports[0]
	cloud, advice, err := w.serveCloud()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.system, err = newSystem(file, folder, cloud, advice)
	defer w.system.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stop := make(chan struct{})
	go w.tick(stop)
	scenario(w, os.Getenv("TROUBLE") != "0")
	close(stop)
	unlock := w.lock()
	w.closed = true
	violations, problem := w.violations, w.problem
	unlock()
	for _, p := range w.system.all() {
		if p.unasked > 0 {
			violations = append(violations, "FAULT: "+p.name+" has ended by itself")
		}
	}
	w.write(*record)
	for _, v := range violations {
		fmt.Println(v)
	}
	switch {
	case len(violations) > 0:
		return 1
	case problem != "":
		fmt.Println(problem)
		return 2
	}
	fmt.Println("all rules held")
	return 0
}

// tick ends what is due.
func (w *world) tick(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		unlock := w.lock()
		w.advance()
		unlock()
	}
}
