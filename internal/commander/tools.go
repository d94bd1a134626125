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

// standIn runs the stand-in targets of a site, and the platform that reboots them, for trying out the daemons.
func (c *Commander) standIn() *cobra.Command {
	var entries []string
	var site, address string
	cmd := &cobra.Command{
		Use: "stand-in", Short: "Run stand-in targets and a stand-in platform on loopback.", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform, targets, err := demonstrator.Targets(site, entries, standin.NewLedger())
			if err != nil {
				return usageError{err}
			}
			listener, err := net.Listen("tcp", address)
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
	cmd.Flags().StringVar(&address, "platform", "127.0.0.1:8099", "address of the platform")
	return cmd
}

func platformHandler(p *standin.Platform) http.Handler {
	mux := http.NewServeMux()
	handle := func(act func(ctx context.Context, id fleet.InstanceID, boot string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if err := act(r.Context(), fleet.InstanceID(r.PathValue("instance")), r.URL.Query().Get("boot-id")); err != nil {
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

// loadOptions are the flags of the load tool.
type loadOptions struct {
	keyFile     string
	concurrency int
	size        int
	length      time.Duration
}

// load posts requests to a queue from many callers at once and prints rates and latencies.
func (c *Commander) load() *cobra.Command {
	var o loadOptions
	cmd := &cobra.Command{
		Use: "load QUEUE", Short: "Post requests to a queue and measure rate and latency.", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := os.ReadFile(o.keyFile)
			if err != nil {
				return usageError{err}
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), o.length)
			defer cancel()
			return c.runLoad(ctx, args[0], trim(key), o)
		},
	}
	cmd.Flags().StringVar(&o.keyFile, "key-file", "", "file that holds a customer's key")
	cmd.Flags().IntVar(&o.concurrency, "concurrency", 8, "callers at once")
	cmd.Flags().IntVar(&o.size, "size", 1024, "body size in bytes")
	cmd.Flags().DurationVar(&o.length, "length", 5*time.Second, "how long to post")
	return cmd
}

func (c *Commander) runLoad(ctx context.Context, queue, key string, o loadOptions) error {
	transport := &http.Transport{MaxIdleConnsPerHost: o.concurrency}
	defer transport.CloseIdleConnections()
	caller := client.New(c.url, key, client.WithHTTPClient(&http.Client{Transport: transport}))
	body := bytes.Repeat([]byte("x"), o.size)
	var mutex sync.Mutex
	var took []time.Duration
	outcomes := map[int]int{}
	var callers sync.WaitGroup
	started := time.Now()
	for range o.concurrency {
		callers.Go(func() {
			for ctx.Err() == nil {
				begun := time.Now()
				answer, err := caller.Request(context.Background(), queue, body)
				status := 0
				if err == nil {
					status = answer.Status
				}
				mutex.Lock()
				outcomes[status]++
				took = append(took, time.Since(begun))
				mutex.Unlock()
			}
		})
	}
	callers.Wait()
	slices.Sort(took)
	if len(took) == 0 {
		return errors.New("no request was posted")
	}
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))].Round(10 * time.Microsecond) }
	_, err := fmt.Fprintf(c.out, "%.0f requests/s, p50 %s, p99 %s, max %s, statuses %v\n",
		float64(len(took))/time.Since(started).Seconds(), at(0.5), at(0.99), at(1), outcomes)
	return err
}
