package chronicler_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"

	"github.com/sapphiresail/sapphiresail/internal/chronicler"
)

func ExampleChronicler_History() {
	files := fstest.MapFS{"keeper-1.log": {Data: []byte(`3.5 keeper-1 {"msg":"leadership acquired","term":2,"event":401}
4.0 keeper-1 {"msg":"job accepted","job":"c0de","version":3,"event":410}
4.25 keeper-1 {"msg":"scheduling decision made","what":"run placed","task":"c0de.0.0.0","run":2000000001,"instance":"i-1","reason":"room","event":420}
5.25 keeper-1 {"msg":"scheduling decision made","what":"run ended","task":"c0de.0.0.0","run":2000000001,"instance":"i-1","reason":"done","event":420}
5.25 keeper-1 {"msg":"job completed","job":"c0de","took":1.5,"event":414}
`)}}
	history, err := chronicler.New(files).History("c0de")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(history.Lines[1].Time, history.Lines[1].DecidedBy, history.Lines[1].Outcome)
	fmt.Println(history.Summary)
	// Output:
	// 4.2500 keeper-1 (term 2) run placed: room
	// The job c0de completed at 5.2500, 1.500 s after its first trace; of that, 0.250 s waiting for acceptance, 0.250 s waiting for capacity, 1.000 s running and 0.000 s in lost runs.
}

func table(t *testing.T, files fs.FS, id string, options ...chronicler.Option) string {
	t.Helper()
	history, err := chronicler.New(files, options...).History(id)
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, history.WriteTable(&b))
	return b.String()
}

// TestHistories guards against a history that leaves out, misorders or misreads a line of the cases of docs/OPERATIONS.md, and of a change of leader
// with a lost instance in the present format.
func TestHistories(t *testing.T) {
	for _, c := range []struct{ name, folder, id string }{
		{"refused", "refused", "/btbu9fmc/"},
		{"late", "late", "015ac8d133fc313b"},
		{"never-started", "never-started", "0000457b6a90f218"},
		{"failed", "failed", "95fc430621d2a823"},
		{"crashes", "crashes", "3a6c282bdcd2a96d"},
		{"change-of-leader", "change-of-leader", "4b1f00000000c0de"},
		{"task", "change-of-leader", "4b1f00000000c0de.0.0.1"},
		{"instance", "change-of-leader", "i-2"},
		{"wrong-key", "change-of-leader", "4b1f00000000c0e0"},
		{"request", "request", "r-77"},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.Assert(t, table(t, os.DirFS("testdata/"+c.folder), c.id), c.name+".txt")
		})
	}
}

// TestOperationsPage guards against a page that shows other sentences than the command prints for the lines of its cases.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for folder, id := range map[string]string{"refused": "/btbu9fmc/", "late": "015ac8d133fc313b", "never-started": "0000457b6a90f218"} {
		history, err := chronicler.New(os.DirFS("testdata/" + folder)).History(id)
		assert.NilError(t, err)
		assert.Assert(t, cmp.Contains(string(page), "sapphiresail explain --logs DIR "+id+"\n"))
		for part := range strings.SplitSeq(history.Summary, "; ") {
			part, _, _ = strings.Cut(part, ", first i-") // the page cuts the reason here
			assert.Assert(t, cmp.Contains(string(page), part))
		}
	}
}

// TestLinks guards against a link to a rotated file that ends the command, and a link to another file of the folder that doubles its lines.
func TestLinks(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "log"), []byte(accepted), 0o600))
	assert.NilError(t, os.Symlink(filepath.Join(folder, "gone"), filepath.Join(folder, "current")))
	assert.NilError(t, os.Symlink(filepath.Join(folder, "log"), filepath.Join(folder, "linked")))
	assert.Equal(t, strings.Count(table(t, os.DirFS(folder), "aa"), "410 job accepted"), 1)
}

// TestJSON guards against fields that change their names or their order: scripts read them.
func TestJSON(t *testing.T) {
	history, err := chronicler.New(os.DirFS("testdata/change-of-leader")).History("4b1f00000000c0de")
	assert.NilError(t, err)
	text, err := json.MarshalIndent(history, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", "change-of-leader.json")
}

func compressed(t *testing.T, data []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, err := z.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, z.Close())
	return b.Bytes()
}

// TestCompressedFiles guards against files that are skipped because of their name, their folder or their compression.
func TestCompressedFiles(t *testing.T) {
	files := fstest.MapFS{}
	for i, name := range []string{"entry-a.log", "keeper-1", "keeper-2"} {
		data, err := os.ReadFile("testdata/change-of-leader/" + name)
		assert.NilError(t, err)
		files[[]string{"a.log.gz", "b/keeper-1", "c/d/archive"}[i]] = &fstest.MapFile{Data: compressed(t, data)}
	}
	golden.Assert(t, table(t, files, "4b1f00000000c0de"), "change-of-leader.txt")
}

