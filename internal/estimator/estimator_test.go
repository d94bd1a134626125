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

// TestCapacityPageMatchesEstimate checks that docs/CAPACITY.md contains the computed table and the commands of slopes.yaml.
func TestCapacityPageMatchesEstimate(t *testing.T) {
	e, err := estimator.New()
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), e.Render()), "docs/CAPACITY.md must contain:\n%s", e.Render())
	for _, name := range slices.Sorted(maps.Keys(e.Commands)) {
		line := fmt.Sprintf("- %s: `%s`", name, e.Commands[name])
		assert.Assert(t, strings.Contains(string(page), line), "docs/CAPACITY.md must contain: %s", line)
	}
}
