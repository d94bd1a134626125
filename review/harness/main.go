// Command review plays one case of the review: it starts the system's processes and stand-ins for its surroundings on loopback, causes the
// disruption unless TROUBLE=0, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// trial is what a case works with.
type trial struct {
	*fleet
	provider *provider
	trouble  bool
}

var cases = map[string]func(t *trial) error{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	run := cases[name]
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil || run == nil {
		fmt.Fprintln(os.Stderr, "cannot run:", name, err)
		return 2
	}
	limit := time.AfterFunc(118*time.Second, func() {
		rec.say("could not run: out of time")
		os.Exit(2)
	})
	defer limit.Stop()
	program, err := filepath.Abs("target/sapphiresail")
	if err != nil {
		return 2
	}
	temporary, err := os.MkdirTemp("", "sapphiresail-review-")
	if err != nil {
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		fmt.Println("logs in", temporary)
	}
	c, err := newCluster(rec, temporary, program, 5, 2)
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer c.close()
	f := newFleet(rec, c)
	defer f.close()
	platform, err := newProvider(f)
	if err == nil {
		defer func() { _ = platform.server.Close() }()
		err = c.startAll()
	}
	t := &trial{fleet: f, provider: platform, trouble: os.Getenv("TROUBLE") != "0"}
	if err == nil {
		rec.say("case %s, disruption %v", name, t.trouble)
		err = run(t)
	}
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	if n := len(rec.broken); n > 0 {
		rec.say("the rule was broken %d times; first: %s", n, rec.broken[0])
		return 1
	}
	rec.say("the rule held")
	return 0
}
