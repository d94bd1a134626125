package commander

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const explanation = `{"pool":"p","class":"on time","steps":[{"step":0,"fits":2,"ruled-out":{"full":1}}],"instances":[],"changes":["1 of 2 instances are full"]}`

// TestExplainPlacement guards against a command that asks for another job than it names, and against output in another format.
func TestExplainPlacement(t *testing.T) {
	file := filepath.Join(t.TempDir(), "job.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"steps":[]}`), 0o600))
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = r.Method + " " + r.URL.String() + " " + string(body)
		_, _ = w.Write([]byte(explanation))
	}))
	t.Cleanup(server.Close)
	for _, c := range []struct {
		args         []string
		request, out string
	}{
		{[]string{"00000000000000aa"}, "POST /v1/where?job=00000000000000aa ", "class  on time\npool   p\n\nsteps\nfits  ruled-out   step\n2     {\"full\":1}  0\n\nchanges\n1 of 2 instances are full\n"},
		{[]string{"--file", file, "--queue", "q", "--customer", "c"}, `POST /v1/where?customer=c&queue=q {"steps":[]}`, "class  on time"},
		{[]string{"aa", "-o", "yaml"}, "POST /v1/where?job=aa ", "pool: p\nclass: on time\nsteps:\n- step: 0"},
		{[]string{"aa", "-o", "json"}, "POST /v1/where?job=aa ", "{\n  \"pool\": \"p\",\n  \"class\": \"on time\""},
	} {
		var out, errs bytes.Buffer
		assert.Equal(t, Run(append([]string{"explain", "--where", "--entry", server.URL}, c.args...), &out, &errs), ExitOK, "%s", errs.String())
		assert.Equal(t, got, c.request)
		assert.Assert(t, cmp.Contains(out.String(), c.out))
	}
	for _, args := range [][]string{
		{}, {"a", "b"}, {"a", "--queue", "q"}, {"--where"}, {"--where", "a", "--queue", "q"}, {"--where", "--file", file}, {"--where", "a", "--file", file, "--queue", "q"},
		{"--where", "--file", "none.json", "--queue", "q"},
	} {
		var out, errs bytes.Buffer
		assert.Equal(t, Run(append([]string{"explain"}, args...), &out, &errs), ExitUsage, "%v: %s", args, errs.String())
	}
}
