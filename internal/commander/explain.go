package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/spf13/cobra"

	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// placementFlags are the flags of explain for a placement.
type placementFlags struct {
	where                 bool
	file, queue, customer string
}

func (c *Commander) explainCommand() *cobra.Command {
	var f placementFlags
	var logs string
	cmd := &cobra.Command{
		Use: "explain ID", Short: "Show the decisions about a request, instance, customer or pool, or where a job would be placed, and their reasons.",
		Args: func(_ *cobra.Command, args []string) error {
			if logs != "" {
				return checkLogsArgs(f, args)
			}
			return f.check(args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if logs != "" {
				return c.explainLogs(logs, args[0])
			}
			if f.where {
				return c.explainPlacement(cmd.Context(), f, args)
			}
			return c.send(cmd.Context(), http.MethodGet, "/v1/decisions?subject="+url.QueryEscape(args[0]), nil)
		},
	}
	cmd.Flags().StringVar(&logs, "logs", "", "folder with log files of the processes: print the history of job, task, request or instance ID from them; no process is asked")
	cmd.Flags().BoolVar(&f.where, "where", false, "explain where the waiting tasks of job ID would be placed now, or those of a job that is not handed in; --entry is the control address of a keeper")
	cmd.Flags().StringVar(&f.file, "file", "", "with --where: file with a job as callers send it")
	cmd.Flags().StringVar(&f.queue, "queue", "", "with --where: queue of the job in the file")
	cmd.Flags().StringVar(&f.customer, "customer", "", "with --where: customer of the job in the file")
	return cmd
}

// check returns an error unless the arguments name either a subject or, with --where, a job in a file and its queue.
func (f *placementFlags) check(args []string) error {
	switch {
	case len(args) > 1, len(args) == 0 && f.file == "":
		return fmt.Errorf("want one ID, got %d", len(args))
	case !f.where && (f.file != "" || f.queue != "" || f.customer != ""):
		return errors.New("--file, --queue and --customer need --where")
	case f.file != "" && len(args) == 1:
		return errors.New("want an ID or --file, not both")
	case (f.file != "") != (f.queue != ""), f.file == "" && f.customer != "":
		return errors.New("--file needs --queue; --queue and --customer need --file")
	}
	return nil
}

// explainPlacement asks a keeper. The control address of a keeper has no operators' key.
func (c *Commander) explainPlacement(ctx context.Context, f placementFlags, args []string) error {
	query, body := url.Values{}, []byte{}
	if f.file == "" {
		query.Set("job", args[0])
	} else {
		text, err := os.ReadFile(f.file)
		if err != nil {
			return usageError{err}
		}
		body = text
		query.Set("queue", f.queue)
		query.Set("customer", f.customer)
	}
	var response []byte
	if err := client.New(c.entryURL, "").Send(ctx, http.MethodPost, "/v1/where?"+query.Encode(), body, &response); err != nil {
		return err
	}
	return c.printPlacement(response)
}

// printPlacement prints an explanation; in a table its lists follow the other values as tables of their own.
func (c *Commander) printPlacement(response []byte) error {
	var value map[string]json.RawMessage
	if c.outputFormat != "table" || json.Unmarshal(response, &value) != nil {
		return c.print(response)
	}
	lists := []string{"steps", "instances", "changes"}
	var texts []json.RawMessage
	for _, name := range lists {
		texts = append(texts, value[name])
		delete(value, name)
	}
	summary, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if err := c.print(summary); err != nil {
		return err
	}
	for i, name := range lists {
		if err := c.printList(name, texts[i]); err != nil {
			return err
		}
	}
	return nil
}

// printList prints a list of an explanation under its name. It prints nothing if the list is empty, or if a later version sends no list.
func (c *Commander) printList(name string, text json.RawMessage) error {
	var list []any
	if json.Unmarshal(text, &list) != nil || len(list) == 0 {
		return nil
	}
	_, _ = fmt.Fprintf(c.out, "\n%s\n", name)
	if _, isText := list[0].(string); !isText {
		return c.printTable(list)
	}
	for _, line := range list {
		_, _ = fmt.Fprintln(c.out, line)
	}
	return nil
}
