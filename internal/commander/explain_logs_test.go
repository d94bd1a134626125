package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestExplainLogs guards against output in another format than asked for, a wrong exit code, an error that does not name its cause, and a command that asks a process.
func TestExplainLogs(t *testing.T) {
	const logs, id = "../chronicler/testdata/late", "015ac8d133fc313b"
	empty, text := t.TempDir(), t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(text, "notes"), []byte("no log line\n"), 0o600))
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"table", []string{"--logs", logs, id}, ExitOK, "6.4647  core-lowell-a-2  420 scheduling decision made  core-lowell-a-2 (term 3)  run lost: not listed"},
		{"yaml", []string{"--logs", logs, id, "-o", "yaml"}, ExitOK, "id: 015ac8d133fc313b\nkind: job\nlines:\n- time: \"3.6446\"\n  process: core-lowell-a-2\n  event: 410"},
		{"json", []string{"--logs", logs, id, "-o", "json"}, ExitOK, "{\n  \"id\": \"015ac8d133fc313b\",\n  \"kind\": \"job\",\n  \"lines\": ["},
		{"unknown id", []string{"--logs", logs, "ffff"}, ExitRefused, "sapphiresail: explain ffff: unknown id: none of 6 log lines in 1 files names it"},
		{"empty folder", []string{"--logs", empty, id}, ExitFailure, "no log lines: 0 files"},
		{"no log lines", []string{"--logs", text, id}, ExitFailure, "no log lines: 1 files, 1 other lines"},
		{"missing folder", []string{"--logs", filepath.Join(empty, "none"), id}, ExitUsage, "--logs: stat"},
		{"file in place of a folder", []string{"--logs", filepath.Join(text, "notes"), id}, ExitUsage, "is not a folder"},
		{"unknown format", []string{"--logs", logs, id, "-o", "xml"}, ExitUsage, `--output "xml": want table, yaml or json`},
		{"no id", []string{"--logs", logs}, ExitUsage, "want one ID, got 0"},
		{"empty id", []string{"--logs", logs, ""}, ExitUsage, "want one ID"},
		{"two ids", []string{"--logs", logs, id, id}, ExitUsage, "want one ID, got 2"},
		{"with a placement", []string{"--logs", logs, "--where", id}, ExitUsage, "--logs reads files only"},
		{"with a queue", []string{"--logs", logs, "--queue", "q", id}, ExitUsage, "--logs reads files only"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			args := append([]string{"explain", "--entry", "http://127.0.0.1:1"}, c.args...)
			assert.Equal(t, Run(args, &out, &errs), c.code, "%s", errs.String())
			assert.Assert(t, cmp.Contains(out.String()+errs.String(), c.want))
		})
	}
}
