package journaler

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/sapphiresail/sapphiresail/internal/raft"
)

const (
	headerBytes   = 12
	markerBytes   = 1
	endMarker     = 0xa5
	maxFrameBytes = 1 << 30
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns a record as a frame: length, checksum of the length, checksum of the body, body, end marker.
// The numbers are little-endian 32-bit integers, the checksums CRC-32C.
func encodeFrame(r record) ([]byte, error) {
	body, err := recordCodec.Encode(r)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindIO, Err: err}
	}
	frame := make([]byte, headerBytes, headerBytes+len(body)+markerBytes)
	binary.LittleEndian.PutUint32(frame, uint32(len(body)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(frame[:4], castagnoliTable))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(body, castagnoliTable))
	frame = append(frame, body...)
	return append(frame, endMarker), nil
}

// openNewest opens the newest journal file, or creates the first one. It removes older and temporary files.
func (j *Journaler) openNewest() error {
	names, err := filepath.Glob(filepath.Join(j.dir, "journal-*"))
	if err != nil {
		return ioError("list", err)
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		if strings.HasSuffix(name, ".new") {
			_ = os.Remove(name)
			return true
		}
		return false
	})
	if len(names) == 0 {
		f, err := j.createFile(j.path(0), nil)
		if err != nil {
			return ioError("create", err)
		}
		j.file = f
		return nil
	}
	slices.Sort(names)
	newest := names[len(names)-1]
	if _, err := fmt.Sscanf(filepath.Base(newest), "journal-%d", &j.fileSeq); err != nil {
		return &Error{Op: "open " + newest, Kind: KindCorrupt, Err: err}
	}
	if err := j.openFile(newest); err != nil {
		return err
	}
	for _, name := range names[:len(names)-1] {
		_ = os.Remove(name)
	}
	return nil
}

// openFile replays a journal file, truncates a torn last frame and keeps the file open for appending.
func (j *Journaler) openFile(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return ioError("read", err)
	}
	validBytes, err := j.replay(name, data)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(name, os.O_RDWR, 0o600)
	if err != nil {
		return ioError("open", err)
	}
	j.file, j.size = f, validBytes
	if s := j.loaded.Snapshot; s != nil {
		j.snapshotSize = min(validBytes, int64(len(s.Data)))
	}
	j.loaded.TruncatedBytes = int64(len(data)) - validBytes
	if j.loaded.TruncatedBytes == 0 {
		return nil
	}
	if err := f.Truncate(validBytes); err != nil {
		return ioError("truncate torn frame", err)
	}
	if err := j.sync(f); err != nil {
		return ioError("sync", err)
	}
	return nil
}

// replay applies the frames of data in order and returns the offset after the last complete one.
func (j *Journaler) replay(name string, data []byte) (int64, error) {
	offset := 0
	for offset < len(data) {
		body, size, err := decodeFrame(data[offset:])
		if err != nil {
			return 0, &Error{Op: "open " + filepath.Base(name), Kind: KindCorrupt, Err: fmt.Errorf(
				"at offset %d: %w; move the data folder away and bring this keeper back with 'member replace'", offset, err)}
		}
		if body == nil {
			break
		}
		var r record
		if err := recordCodec.Decode(body, &r); err != nil {
			return 0, &Error{Op: "open " + filepath.Base(name), Kind: KindCorrupt, Err: fmt.Errorf("at offset %d: %w", offset, err)}
		}
		j.loaded.apply(r)
		offset += size
	}
	return int64(offset), nil
}

// decodeFrame returns the body and size of the first frame of data, or a nil body if the frame is torn.
//
// A frame is torn if the file ends inside it, if it is the last one and its end marker was never written, or if only zero
// bytes remain. Any other checksum mismatch is corruption.
func decodeFrame(data []byte) (body []byte, size int, err error) {
	if len(data) < headerBytes {
		return nil, 0, nil
	}
	n := int(binary.LittleEndian.Uint32(data))
	if crc32.Checksum(data[:4], castagnoliTable) != binary.LittleEndian.Uint32(data[4:]) {
		if allZero(data) {
			return nil, 0, nil
		}
		return nil, 0, fmt.Errorf("length checksum mismatch")
	}
	if n > maxFrameBytes {
		return nil, 0, fmt.Errorf("frame length %d exceeds the maximum", n)
	}
	size = headerBytes + n + markerBytes
	if size > len(data) {
		return nil, 0, nil
	}
	body = data[headerBytes : headerBytes+n]
	marker := data[size-1]
	sum := crc32.Checksum(body, castagnoliTable)
	want := binary.LittleEndian.Uint32(data[8:])
	if sum == want && marker == endMarker {
		return body, size, nil
	}
	if sum != want && marker == 0 && size == len(data) {
		return nil, 0, nil
	}
	return nil, 0, fmt.Errorf("body checksum %08x, want %08x, end marker %02x", sum, want, marker)
}

func allZero(data []byte) bool {
	return !slices.ContainsFunc(data, func(b byte) bool { return b != 0 })
}

// apply merges one record into the loaded content; its entries replace loaded ones from their index on.
func (l *Loaded) apply(r record) {
	if r.Incarnation != "" {
		l.Incarnation = r.Incarnation
	}
	if r.Snapshot != nil {
		l.Snapshot = r.Snapshot
		l.Entries = nil
	}
	if r.HardState != nil {
		l.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		l.Entries = append(l.entriesBefore(e.Index), e)
	}
}

// entriesBefore returns the loaded entries before index.
func (l *Loaded) entriesBefore(index uint64) []raft.Entry {
	if len(l.Entries) == 0 {
		return nil
	}
	first := l.Entries[0].Index
	if index <= first {
		return nil
	}
	return l.Entries[:min(uint64(len(l.Entries)), index-first)]
}
