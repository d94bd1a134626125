// Package journaler stores the Raft hard state, log and snapshots of a keeper in journal files in one directory.
//
// A journal file is a sequence of frames, each with a length, checksums and a CBOR record. Open truncates a torn last
// frame and fails if anything before it is corrupt.
package journaler

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/sapphiresail/sapphiresail/internal/codec"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/raft"
)

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	KindCorrupt Kind = iota + 1
	KindFull
	KindIO
	KindClosed
	// KindNoRoom means that the disk had no room for a write and that nothing changed; the write may be repeated.
	KindNoRoom
)

// Error returns the name of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "journal is damaged", "disk is full", "disk I/O failed", "journal is closed", "no room on the disk"}[k]
}

// Error is a failed journal operation.
type Error = fault.Error[Kind]

// Journaler appends the records of one keeper to its current journal file.
type Journaler struct {
	dir     string
	sync    func(*os.File) error
	write   func(f *os.File, frame []byte, offset int64) error
	file    *os.File
	fileSeq uint64
	size    int64
	// snapshotSize is the part of the current file up to its snapshot.
	snapshotSize int64
	writeErr     error
	loaded       Loaded
}

// Loaded is the content of the journal when it was opened.
type Loaded struct {
	Incarnation string
	HardState   raft.HardState
	Snapshot    *raft.Snapshot
	Entries     []raft.Entry
	// TruncatedBytes is the size of a torn last frame that was dropped.
	TruncatedBytes int64
}

// Option configures a Journaler.
type Option func(*Journaler)

// WithSync replaces the function that syncs a file; tests use it to drop or fail writes.
func WithSync(sync func(*os.File) error) Option { return func(j *Journaler) { j.sync = sync } }

// WithWrite replaces the function that writes a frame; tests use it to fill the disk.
func WithWrite(write func(f *os.File, frame []byte, offset int64) error) Option {
	return func(j *Journaler) { j.write = write }
}

func writeFrame(f *os.File, frame []byte, offset int64) error {
	_, err := f.WriteAt(frame, offset)
	return err
}

// record is the body of one frame of a journal file.
type record struct {
	HardState   *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries     []raft.Entry    `cbor:"2,keyasint,omitempty"`
	Snapshot    *raft.Snapshot  `cbor:"3,keyasint,omitempty"`
	Incarnation string          `cbor:"4,keyasint,omitempty"`
}

var recordCodec = codec.MustNew()

// Open reads the newest journal file in dir, truncates a torn last frame and returns the journal ready for appending.
// It creates the directory and the first file if they are missing.
func Open(dir string, options ...Option) (*Journaler, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, ioError("create directory", err)
	}
	j := &Journaler{dir: dir, sync: (*os.File).Sync, write: writeFrame}
	for _, o := range options {
		o(j)
	}
	if err := j.openNewest(); err != nil {
		return nil, err
	}
	return j, nil
}

// Loaded returns the content of the journal when it was opened.
func (j *Journaler) Loaded() Loaded { return j.loaded }

// ReleaseLoaded frees the loaded entries and snapshot after the caller has taken them.
func (j *Journaler) ReleaseLoaded() {
	j.loaded = Loaded{Incarnation: j.loaded.Incarnation, HardState: j.loaded.HardState}
}

// Size returns the size of the current journal file in bytes.
func (j *Journaler) Size() int64 { return j.size }

// Grown returns the bytes of the current journal file after its snapshot.
func (j *Journaler) Grown() int64 { return j.size - j.snapshotSize }

// SetIncarnation stores the identity of the data on this disk.
func (j *Journaler) SetIncarnation(id string) error {
	j.loaded.Incarnation = id
	return j.append(record{Incarnation: id})
}

// Save appends the records of one Ready with a single sync; a snapshot starts a new journal file.
func (j *Journaler) Save(ready raft.Ready) error {
	if ready.Snapshot != nil {
		hard := ready.HardState
		if hard == nil {
			hard = &j.loaded.HardState
		}
		if err := j.Rotate(*hard, ready.Snapshot, ready.Entries); err != nil {
			return err
		}
		return nil
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	if ready.HardState != nil {
		j.loaded.HardState = *ready.HardState
	}
	return j.append(record{HardState: ready.HardState, Entries: ready.Entries})
}

// Rotate starts a new journal file with a snapshot and the entries after it, and removes the old file.
func (j *Journaler) Rotate(hard raft.HardState, snapshot *raft.Snapshot, entries []raft.Entry) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	frame, err := encodeFrame(record{HardState: &hard, Entries: entries, Snapshot: snapshot, Incarnation: j.loaded.Incarnation})
	if err != nil {
		return err
	}
	seq := j.fileSeq + 1
	f, err := j.createFile(j.path(seq), frame)
	if errors.Is(err, KindNoRoom) {
		return err
	}
	if err != nil {
		return j.failWrites("rotate", err)
	}
	oldFile := j.file
	oldSeq := j.fileSeq
	j.file, j.fileSeq, j.size, j.snapshotSize = f, seq, int64(len(frame)), int64(len(frame))
	j.loaded.HardState = hard
	if oldFile != nil {
		_ = oldFile.Close()
		_ = os.Remove(j.path(oldSeq))
	}
	return nil
}

// createFile writes and syncs a file under a temporary name, renames it and syncs the directory, so that a crash leaves
// either no file of that name or a complete one.
func (j *Journaler) createFile(name string, frame []byte) (*os.File, error) {
	temporary := name + ".new"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, noRoomError("create file", err)
	}
	if err = noRoomError("write file", j.write(f, frame, 0)); err == nil {
		err = j.sync(f)
	}
	if err == nil {
		err = os.Rename(temporary, name)
	}
	if err == nil {
		err = j.syncDir()
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(temporary)
		return nil, err
	}
	return f, nil
}

func (j *Journaler) append(r record) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	frame, err := encodeFrame(r)
	if err != nil {
		return err
	}
	if err := noRoomError("append", j.write(j.file, frame, j.size)); errors.Is(err, KindNoRoom) {
		return errors.Join(err, j.file.Truncate(j.size))
	} else if err != nil {
		return j.failWrites("append", err)
	}
	if err := j.sync(j.file); err != nil {
		return j.failWrites("sync", err)
	}
	j.size += int64(len(frame))
	return nil
}

// failWrites makes all later writes fail, because the content of the disk is unknown after a failed write or sync.
func (j *Journaler) failWrites(op string, err error) error {
	j.writeErr = ioError(op, err)
	return j.writeErr
}

func (j *Journaler) syncDir() error {
	d, err := os.Open(j.dir)
	if err != nil {
		return err
	}
	err = j.sync(d)
	return errors.Join(err, d.Close())
}

func (j *Journaler) path(seq uint64) string {
	return filepath.Join(j.dir, fmt.Sprintf("journal-%016d", seq))
}

// Close closes the journal file; later writes fail with KindClosed.
func (j *Journaler) Close() error {
	if j.writeErr == nil {
		j.writeErr = &Error{Op: "write", Kind: KindClosed}
	}
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

// noRoomError returns the error of a write that was not synced as KindNoRoom if the disk or the quota is exhausted. After a failed sync the
// content of the disk is unknown, so that ENOSPC from a sync is final.
func noRoomError(op string, err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &Error{Op: op, Kind: KindNoRoom, Err: err}
	}
	return err
}

// ioError returns err as KindFull if the disk or the quota is exhausted, otherwise as KindIO.
func ioError(op string, err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &Error{Op: op, Kind: KindFull, Err: fmt.Errorf("free space under the data folder and restart: %w", err)}
	}
	return &Error{Op: op, Kind: KindIO, Err: err}
}
