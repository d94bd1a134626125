package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/settings"
)

// writeSettings writes example settings, changed by change, and their key files to a temporary folder, and returns the file.
func writeSettings(t *testing.T, change func(text string) string) string {
	text, err := os.ReadFile("../../examples/merrimack/entry-1.yaml")
	assert.NilError(t, err)
	dir := t.TempDir()
	t.Chdir(dir)
	assert.NilError(t, os.Mkdir("data", 0o700))
	assert.NilError(t, os.WriteFile("data/fleet.key", bytes.Repeat([]byte("ab"), 32), 0o600))
	assert.NilError(t, os.WriteFile("data/operator.key", []byte("an-operator-key-of-32-characters"), 0o600))
	file := filepath.Join(dir, "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(change(string(text))), 0o600))
	return file
}

func TestExamplesLoad(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/entry-*.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 14)
	for _, f := range files {
		text, err := os.ReadFile(f)
		assert.NilError(t, err)
		t.Run(f, func(t *testing.T) {
			_, err = settings.Load(writeSettings(t, func(string) string { return string(text) }))
			assert.NilError(t, err)
		})
	}
}

func TestInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "log-level", "log-levels", `settings.yaml:23: unknown field "log-levels"`},
		{"host name", "127.0.0.1:8081", "localhost:8081", "http-address"},
		{"no data centre", "data-centre: lowell-1", "data-centre: \"\"", "data-centre: is missing"},
		{"missing key file", "fleet.key", "none.key", "fleet-key-file"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := writeSettings(t, func(text string) string { return strings.Replace(text, c.old, c.replacement, 1) })
			_, err := settings.Load(file)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
