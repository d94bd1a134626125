// Command harness2 plays one case of the second review: it starts the processes of the deploy file on loopback addresses, with stand-ins for
// workers, requesters, the operator and the provider, brings the disruption of the case about, and checks one rule by what the stand-ins saw.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// printedBreaks is the number of breaks that are printed; the record has all.
const printedBreaks = 8

// runLimit bounds one run of a case.
const runLimit = 118 * time.Second

// cases are the cases by name. A case returns the breaks of its rule.
var cases = map[string]func(*stage) ([]string, error){
	"reborn":   playReborn,
	"pending":  playPending,
	"start":    playStart,
	"given-up": playGivenUp,
}

// stage is what a case plays on.
type stage struct {
	*callers
	record  *record
	system  *system
	fleet   *fleet
	trouble bool
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/sapphiresail", "the program under review")
	output := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *output, os.Getenv("TROUBLE") != "0"))
}

func play(name, program, output string, trouble bool) int {
	script := cases[name]
	if script == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	s, cleanUp, err := setUp(program, output)
	defer cleanUp()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s.trouble = trouble
	ended := make(chan int, 1)
	go func() {
		breaks, err := script(s)
		for i, b := range breaks {
			s.record.line("BROKEN %s", b)
			if i < printedBreaks {
				fmt.Println("broken:", b)
			}
		}
		switch {
		case err != nil:
			s.record.line("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			ended <- exitFailed
		case len(breaks) > 0:
			fmt.Println("the rule was broken", len(breaks), "times")
			ended <- exitBroken
		default:
			s.record.line("the rule held")
			fmt.Println("the rule held")
			ended <- exitHeld
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-ended:
		return code
	case <-stop:
	case <-time.After(runLimit):
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	return exitFailed
}

// setUp prepares the stand-ins and the settings, and starts the processes.
func setUp(program, output string) (s *stage, cleanUp func(), err error) {
	s, cleanUp = &stage{}, func() {}
	if program, err = filepath.Abs(program); err != nil {
		return s, cleanUp, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return s, cleanUp, err
	}
	cleanUp = func() { _ = os.RemoveAll(folder) }
	r, err := newRecord(output)
	if err != nil {
		return s, cleanUp, err
	}
	s.record = r
	if s.fleet, err = newFleet(r); err != nil {
		return s, cleanUp, err
	}
	network := fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%250)
	cloud := s.fleet.cloud.Addr().String()
	if s.system, err = newSystem(r, program, folder, network, cloud); err != nil {
		return s, cleanUp, err
	}
	s.callers = newCallers(r, s.system)
	cleanUp = func() {
		s.system.close()
		s.fleet.close()
		_ = r.close()
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(folder))
		}
		_ = os.RemoveAll(folder)
	}
	return s, cleanUp, errors.Join(s.system.startAll())
}

// begin publishes the first config and adds workers, and waits until the system takes jobs.
func (s *stage) begin(workers int, cpu int64, routes ...map[string]any) error {
	time.Sleep(3 * time.Second)
	if err := s.system.endFirstStart(); err != nil {
		return err
	}
	if err := s.publish(1, routes...); err != nil {
		return err
	}
	s.fleet.mutex.Lock()
	s.fleet.controls = s.system.controlAddresses()
	s.fleet.mutex.Unlock()
	for i := range workers {
		if err := s.fleet.add(i, cpu); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// seenStarts returns a copy of the starts so far.
func (s *stage) seenStarts() []started {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	return append([]started{}, s.fleet.starts...)
}

// seenEnds returns a copy of the ends so far.
func (s *stage) seenEnds() []ended {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	list := make([]ended, 0, len(s.fleet.ends))
	for _, e := range s.fleet.ends {
		list = append(list, *e)
	}
	return list
}
