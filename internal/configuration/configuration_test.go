package configuration_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
)

// TestInvalidConfigurations parses each testdata/*.yaml and compares the error with the .txt file of the same name.
func TestInvalidConfigurations(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			_, err = configuration.Parse(filepath.Base(file), text)
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", strings.TrimSuffix(filepath.Base(file), ".yaml")+".txt")
		})
	}
}

func TestDigestIgnoresFormatting(t *testing.T) {
	text, err := os.ReadFile("../demonstrator/sites/merrimack.yaml")
	assert.NilError(t, err)
	original, err := configuration.Parse("a", text)
	assert.NilError(t, err)
	commented, err := configuration.Parse("b", append([]byte("# a comment\n"), text...))
	assert.NilError(t, err)
	canonical, err := configuration.Parse("c", original.CanonicalYAML())
	assert.NilError(t, err)
	assert.Equal(t, original.Digest(), commented.Digest())
	assert.Equal(t, original.Digest(), canonical.Digest())
}

func FuzzParse(f *testing.F) {
	text, err := os.ReadFile("../demonstrator/sites/macaulay.yaml")
	assert.NilError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := configuration.Parse("fuzz", text)
		if err != nil {
			return
		}
		reparsed, err := configuration.Parse("again", c.CanonicalYAML())
		assert.NilError(t, err)
		assert.Equal(t, reparsed.Digest(), c.Digest())
	})
}
