// Command soak runs keepers and entries as processes on loopback, injects faults derived from a seed, and checks the guarantees of the
// program. See docs/operating/soak.md.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/scenario"
)

func main() {
	failed, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if failed {
		os.Exit(1)
	}
}

func run() (failed bool, err error) {
	o := scenario.Options{Output: os.Stdout}
	flag.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "seed of the scenario")
	flag.DurationVar(&o.Duration, "duration", 30*time.Second, "how long faults are injected")
	flag.IntVar(&o.Keepers, "keepers", 3, "number of keepers, 3 or 5")
	flag.IntVar(&o.Entries, "entries", 2, "number of entries")
	flag.StringVar(&o.Program, "program", "", "file of the program under test; it is built from this module if empty")
	logs := flag.String("logs", "", "folder that takes the logs of a scenario that failed; a temporary one if empty")
	keep := flag.Bool("keep", false, "keep the logs of a scenario that passed")
	flag.Parse()
	if o.Keepers != 3 && o.Keepers != 5 || o.Entries < 1 || o.Entries > 10 {
		return false, errors.New("want 3 or 5 keepers and 1 to 10 entries")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Folder, err = newFolder(*logs, o.Seed); err != nil {
		return false, err
	}
	if o.Program == "" {
		o.Program = filepath.Join(o.Folder, "sapphiresail")
		build := exec.CommandContext(ctx, "go", "build", "-o", o.Program, "github.com/sapphiresail/sapphiresail/cmd/sapphiresail")
		if out, err := build.CombinedOutput(); err != nil {
			return false, fmt.Errorf("build: %w: %s", err, out)
		}
	}
	fmt.Printf("seed %d, %d keepers, %d entries, faults for %s, folder %s\n", o.Seed, o.Keepers, o.Entries, o.Duration, o.Folder)
	result, err := scenario.Run(ctx, o)
	if err == nil && !result.Failed() {
		fmt.Println("passed")
		if !*keep {
			err = os.RemoveAll(o.Folder)
		}
		return false, err
	}
	fmt.Printf("repeat: go run ./soak --seed %d --duration %s --keepers %d --entries %d; logs in %s\n", o.Seed, o.Duration, o.Keepers, o.Entries, o.Folder)
	return true, err
}

// newFolder returns an empty folder for a scenario.
func newFolder(parent string, seed uint64) (string, error) {
	if parent != "" {
		if err := os.MkdirAll(parent, 0o700); err != nil {
			return "", err
		}
	}
	return os.MkdirTemp(parent, fmt.Sprintf("soak-%d-", seed))
}
