package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/event"
)

// TestCatalogue checks that docs/EVENTS.md lists exactly the events that the code defines, and that no number is used twice.
func TestCatalogue(t *testing.T) {
	text, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	var rows []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	var want []string
	previous := 0
	for _, e := range event.All() {
		assert.Assert(t, e.Number > previous, "event number %d is defined twice", e.Number)
		previous = e.Number
		want = append(want, fmt.Sprintf("| %d | %s | %s |", e.Number, e.Name, strings.Join(e.Fields, ", ")))
	}
	assert.DeepEqual(t, rows, want)
}
