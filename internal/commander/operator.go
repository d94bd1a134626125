package commander

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/gateway"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

const watchInterval = time.Second

func (c *Commander) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE", Short: "Check a configuration and list every error in it.", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return usageError{err}
			}
			parsed, err := configuration.Parse(args[0], text)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.out, "%s: version %d, digest %s\n", args[0], parsed.Version, parsed.Digest())
			return err
		},
	}
}

func (c *Commander) applyCommand() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use: "apply FILE", Short: "Apply a configuration.", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return usageError{err}
			}
			query := url.Values{"file": {args[0]}}
			if wait {
				query.Set("wait", "")
				_, _ = fmt.Fprintln(c.errOut, "waiting until the configuration is in force on every process")
			}
			return c.send(cmd.Context(), http.MethodPut, "/v1/config?"+query.Encode(), text)
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "return once the configuration is in force on every process")
	return cmd
}

func (c *Commander) getCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "get", Short: "Show the configuration and the current state."}
	for _, resource := range []string{"config", "keys", "instances", "pools", "maintenance", "members", "metrics"} {
		cmd.AddCommand(&cobra.Command{Use: resource, Short: "Show " + resource + ".", Args: cobra.NoArgs, RunE: c.runGet("/v1/" + resource)})
	}
	return cmd
}

func (c *Commander) keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Grant and withdraw keys of customers."}
	var secretFile string
	grant := &cobra.Command{
		Use: "grant ID CUSTOMER", Short: "Grant a customer a key; a new secret is printed once.", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			secret := identity.RandomHex(24)
			if secretFile != "" {
				text, err := os.ReadFile(secretFile)
				if err != nil {
					return usageError{err}
				}
				secret = trimTrailingSpace(text)
			}
			body, err := json.Marshal(map[string]string{"customer": args[1], "sha-256": hex.EncodeToString(state.HashKey(secret))})
			if err != nil {
				return err
			}
			if err := c.send(cmd.Context(), http.MethodPut, "/v1/keys/"+url.PathEscape(args[0])+"?wait", body); err != nil || secretFile != "" {
				return err
			}
			_, err = fmt.Fprintln(c.out, "secret", secret)
			return err
		},
	}
	grant.Flags().StringVar(&secretFile, "secret-file", "", "file with the secret to grant")
	withdraw := &cobra.Command{
		Use: "withdraw ID", Short: "Withdraw a key permanently.", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.send(cmd.Context(), http.MethodDelete, "/v1/keys/"+url.PathEscape(args[0])+"?wait", nil)
		},
	}
	cmd.AddCommand(grant, withdraw)
	return cmd
}

func (c *Commander) instanceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "instance", Short: "Drain, move and resume instances."}
	newActionCommand := func(action, short string) *cobra.Command {
		return &cobra.Command{
			Use: action + " ID", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.send(cmd.Context(), http.MethodPost, "/v1/instances/"+url.PathEscape(args[0])+"/"+action, []byte{})
			},
		}
	}
	move := &cobra.Command{
		Use: "move ID POOL", Short: "Drain an instance and move it to another pool.", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/v1/instances/" + url.PathEscape(args[0]) + "/move?to=" + url.QueryEscape(args[1])
			return c.send(cmd.Context(), http.MethodPost, path, []byte{})
		},
	}
	cmd.AddCommand(newActionCommand("drain", "Drain, reboot and verify an instance."), move, newActionCommand("resume", "Return an instance to service."))
	return cmd
}

func (c *Commander) maintenanceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "maintenance", Short: "Start, halt, resume and watch maintenance."}
	for _, action := range []string{"start", "halt", "resume"} {
		cmd.AddCommand(&cobra.Command{
			Use: action, Short: action + " maintenance.", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return c.send(cmd.Context(), http.MethodPost, "/v1/maintenance/"+action, []byte{})
			},
		})
	}
	var watch bool
	status := &cobra.Command{
		Use: "status", Short: "Show the progress of maintenance.", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if !watch {
				return c.runGet("/v1/maintenance")(cmd, args)
			}
			return c.watchMaintenance(cmd)
		},
	}
	status.Flags().BoolVar(&watch, "watch", false, "print progress every second until all instances are maintained")
	cmd.AddCommand(status)
	return cmd
}

// watchMaintenance prints the progress of maintenance until nothing waits for it; a halt is an error.
func (c *Commander) watchMaintenance(cmd *cobra.Command) error {
	operator, err := c.operatorClient()
	if err != nil {
		return err
	}
	for {
		var view gateway.MaintenanceView
		if err := operator.Send(cmd.Context(), http.MethodGet, "/v1/maintenance", nil, &view); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(c.out, "done %d, waiting %d, phases %v, halted %q\n", view.Done, view.Waiting, view.Phases, view.HaltReason)
		if view.HaltReason != "" {
			return errors.New("maintenance is halted: " + view.HaltReason)
		}
		if view.Waiting == 0 {
			return nil
		}
		select {
		case <-cmd.Context().Done():
			return cmd.Context().Err()
		case <-time.After(watchInterval):
		}
	}
}

func (c *Commander) memberCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "member", Short: "Change which keepers vote."}
	newChangeCommand := func(use, short string, args int, newRequest func(args []string) gateway.MemberRequest) *cobra.Command {
		return &cobra.Command{
			Use: use, Short: short, Args: cobra.ExactArgs(args),
			RunE: func(cmd *cobra.Command, args []string) error {
				text, err := json.Marshal(newRequest(args))
				if err != nil {
					return err
				}
				return c.send(cmd.Context(), http.MethodPost, "/v1/members", text)
			},
		}
	}
	cmd.AddCommand(
		newChangeCommand("add ENTRY", "Make a keeper a voter.", 1, func(a []string) gateway.MemberRequest { return gateway.MemberRequest{Add: fleet.EntryID(a[0])} }),
		newChangeCommand("remove MEMBER", "Remove a voter.", 1, func(a []string) gateway.MemberRequest { return gateway.MemberRequest{Remove: a[0]} }),
		newChangeCommand("replace MEMBER ENTRY", "Replace a voter; returns once the new voter holds the state.", 2, func(a []string) gateway.MemberRequest {
			return gateway.MemberRequest{Remove: a[0], Add: fleet.EntryID(a[1])}
		}),
	)
	return cmd
}

func (c *Commander) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the status of an entry and of the group of keepers.", Args: cobra.NoArgs, RunE: c.runGet("/v1/status")}
}
