package scenario_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/soak/scenario"
)

// lineWriter writes the report to the log of a test.
type lineWriter struct{ t *testing.T }

func (w lineWriter) Write(line []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(line)))
	return len(line), nil
}

// newOptions builds the program and returns options with a folder that stays if the test fails.
func newOptions(t *testing.T) scenario.Options {
	folder, err := os.MkdirTemp("", "soak-test-")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs are in %s", folder)
			return
		}
		_ = os.RemoveAll(folder)
	})
	program := filepath.Join(folder, "sapphiresail")
	out, err := exec.Command("go", "build", "-o", program, "github.com/sapphiresail/sapphiresail/cmd/sapphiresail").CombinedOutput()
	assert.NilError(t, err, string(out))
	return scenario.Options{Seed: 11, Duration: 20 * time.Second, Keepers: 3, Entries: 2, Program: program, Folder: folder, Output: lineWriter{t}}
}

// processesOf returns the processes whose command line names a folder.
func processesOf(t *testing.T, folder string) (found []string) {
	list, err := filepath.Glob("/proc/[0-9]*/cmdline")
	assert.NilError(t, err)
	for _, file := range list {
		if text, err := os.ReadFile(file); err == nil && bytes.Contains(text, []byte(folder)) {
			found = append(found, file)
		}
	}
	return found
}

// TestGuaranteesUnderFaults guards against a guarantee that breaks when signals, links, instances, configurations and drains fail or change
// at once. It runs one seeded scenario of three keepers and two entries.
func TestGuaranteesUnderFaults(t *testing.T) {
	o := newOptions(t)
	result, err := scenario.Run(t.Context(), o)
	assert.NilError(t, err)
	assert.Assert(t, !result.Failed(), "seed %d: %v %v", o.Seed, result.Violations, result.Failures)
	assert.DeepEqual(t, processesOf(t, o.Folder), []string(nil))
}

// TestInterruptedScenarioLeavesNoProcess guards against processes that outlive a scenario which was interrupted.
func TestInterruptedScenarioLeavesNoProcess(t *testing.T) {
	o := newOptions(t)
	ctx, cancel := context.WithCancel(t.Context())
	running := 0
	go func() {
		defer cancel()
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && running < o.Keepers+o.Entries; time.Sleep(50 * time.Millisecond) {
			running = len(processesOf(t, o.Folder))
		}
	}()
	_, err := scenario.Run(ctx, o)
	assert.Assert(t, err != nil)
	<-ctx.Done()
	assert.Equal(t, running, o.Keepers+o.Entries)
	assert.DeepEqual(t, processesOf(t, o.Folder), []string(nil))
}
