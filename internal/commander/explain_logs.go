package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/chronicler"
)

// checkLogsArgs returns an error unless the arguments are one ID and no flags of a placement.
func checkLogsArgs(f placementFlags, args []string) error {
	switch {
	case len(args) != 1 || args[0] == "":
		return fmt.Errorf("want one ID, got %d", len(args))
	case f != placementFlags{}:
		return errors.New("--logs reads files only: --where, --file, --queue and --customer ask a keeper")
	}
	return nil
}

// explainLogs prints the history of an id from the log files in a folder. The format is checked first, because reading may take a while.
func (c *Commander) explainLogs(folder, id string) error {
	if !slices.Contains([]string{"table", "yaml", "json"}, c.outputFormat) {
		return usageError{fmt.Errorf("--output %q: want table, yaml or json", c.outputFormat)}
	}
	info, err := os.Stat(folder)
	if err != nil {
		return usageError{fmt.Errorf("--logs: %w", err)}
	}
	if !info.IsDir() {
		return usageError{fmt.Errorf("--logs: %s is not a folder", folder)}
	}
	history, err := chronicler.New(os.DirFS(folder)).History(id)
	if err != nil {
		return err
	}
	if c.outputFormat == "table" {
		return history.WriteTable(c.out)
	}
	text, err := json.Marshal(history)
	if err != nil {
		return err
	}
	return c.print(text)
}
