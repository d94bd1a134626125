package budgeter

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// heapPart is the part of the memory that the Go runtime may use before it frees more eagerly. The rest is for the program itself and for
// what clients have sent that was not read yet.
const heapPart = 0.75

// NewLimits returns the limits of a process with memory in MiB and a number of descriptors. Zero stands for what the host allows.
func NewLimits(memory, descriptors int) Limits {
	l := Limits{Memory: Bytes(memory) * MiB, Descriptors: descriptors}
	if l.Memory == 0 {
		l.Memory = hostMemory()
	}
	if l.Descriptors == 0 {
		l.Descriptors = hostDescriptors()
	}
	return l
}

// Apply tells the Go runtime of the memory, unless it knows a lower limit.
func (l Limits) Apply() {
	debug.SetMemoryLimit(min(debug.SetMemoryLimit(-1), int64(heapPart*float64(l.Memory))))
}

func hostMemory() Bytes {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return math.MaxInt64 / 2
	}
	return Bytes(info.Totalram) * Bytes(info.Unit)
}

func hostDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
