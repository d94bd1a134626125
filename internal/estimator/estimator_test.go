package estimator_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/estimator"
)

// TestPage recomputes the table of docs/CAPACITY.md and the list of commands from the recorded slopes.
func TestCapacityPageMatchesEstimate(t *testing.T) {
	e, err := estimator.New()
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), e.Render()), "docs/CAPACITY.md must hold:\n%s", e.Render())
	for _, name := range slices.Sorted(maps.Keys(e.Commands)) {
		line := fmt.Sprintf("- %s: `%s`", name, e.Commands[name])
		assert.Assert(t, strings.Contains(string(page), line), "docs/CAPACITY.md must hold: %s", line)
	}
}
