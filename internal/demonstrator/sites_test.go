package demonstrator

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamplesMatchEmbeddedSites(t *testing.T) {
	for _, name := range []string{"merrimack", "macaulay"} {
		text, _, err := Site(name)
		assert.NilError(t, err)
		example, err := os.ReadFile("../../examples/" + name + "/configuration.yaml")
		assert.NilError(t, err)
		assert.Equal(t, string(text), string(example))
	}
}
