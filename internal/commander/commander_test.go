package commander

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	bad := filepath.Join(dir, "bad.yaml")
	assert.NilError(t, os.WriteFile(key, []byte("secret\n"), 0o600))
	assert.NilError(t, os.WriteFile(bad, []byte("version: 1\nsite: x\ncolour: red\n"), 0o600))
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"valid", []string{"validate", "../../examples/macaulay/configuration.yaml"}, ExitOK, "version 1, digest"},
		{"invalid", []string{"validate", bad}, ExitFailure, `bad.yaml:3: unknown field "colour"`},
		{"file missing", []string{"validate", "none.yaml"}, ExitUsage, "none.yaml"},
		{"argument missing", []string{"validate"}, ExitUsage, "arg"},
		{"unknown flag", []string{"status", "--colour"}, ExitUsage, "colour"},
		{"operator key missing", []string{"status"}, ExitUsage, "--operator-key-file is needed"},
		{"entry unreachable", []string{"status", "--operator-key-file", key, "--entry", "http://127.0.0.1:1"}, ExitUnreachable, "cannot be reached"},
		{"data centre missing", []string{"data-centre", "drain"}, ExitUsage, "arg"},
		{"unknown scenario", []string{"trace", "nothing"}, ExitUsage, "full-fleet"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			assert.Equal(t, Run(c.args, &out, &errs), c.code, "%s", errs.String())
			assert.Assert(t, strings.Contains(out.String()+errs.String(), c.want), "%s%s", out.String(), errs.String())
		})
	}
}

func TestOutputFormats(t *testing.T) {
	rows := []byte(`[{"pool":"cure","instances":10},{"pool":"lots","instances":8}]`)
	wants := map[string]string{
		"table": "instances  pool\n10         cure\n8          lots\n",
		"yaml":  "- pool: cure\n  instances: 10\n- pool: lots\n  instances: 8\n",
	}
	for format, want := range wants {
		var out bytes.Buffer
		c := &Commander{out: &out, outputFormat: format}
		assert.NilError(t, c.print(rows))
		assert.Equal(t, out.String(), want)
	}
}

// TestDataCentreCommands guards against a command that sends another request than it names, or a name that is not escaped.
func TestDataCentreCommands(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(key, []byte("secret"), 0o600))
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Method + " " + r.URL.EscapedPath()
		_, _ = w.Write([]byte("[]"))
	}))
	t.Cleanup(server.Close)
	for command, want := range map[string]string{
		"drain a/b": "PUT /v1/data-centres/a%2Fb/drain", "resume a": "DELETE /v1/data-centres/a/drain", "status": "GET /v1/data-centres",
	} {
		args := append([]string{"data-centre", "--operator-key-file", key, "--entry", server.URL}, strings.Fields(command)...)
		var out, errs bytes.Buffer
		assert.Equal(t, Run(args, &out, &errs), ExitOK, "%s", errs.String())
		assert.Equal(t, got, want)
	}
}
