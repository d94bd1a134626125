// Package commander implements the command line of sapphiresail.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sapphiresail/sapphiresail/internal/chronicler"
	"github.com/sapphiresail/sapphiresail/internal/linewriter"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnreachable = 4
)

// usageError is an error in flags, arguments or the files that they name; the exit code is ExitUsage.
type usageError struct{ error }

// Commander holds the output streams and the flags that all commands share.
type Commander struct {
	out             io.Writer
	errOut          io.Writer
	entryURL        string
	operatorKeyFile string
	outputFormat    string
	// exitBy is when a process stops waiting for the readers of its output. It is zero for commands that wait for them without limit.
	exitBy time.Time
}

// Run executes a command line and returns its exit code. An interrupt or SIGTERM cancels the context of the command.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := &Commander{out: out, errOut: errOut}
	root := c.rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		c.report(err)
	}
	return exitCode(err)
}

// report prints an error to the standard error output, and waits for its reader at most until exitBy if that is set.
func (c *Commander) report(err error) {
	if c.exitBy.IsZero() {
		_, _ = fmt.Fprintln(c.errOut, "sapphiresail:", err)
		return
	}
	out := linewriter.New(c.errOut)
	_, _ = fmt.Fprintln(out, "sapphiresail:", err)
	_ = out.CloseWithin(time.Until(c.exitBy)) // there is no other output to report a blocked one to
}

func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, client.KindRefused), errors.Is(err, chronicler.KindUnknownID):
		return ExitRefused
	case errors.Is(err, client.KindUnreachable):
		return ExitUnreachable
	}
	return ExitFailure
}

func (c *Commander) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "sapphiresail", Short: "Manage the capacity and the maintenance of a fleet of instances.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&c.entryURL, "entry", "http://127.0.0.1:8080", "URL of an entry")
	flags.StringVar(&c.operatorKeyFile, "operator-key-file", "", "file with the operators' key")
	flags.StringVarP(&c.outputFormat, "output", "o", "table", "output format: table, yaml or json")
	root.AddCommand(c.serveCommand(), c.roleCommand("entry", "Run an entry process of a deployment, which serves callers."), c.roleCommand("keeper", "Run a keeper process of a deployment, which stores the state and makes decisions."), c.demoCommand(), c.validateCommand(), c.applyCommand(), c.getCommand(), c.keyCommand(), c.instanceCommand(), c.dataCentreCommand(), c.maintenanceCommand(), c.memberCommand(), c.statusCommand(), c.explainCommand(), c.replayCommand(), c.traceCommand(), c.standInCommand(), c.loadCommand())
	for _, sub := range root.Commands() {
		wrapArgsErrors(sub)
	}
	return root
}

// wrapArgsErrors makes wrong arguments usage errors in a command and its subcommands.
func wrapArgsErrors(cmd *cobra.Command) {
	if validate := cmd.Args; validate != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := validate(cmd, args); err != nil {
				return usageError{err}
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		wrapArgsErrors(sub)
	}
}

// operatorClient returns a client that authenticates with the operators' key.
func (c *Commander) operatorClient() (*client.Client, error) {
	if c.operatorKeyFile == "" {
		return nil, usageError{errors.New("--operator-key-file is needed")}
	}
	key, err := os.ReadFile(c.operatorKeyFile)
	if err != nil {
		return nil, usageError{err}
	}
	return client.New(c.entryURL, trimTrailingSpace(key)), nil
}

func trimTrailingSpace(b []byte) string {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r' || b[len(b)-1] == ' ') {
		b = b[:len(b)-1]
	}
	return string(b)
}

// send performs one operation and prints the response.
func (c *Commander) send(ctx context.Context, method, path string, body []byte) error {
	operator, err := c.operatorClient()
	if err != nil {
		return err
	}
	var response []byte
	if err := operator.Send(ctx, method, path, body, &response); err != nil {
		return err
	}
	return c.print(response)
}

// runGet returns the action of a command that prints the resource at path.
func (c *Commander) runGet(path string) func(cmd *cobra.Command, args []string) error {
	return func(cmd *cobra.Command, _ []string) error { return c.send(cmd.Context(), http.MethodGet, path, nil) }
}

// newLogger returns a logger that writes JSON lines.
func newLogger(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, usageError{err}
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, parsed)), nil
}
