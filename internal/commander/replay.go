package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/sapphiresail/sapphiresail/internal/generator"
	"github.com/sapphiresail/sapphiresail/internal/replayer"
	"github.com/sapphiresail/sapphiresail/internal/tracer"
)

// replayCommand replays a trace under the product's policy and under the baseline policies.
func (c *Commander) replayCommand() *cobra.Command {
	var svgFile string
	cmd := &cobra.Command{
		Use: "replay TRACE", Short: "Replay a trace on a virtual clock and compare the decisions with the baselines.", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			trace, err := readTrace(args[0])
			if err != nil {
				return usageError{err}
			}
			return c.replayPolicies(trace, svgFile)
		},
	}
	cmd.Flags().StringVar(&svgFile, "picture", "", "file for an SVG chart of usage by customer over time")
	return cmd
}

func readTrace(file string) (*tracer.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return tracer.Read(file, f)
}

func (c *Commander) replayPolicies(trace *tracer.Trace, svgFile string) error {
	var results []*replayer.Result
	for _, policy := range replayer.Policies() {
		r, err := replayer.New(trace, policy)
		if err != nil {
			return err
		}
		results = append(results, r.Run())
	}
	if svgFile != "" {
		f, err := os.Create(svgFile)
		if err != nil {
			return err
		}
		results[0].Draw(f)
		if err := f.Close(); err != nil {
			return err
		}
	}
	if err := c.printResults(trace.Header.Name, results); err != nil {
		return err
	}
	if len(results[0].Violations) > 0 {
		return errors.New("a guarantee was violated")
	}
	return nil
}

func (c *Commander) printResults(name string, results []*replayer.Result) error {
	if c.outputFormat != "table" {
		text, err := json.Marshal(results)
		if err != nil {
			return err
		}
		return c.print(text)
	}
	return writeResults(c.out, name, results)
}

// writeResults writes a table with one row for each measure and one column for each policy, and then the violations of the first.
func writeResults(out io.Writer, name string, results []*replayer.Result) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(title string, value func(r *replayer.Result) string) {
		cells := []string{title}
		for _, r := range results {
			cells = append(cells, value(r))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	row(name, func(r *replayer.Result) string { return r.Policy })
	row("asked / answered", func(r *replayer.Result) string { return fmt.Sprintf("%d / %d", r.Submitted, r.Answered) })
	row("answered in time", func(r *replayer.Result) string { return fmt.Sprintf("%.1f %%", 100*r.AnsweredInTime) })
	row("refused / unknown / failed", func(r *replayer.Result) string { return fmt.Sprintf("%d / %d / %d", r.Refused, r.Unknown, r.Failed) })
	row("buffer, instances", func(r *replayer.Result) string { return fmt.Sprintf("%.1f", r.BufferInstances) })
	row("buffer, of largest domain", func(r *replayer.Result) string { return fmt.Sprintf("%.2f", r.BufferRatio) })
	row("moves", func(r *replayer.Result) string { return fmt.Sprint(r.Moves) })
	row("roll-out, s", func(r *replayer.Result) string {
		return fmt.Sprintf("%.1f (%d, halted %t)", r.RolloutSeconds, r.Maintained, r.Halted)
	})
	row("roll-out, of least", func(r *replayer.Result) string { return fmt.Sprintf("%.2f", r.RolloutRatio) })
	row("worst share deviation", func(r *replayer.Result) string { return fmt.Sprintf("%.1f %%", 100*r.WorstShareDeviation) })
	row("urgent start p50/p99/max, s", func(r *replayer.Result) string {
		return fmt.Sprintf("%.2f/%.2f/%.2f", r.UrgentStartP50, r.UrgentStartP99, r.UrgentStartMax)
	})
	row("stopped for urgent", func(r *replayer.Result) string { return fmt.Sprint(r.Preempted) })
	row("broken promises", func(r *replayer.Result) string { return fmt.Sprint(len(r.Violations)) })
	if err := w.Flush(); err != nil {
		return err
	}
	for _, violation := range results[0].Violations {
		_, _ = fmt.Fprintf(out, "  BROKEN  %s\n", violation)
	}
	return nil
}

// traceCommand generates the trace of a scenario.
func (c *Commander) traceCommand() *cobra.Command {
	var site, file string
	var seed uint64
	cmd := &cobra.Command{
		Use: "trace SCENARIO", Short: "Generate the trace of a scenario: " + strings.Join(generator.Scenarios(), ", ") + ".", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			g, err := generator.New(site, seed)
			if err != nil {
				return usageError{err}
			}
			trace, err := g.Trace(args[0], seed)
			if err != nil {
				return usageError{err}
			}
			f, err := os.Create(file)
			if err != nil {
				return err
			}
			return errors.Join(trace.Write(f), f.Close())
		},
	}
	cmd.Flags().StringVar(&site, "site", "merrimack", "site: merrimack or macaulay")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the trace")
	cmd.Flags().StringVar(&file, "file", "trace.jsonl.gz", "file to write")
	return cmd
}
