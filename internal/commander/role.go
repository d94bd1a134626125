package commander

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sapphiresail/sapphiresail/internal/linewriter"
	"github.com/sapphiresail/sapphiresail/internal/process"
)

// settingsEnvVar is the environment variable that names the settings file if --settings is not given.
const settingsEnvVar = "SAPPHIRESAIL_SETTINGS"

// A process whose log nobody reads must end within its grace period: after it, the platform kills the process.
const (
	exitMargin = 200 * time.Millisecond // part of the grace period left after the log is closed, for two errors and the exit
	flushTime  = time.Second            // for the last lines of a process without a grace period
)

// roleCommand runs a process of a deployment, an entry or a keeper, until a signal stops it.
func (c *Commander) roleCommand(name, short string) *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settingsFile == "" {
				settingsFile = os.Getenv(settingsEnvVar)
			}
			if settingsFile == "" {
				return usageError{errors.New("no settings file: set --settings or " + settingsEnvVar)}
			}
			out := linewriter.New(c.out)
			defer c.closeLog(out)
			return c.runProcess(cmd, settingsFile, newRoleLogger(out))
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file")
	return cmd
}

// newRoleLogger returns a logger that writes JSON lines with times in milliseconds.
func newRoleLogger(out *linewriter.Writer) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.EpochMillisTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), out, zapcore.InfoLevel))
}

// closeLog writes the last lines of the log of a process. It waits for an output that blocks until exitBy.
func (c *Commander) closeLog(out *linewriter.Writer) {
	if c.exitBy.IsZero() {
		c.exitBy = time.Now().Add(flushTime) // the process did not start, or has no grace period
	}
	if err := out.CloseWithin(time.Until(c.exitBy)); err != nil {
		c.report(err)
	}
}

// runProcess runs a process until the context of the command ends, and reloads its settings on SIGHUP.
func (c *Commander) runProcess(cmd *cobra.Command, settingsFile string, logger *zap.Logger) error {
	p, err := process.Start(settingsFile, logger)
	if err != nil {
		logger.Error("process did not start", zap.Error(err))
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-reload:
			p.Reload()
		case <-cmd.Context().Done():
			c.exitBy = time.Now().Add(p.Grace() - exitMargin)
			return p.Shutdown()
		}
	}
}