const accepted = `{"ts":1796466600000,"entry":"k","msg":"job accepted","job":"aa","event":410}` + "\n"

// TestDamagedFiles guards against a damaged line or file that ends the command, hides the lines beside it, or is not reported.
func TestDamagedFiles(t *testing.T) {
	whole := strings.Repeat(`{"ts":1796466600000,"msg":"other","event":404,"term":1}`+"\n", 2000)
	packed := compressed(t, []byte(accepted+whole))
	for _, c := range []struct {
		name string
		file []byte
		want string
	}{
		{"cut off", []byte(accepted + `{"ts":17964666`), "malformed lines left out: 1"},
		{"text", []byte("panic: x\n\n" + accepted + "goroutine 1 [running]:\n"), "malformed lines left out: 2"},
		{"no newline at the end", []byte(strings.TrimSpace(accepted)), "log lines read: 1, files: 2\n"},
		{"too long", []byte(`{"event":410,"job":"` + strings.Repeat("x", 200_000) + "\"}\n" + accepted), "malformed lines left out: 1"},
		{"wrong types", []byte(`{"event":"x","job":"aa"}` + "\n" + `{"event":410,"job":["aa"],"ts":{}}` + "\n" + `{"event":410.5,"job":"aa"}` + "\n" + accepted), "log lines read: 4"},
		{"gzip cut off", packed[:len(packed)-12], "log: read only in part: unexpected EOF"},
		{"gzip without a body", append([]byte(nil), 0x1f, 0x8b), "log: read only in part"},
	} {
		t.Run(c.name, func(t *testing.T) {
			files := fstest.MapFS{"log": {Data: c.file}, "notes.txt": {Data: []byte("to do\n{\"a\":1}\n")}}
			if c.name == "gzip without a body" {
				files["good"] = &fstest.MapFile{Data: []byte(accepted)}
			}
			out := table(t, files, "aa", chronicler.WithMaxLine(100_000))
			assert.Assert(t, cmp.Contains(out, c.want))
			assert.Assert(t, cmp.Contains(out, "410 job accepted"))
			assert.Assert(t, cmp.Contains(out, "notes.txt: no log lines in 2 lines"))
		})
	}
}

// TestOrigins guards against lines under a wrong time or process: the object comes before the text before it, then the line before, then the file.
func TestOrigins(t *testing.T) {
	const object = `"msg":"job accepted","job":"aa","event":410}` + "\n"
	for _, c := range []struct{ line, time, process string }{
		{`{"ts":1796466600123.9,"entry":"k",` + object, "2026-12-05T10:30:00.123Z", "k"},
		{`{"ts":1796466600.25,"entry":"k",` + object, "2026-12-05T10:30:00.250Z", "k"},
		{`{"ts":"2026-12-05T11:30:00+01:00","entry":"k",` + object, "2026-12-05T10:30:00.000Z", "k"},
		{`2026-12-05T10:00:00Z other: {"ts":1796466600000,"entry":"k",` + object, "2026-12-05T10:30:00.000Z", "k"},
		{`2026-12-05T10:00:00Z [other] {` + object, "2026-12-05T10:00:00.000Z", "other"},
		{`INF {` + object, "0.0000", "INF"},
		{`other | {` + object, "0.0000", "other"},
		{`{` + object, "0.0000", "file"},
		{`7.25 x {"event":400}` + "\n{" + object, "7.2500", "x"},
	} {
		history, err := chronicler.New(fstest.MapFS{"folder/file.log.gz": {Data: []byte(c.line)}}).History("aa")
		assert.NilError(t, err)
		assert.Equal(t, history.Lines[0].Time.String(), c.time, c.line)
		assert.Equal(t, history.Lines[0].Process, c.process, c.line)
	}
}

