package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sapphiresail/sapphiresail/internal/daemon"
	"github.com/sapphiresail/sapphiresail/internal/demonstrator"
	"github.com/sapphiresail/sapphiresail/internal/linewriter"
	"github.com/sapphiresail/sapphiresail/internal/settings"
)

const shutdownTimeout = 2 * time.Minute

// serveCommand runs the daemon of an entry instance until a signal stops it.
func (c *Commander) serveCommand() *cobra.Command {
	var settingsFile, recordFile string
	cmd := &cobra.Command{
		Use: "serve", Short: "Run the daemon of an entry instance.", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(settingsFile)
			if err != nil {
				return usageError{err}
			}
			if recordFile != "" {
				s.Record = recordFile
			}
			out := linewriter.New(c.errOut)
			defer c.closeLog(out)
			logger, err := newLogger(s.LogLevel, out)
			if err != nil {
				return err
			}
			d, err := daemon.Start(*s, logger)
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			return d.Shutdown(ctx)
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file")
	cmd.Flags().StringVar(&recordFile, "record", "", "file to record a replayable trace of this entry in")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// demoCommand runs both example sites in this process.
func (c *Commander) demoCommand() *cobra.Command {
	var duration time.Duration
	var logLevel string
	cmd := &cobra.Command{
		Use: "demo", Short: "Run both example sites in one process on loopback and check the guarantees.", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger := zap.NewNop()
			if logLevel != "" {
				var err error
				if logger, err = newLogger(logLevel, zapcore.Lock(zapcore.AddSync(c.errOut))); err != nil {
					return err
				}
			}
			reports, err := runDemoSites(cmd.Context(), duration, logger)
			if err != nil {
				return err
			}
			return c.printReports(reports)
		},
	}
	cmd.Flags().DurationVar(&duration, "length", 12*time.Second, "how long callers post requests")
	cmd.Flags().StringVar(&logLevel, "log-level", "", "log level; no logs when empty")
	return cmd
}

func runDemoSites(ctx context.Context, duration time.Duration, logger *zap.Logger) ([]demonstrator.Report, error) {
	names := []string{"merrimack", "macaulay"}
	reports, errs := make([]demonstrator.Report, len(names)), make([]error, len(names))
	var sites sync.WaitGroup
	for i, name := range names {
		sites.Go(func() {
			d, err := demonstrator.New(ctx, name, logger.With(zap.String("site", name)))
			if err != nil {
				errs[i] = fmt.Errorf("%s: %w", name, err)
				return
			}
			reports[i] = d.Run(ctx, duration)
			errs[i] = d.Close()
		})
	}
	sites.Wait()
	return reports, errors.Join(errs...)
}

func (c *Commander) printReports(reports []demonstrator.Report) error {
	allHeld := true
	for _, r := range reports {
		allHeld = allHeld && r.AllHeld()
	}
	if c.outputFormat == "table" {
		for _, r := range reports {
			c.printReport(r)
		}
	} else {
		text, err := json.Marshal(reports)
		if err != nil {
			return err
		}
		if err := c.print(text); err != nil {
			return err
		}
	}
	if !allHeld {
		return errors.New("a guarantee was violated")
	}
	return nil
}

func (c *Commander) printReport(r demonstrator.Report) {
	_, _ = fmt.Fprintf(c.out, "%s: asked %d, answered %d, refused %d, unknown %d, resent %d, moves %d, maintained %d\n",
		r.Site, r.Sent, r.Answered, r.Refused, r.Unknown, r.Resent, r.Moves, r.Maintained)
	for _, guarantee := range r.Guarantees {
		verdict := "kept  "
		if !guarantee.Held {
			verdict = "BROKEN"
		}
		_, _ = fmt.Fprintf(c.out, "  %s  %s (%s)\n", verdict, guarantee.Name, guarantee.Detail)
	}
}
