// Package commander is the command line of sapphiresail.
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

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// Exit codes of the command line.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnreachable = 4
)

// usageError marks errors of the command line itself.
type usageError struct{ error }

// Commander holds the flags that all commands share.
type Commander struct {
	out     io.Writer
	errors  io.Writer
	url     string
	keyFile string
	output  string
}

// Run executes the command line and returns its exit code.
func Run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := &Commander{out: out, errors: errs}
	root := c.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "sapphiresail:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, client.KindRefused):
		return ExitRefused
	case errors.Is(err, client.KindUnreachable):
		return ExitUnreachable
	}
	return ExitFailed
}

func (c *Commander) root() *cobra.Command {
	root := &cobra.Command{
		Use: "sapphiresail", Short: "Manages the capacity and the maintenance of a fleet of instances.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&c.url, "entry", "http://127.0.0.1:8080", "URL of an entry")
	flags.StringVar(&c.keyFile, "operator-key-file", "", "file that holds the operators' key")
	flags.StringVarP(&c.output, "output", "o", "table", "output format: table, yaml or json")
	root.AddCommand(c.serve(), c.role("entry", "Run a process that serves callers on a platform."), c.role("keeper", "Run a process that keeps the state and decides on a platform."), c.demo(), c.validate(), c.apply(), c.get(), c.key(), c.instance(), c.maintenance(), c.member(), c.status(), c.explain(), c.replay(), c.trace(), c.standIn(), c.load())
	for _, sub := range root.Commands() {
		checkArgs(sub)
	}
	return root
}

// checkArgs makes wrong arguments usage errors in all commands.
func checkArgs(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
				return usageError{err}
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		checkArgs(sub)
	}
}

// operator returns a client with the operators' key.
func (c *Commander) operator() (*client.Client, error) {
	if c.keyFile == "" {
		return nil, usageError{errors.New("--operator-key-file is needed")}
	}
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return nil, usageError{err}
	}
	return client.New(c.url, trim(key)), nil
}

func trim(b []byte) string {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r' || b[len(b)-1] == ' ') {
		b = b[:len(b)-1]
	}
	return string(b)
}

// send performs one operation and prints its answer.
func (c *Commander) send(ctx context.Context, method, path string, body []byte) error {
	operator, err := c.operator()
	if err != nil {
		return err
	}
	var answer []byte
	if err := operator.Send(ctx, method, path, body, &answer); err != nil {
		return err
	}
	return c.print(answer)
}

func (c *Commander) fetch(path string) func(cmd *cobra.Command, args []string) error {
	return func(cmd *cobra.Command, _ []string) error { return c.send(cmd.Context(), http.MethodGet, path, nil) }
}

// newLogger returns a logger of JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, usageError{err}
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	return config.Build()
}
