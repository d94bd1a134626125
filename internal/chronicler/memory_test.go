package chronicler_test

import (
	"io"
	"io/fs"
	"runtime"
	"strings"
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/sapphiresail/sapphiresail/internal/chronicler"
)

// TestRelatedLinesAreBounded guards against memory that grows with hours of dropped-lines events after a job that never ended, and against an omission
// that is not reported.
func TestRelatedLinesAreBounded(t *testing.T) {
	dropped := strings.Repeat(`{"ts":1796466601000,"entry":"k","msg":"log lines dropped","count":1,"event":442}`+"\n", 1005)
	out := table(t, fstest.MapFS{"log": {Data: []byte(accepted + dropped)}}, "aa")
	assert.Equal(t, strings.Count(out, "442 log lines dropped"), 1000)
	assert.Assert(t, cmp.Contains(out, "related events 442 left out beyond the first 1000 read: 5"))
}

// longLog is a log of unrelated lines that is generated while it is read. It measures the memory in use after each 8 MiB.
type longLog struct {
	fs.File
	left, sinceMeasure int
	peak               *uint64
}

const otherLine = `{"level":"info","ts":1796466600000,"msg":"scheduling decision made","entry":"k","what":"run placed","task":"bb.0.0.0","run":1000000001,"instance":"i-1","event":420}` + "\n"

func (l *longLog) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, io.EOF
	}
	n := 0
	for n+len(otherLine) <= len(p) {
		n += copy(p[n:], otherLine)
	}
	l.left -= n
	if l.sinceMeasure += n; l.sinceMeasure > 8<<20 {
		l.sinceMeasure = 0
		*l.peak = max(*l.peak, heapInUse())
	}
	return n, nil
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// longFolder has one generated file beside those of the map.
type longFolder struct {
	fstest.MapFS
	peak uint64
}

func (f *longFolder) Open(name string) (fs.File, error) {
	file, err := f.MapFS.Open(name)
	if err != nil || name != "long" {
		return file, err
	}
	return &longLog{File: file, left: 32 << 20, peak: &f.peak}, nil
}

// TestMemoryIsBounded guards against a command that holds the files instead of the lines of the history.
func TestMemoryIsBounded(t *testing.T) {
	files := &longFolder{MapFS: fstest.MapFS{"long": {}, "short": {Data: []byte(accepted)}}}
	before := heapInUse()
	history, err := chronicler.New(files).History("aa")
	assert.NilError(t, err)
	assert.Equal(t, len(history.Lines), 1)
	assert.Assert(t, files.peak > 0 && files.peak < before+4<<20, "%d bytes in use before, %d while reading", before, files.peak)
}
