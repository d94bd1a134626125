package commander

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sapphiresail/sapphiresail/internal/linewriter"
	"github.com/sapphiresail/sapphiresail/internal/process"
)

// settingsEnvVar is the environment variable that names the settings file if --settings is not given.
const settingsEnvVar = "SAPPHIRESAIL_SETTINGS"

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
			out := linewriter.New(os.Stdout)
			defer func() { _ = out.Close() }()
			return runProcess(cmd, settingsFile, newRoleLogger(out))
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

// runProcess runs a process until the context of the command ends, and reloads its settings on SIGHUP.
func runProcess(cmd *cobra.Command, settingsFile string, logger *zap.Logger) error {
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
			return p.Shutdown()
		}
	}
}
