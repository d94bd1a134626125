package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// print writes a JSON response in the format given by --output; any other response is written unchanged.
func (c *Commander) print(response []byte) error {
	var value any
	if json.Unmarshal(response, &value) != nil {
		_, err := c.out.Write(response)
		return err
	}
	switch c.outputFormat {
	case "json":
		var indented bytes.Buffer
		if err := json.Indent(&indented, bytes.TrimSpace(response), "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(c.out, indented.String())
		return err
	case "yaml":
		text, err := yaml.JSONToYAML(response)
		if err != nil {
			return err
		}
		_, err = c.out.Write(text)
		return err
	case "table":
		return c.printTable(value)
	}
	return usageError{fmt.Errorf("--output %q: want table, yaml or json", c.outputFormat)}
}

// printTable writes a list of objects as one row each, and a single object as one line for each key.
func (c *Commander) printTable(value any) error {
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	switch v := value.(type) {
	case []any:
		writeRows(w, v)
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", k, formatCell(v[k]))
		}
	default:
		_, _ = fmt.Fprintln(w, formatCell(v))
	}
	return w.Flush()
}

// writeRows writes objects under a header of all their keys, sorted.
func writeRows(w *tabwriter.Writer, rows []any) {
	columns := map[string]bool{}
	for _, r := range rows {
		if object, ok := r.(map[string]any); ok {
			for k := range object {
				columns[k] = true
			}
		}
	}
	names := slices.Sorted(maps.Keys(columns))
	_, _ = fmt.Fprintln(w, strings.Join(names, "\t"))
	for _, r := range rows {
		object, _ := r.(map[string]any)
		cells := make([]string, len(names))
		for i, n := range names {
			cells[i] = formatCell(object[n])
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

func formatCell(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		return v
	case float64:
		return fmt.Sprint(v)
	case bool:
		return fmt.Sprint(v)
	}
	text, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
