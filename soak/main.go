// Command soak runs keepers and entries as processes on loopback, injects faults derived from a seed, and checks the guarantees of the
// program. See docs/operating/soak.md.
package main

import (
	"context"
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
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run() (err error) {
	o := scenario.Options{Output: os.Stdout, Entries: 2}
	flag.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "seed of the scenario")
	flag.DurationVar(&o.Duration, "duration", 30*time.Second, "how long faults are injected")
	flag.IntVar(&o.Keepers, "keepers", 3, "number of keepers, 3 or 5")
	flag.StringVar(&o.Program, "program", "", "file of the program under test; it is built from this module if empty")
	logs := flag.String("logs", os.TempDir(), "folder that takes the logs of a scenario that failed")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Folder, err = os.MkdirTemp(*logs, fmt.Sprintf("soak-%d-", o.Seed)); err != nil {
		return err
	}
	if o.Program == "" {
		o.Program = filepath.Join(o.Folder, "sapphiresail")
		build := exec.CommandContext(ctx, "go", "build", "-o", o.Program, "github.com/sapphiresail/sapphiresail/cmd/sapphiresail")
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("build: %w: %s", err, out)
		}
	}
	fmt.Printf("seed %d, %d keepers, %d entries, faults for %s, folder %s\n", o.Seed, o.Keepers, o.Entries, o.Duration, o.Folder)
	result, err := scenario.Run(ctx, o)
	if err == nil && !result.Failed() {
		fmt.Println("passed")
		return os.RemoveAll(o.Folder)
	}
	fmt.Printf("repeat: go run ./soak --seed %d --duration %s --keepers %d; logs in %s\n", o.Seed, o.Duration, o.Keepers, o.Folder)
	if err == nil {
		err = fmt.Errorf("%d violations, %d failures", len(result.Violations), len(result.Failures))
	}
	return err
}