// TestDeciders guards against a decision under the wrong leader or term: of another process, of a term that was over, or of the term that a run began in.
func TestDeciders(t *testing.T) {
	const completed = `5 k {"msg":"job completed","job":"aa","event":414}` + "\n"
	for _, c := range []struct{ earlier, want string }{
		{"", "k (term not logged)"},
		{`1 k {"term":2,"event":401}`, "k (term 2)"},
		{`1 k {"term":2,"event":404}`, "k (term 2)"},
		{`1 k {"role":"leader","term":2,"event":113}`, "k (term 2)"},
		{`1 k {"role":"follower","term":2,"event":113}`, "k (term not logged)"},
		{`1 other {"term":2,"event":401}`, "k (term not logged)"},
		{`1 k {"term":2,"event":401}` + "\n" + `2 k {"term":2,"event":402}`, "k (term not logged)"},
		{`1 k {"term":2,"event":401}` + "\n" + `2 k {"term":2,"event":402}` + "\n" + `3 k {"term":9,"event":401}`, "k (term 9)"},
		{`6 k {"term":9,"event":401}`, "k (term not logged)"},
		{`1 k {"what":"run placed","task":"aa.0.0.0","run":12000000007,"event":420}`, "k (term 12)"},
		{`1 k {"what":"run lost","task":"aa.0.0.0","run":12000000007,"event":420}`, "k (term not logged)"},
	} {
		history, err := chronicler.New(fstest.MapFS{"log": {Data: []byte(c.earlier + "\n" + completed)}}).History("aa")
		assert.NilError(t, err)
		last := history.Lines[len(history.Lines)-1]
		assert.Equal(t, last.DecidedBy.String(), c.want, c.earlier)
	}
}

// TestLastCallDecides guards against a sentence about an earlier call of a path, and one that takes a failed inspection of a job for its submission.
func TestLastCallDecides(t *testing.T) {
	lines := `1 e {"subject":1,"path":"/q/aa","reason":"call: no leader was reached","event":440}` + "\n" +
		`2 e {"subject":3,"path":"/q/aa","reason":"call: outcome is not known","event":440}` + "\n"
	files := fstest.MapFS{"log": {Data: []byte(lines)}}
	assert.Assert(t, cmp.Contains(table(t, files, "/q/aa"), "The last call of the path /q/aa has no known outcome: the call failed at 2.0000"))
	assert.Assert(t, cmp.Contains(table(t, files, "aa"), "The job aa was refused at 1.0000 by e: call: no leader was reached."))
	files["log"].Data = []byte(`3 e {"subject":1,"path":"/q/bb","reason":"call: the catalogue has changed meanwhile: the call took 0.7s","event":440}`)
	assert.Assert(t, cmp.Contains(table(t, files, "bb"), "The job bb was refused at 3.0000"))
}

// TestMixedClocks guards against an order between files that the times do not give.
func TestMixedClocks(t *testing.T) {
	files := fstest.MapFS{"a": {Data: []byte(accepted)}, "b": {Data: []byte(`4.5 k {"job":"aa","event":413}`)}}
	assert.Assert(t, cmp.Contains(table(t, files, "aa"), "the times are of two clocks"))
}

// brokenFolder has a file that cannot be read.
type brokenFolder struct{ fstest.MapFS }

func (f brokenFolder) Open(name string) (fs.File, error) {
	if name == "log" {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrPermission}
	}
	return f.MapFS.Open(name)
}

// TestErrors guards against an empty history in place of an error, and an error that does not say what is wrong.
func TestErrors(t *testing.T) {
	for _, c := range []struct {
		name, id string
		files    fs.FS
		kind     chronicler.Kind
		want     string
	}{
		{"unknown id", "bb", fstest.MapFS{"log": {Data: []byte(accepted)}}, chronicler.KindUnknownID, "explain bb: unknown id: none of 1 log lines in 1 files names it"},
		{"part of an id", "a", fstest.MapFS{"log": {Data: []byte(accepted)}}, chronicler.KindUnknownID, "explain a: unknown id"},
		{"empty id", "", fstest.MapFS{"log": {Data: []byte(accepted)}}, chronicler.KindUnknownID, "the id is empty"},
		{"unknown task", "aa.0.0.9", fstest.MapFS{"log": {Data: []byte(accepted)}}, chronicler.KindUnknownID, "1 lines name its job aa"},
		{"no files", "aa", fstest.MapFS{}, chronicler.KindNoLines, "read logs: no log lines: 0 files, 0 other lines"},
		{"no log lines", "aa", fstest.MapFS{"notes": {Data: []byte("a\nb\n")}}, chronicler.KindNoLines, "1 files, 2 other lines"},
		{"missing folder", "aa", os.DirFS("testdata/none"), chronicler.KindUnreadable, "list logs: log files cannot be read"},
		{"no permission", "aa", brokenFolder{fstest.MapFS{"log": {Data: []byte(accepted)}}}, chronicler.KindUnreadable, "read log: log files cannot be read: open log: permission denied"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := chronicler.New(c.files).History(c.id)
			assert.Assert(t, errors.Is(err, c.kind), "%v", err)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
