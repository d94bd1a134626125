package commander

import (
	"net/http"
	"net/url"

	"github.com/spf13/cobra"
)

func (c *Commander) dataCentreCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "data-centre", Short: "Drain and resume data centres."}
	newChangeCommand := func(use, method, short string) *cobra.Command {
		return &cobra.Command{
			Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.send(cmd.Context(), method, "/v1/data-centres/"+url.PathEscape(args[0])+"/drain?wait", nil)
			},
		}
	}
	cmd.AddCommand(
		newChangeCommand("drain", http.MethodPut, "Start nothing more in a data centre; what runs there ends by itself."),
		newChangeCommand("resume", http.MethodDelete, "End the drain of a data centre."),
		&cobra.Command{Use: "status", Short: "Show the data centres, and which are drained.", Args: cobra.NoArgs, RunE: c.runGet("/v1/data-centres")},
	)
	return cmd
}
