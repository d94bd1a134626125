package commander

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/sapphiresail/sapphiresail/internal/demonstrator"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/standin"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// standInCommand runs the stand-in targets of a site and the platform that reboots them, to try out daemons without real instances.
func (c *Commander) standInCommand() *cobra.Command {
	var entries []string
	var site, platformAddress string
	cmd := &cobra.Command{
		Use: "stand-in", Short: "Run stand-in targets and a stand-in platform on loopback.", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform, targets, err := demonstrator.StartTargets(site, entries, standin.NewExecutionLog())
			if err != nil {
				return usageError{err}
			}
			listener, err := net.Listen("tcp", platformAddress)
			if err != nil {
				return err
			}
			server := &http.Server{Handler: platformHandler(platform), ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(listener) }()
			_, _ = fmt.Fprintf(c.out, "%d targets, platform at %s\n", len(targets), listener.Addr())
			<-cmd.Context().Done()
			var errs []error
			for _, t := range targets {
				errs = append(errs, t.Close())
			}
			return errors.Join(append(errs, server.Close())...)
		},
	}
	cmd.Flags().StringSliceVar(&entries, "entries", []string{"127.0.0.1:8080"}, "HTTP addresses of the entries")
	cmd.Flags().StringVar(&site, "site", "merrimack", "site: merrimack or macaulay")
	cmd.Flags().StringVar(&platformAddress, "platform", "127.0.0.1:8099", "address of the platform")
	return cmd
}

// platformHandler serves the HTTP interface through which daemons have the platform drain and reboot instances.
func platformHandler(p *standin.Platform) http.Handler {
	mux := http.NewServeMux()
	handle := func(action func(ctx context.Context, id fleet.InstanceID, bootID string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if err := action(r.Context(), fleet.InstanceID(r.PathValue("instance")), r.URL.Query().Get("boot-id")); err != nil {
				http.Error(w, err.Error(), http.StatusNotFound)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		}
	}
	mux.HandleFunc("POST /v1/instances/{instance}/drain", handle(func(ctx context.Context, id fleet.InstanceID, _ string) error {
		return p.Drain(ctx, id)
	}))
	mux.HandleFunc("POST /v1/instances/{instance}/reboot", handle(p.Reboot))
	return mux
}

// loadOptions are the flags of the load command.
type loadOptions struct {
	keyFile     string
	concurrency int
	bodyBytes   int
	duration    time.Duration
}

// loadCommand posts requests to a queue from concurrent callers and prints their rate and latencies.
func (c *Commander) loadCommand() *cobra.Command {
	var options loadOptions
	cmd := &cobra.Command{
		Use: "load QUEUE", Short: "Post requests to a queue and measure rate and latency.", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := os.ReadFile(options.keyFile)
			if err != nil {
				return usageError{err}
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), options.duration)
			defer cancel()
			return c.runLoad(ctx, args[0], trimTrailingSpace(key), options)
		},
	}
	cmd.Flags().StringVar(&options.keyFile, "key-file", "", "file with a customer's key")
	cmd.Flags().IntVar(&options.concurrency, "concurrency", 8, "concurrent callers")
	cmd.Flags().IntVar(&options.bodyBytes, "size", 1024, "body size, in bytes")
	cmd.Flags().DurationVar(&options.duration, "length", 5*time.Second, "how long to post requests")
	return cmd
}

func (c *Commander) runLoad(ctx context.Context, queue, key string, options loadOptions) error {
	transport := &http.Transport{MaxIdleConnsPerHost: options.concurrency}
	defer transport.CloseIdleConnections()
	caller := client.New(c.entryURL, key, client.WithHTTPClient(&http.Client{Transport: transport}))
	body := bytes.Repeat([]byte("x"), options.bodyBytes)
	var mutex sync.Mutex
	var latencies []time.Duration
	outcomes := map[int]int{}
	var callers sync.WaitGroup
	loadStart := time.Now()
	for range options.concurrency {
		callers.Go(func() {
			for ctx.Err() == nil {
				requestStart := time.Now()
				answer, err := caller.Request(context.Background(), queue, body)
				status := 0
				if err == nil {
					status = answer.Status
				}
				mutex.Lock()
				outcomes[status]++
				latencies = append(latencies, time.Since(requestStart))
				mutex.Unlock()
			}
		})
	}
	callers.Wait()
	slices.Sort(latencies)
	if len(latencies) == 0 {
		return errors.New("no request was posted")
	}
	percentile := func(fraction float64) time.Duration {
		return latencies[int(fraction*float64(len(latencies)-1))].Round(10 * time.Microsecond)
	}
	_, err := fmt.Fprintf(c.out, "%.0f requests/s, p50 %s, p99 %s, max %s, statuses %v\n",
		float64(len(latencies))/time.Since(loadStart).Seconds(), percentile(0.5), percentile(0.99), percentile(1), outcomes)
	return err
}
