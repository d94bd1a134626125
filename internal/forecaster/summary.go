package forecaster

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/codec"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/namer"
)

// Kind classifies why a summary was not restored.
type Kind uint8

// Kinds of failure.
const (
	KindUnreadable Kind = iota + 1
	KindVersion
	KindImplausible
)

// Error returns the name of the kind.
func (k Kind) Error() string {
	return namer.Name(k, "none", "unreadable", "other version", "implausible")
}

// Error is a failure to restore a summary.
type Error = fault.Error[Kind]

// MaxSummaryBytes bounds a summary, which every keeper holds and every follower receives.
const MaxSummaryBytes = 8 << 10

const (
	summaryVersion = 1
	// headerBytes is more than what a summary takes apart from its lists.
	headerBytes = 200
	// maxSavedSpeeds is the number of instances of unusual speed in a summary; the rest of it is for run times.
	maxSavedSpeeds = 64
	// unusualSpeed is the distance of the logarithm of a speed from the usual one beyond which it is saved.
	unusualSpeed = 0.2
	// minUnsaved and unsavedShare are how much must be observed, in steps and as a part of all that is known, before a summary has changed much.
	minUnsaved   = 3
	unsavedShare = 0.05
)

// summary is the encoded form of what a forecaster has learned.
type summary struct {
	Version int            `cbor:"1,keyasint"`
	Within  float32        `cbor:"2,keyasint"`
	Remote  float32        `cbor:"3,keyasint"`
	Levels  []levelSummary `cbor:"4,keyasint"`
	Speeds  []speedSummary `cbor:"5,keyasint,omitempty"`
}

// levelSummary is a level with its key; an empty queue is a queue without a name, and depth 0 the root.
type levelSummary struct {
	_        struct{} `cbor:",toarray"`
	Depth    int
	Queue    fleet.QueueID
	Customer fleet.CustomerID
	Image    uint64
	Step     StepNumber
	// Numbers are those of levelNumbers as 32-bit floats.
	Numbers []byte
}

type speedSummary struct {
	_        struct{} `cbor:",toarray"`
	Instance fleet.InstanceID
	Log      float32
	Weight   float32
	Runs     int
}

var summaryCodec = codec.MustNew()

// SummaryDue reports whether much was observed since the last summary.
func (f *Forecaster) SummaryDue() bool {
	return f.unsaved >= max(minUnsaved, unsavedShare*f.root.plain.weight)
}

// Summary returns what was learned in at most MaxSummaryBytes, of which at most half are speeds: of the levels those with the most samples.
func (f *Forecaster) Summary() ([]byte, error) {
	out := summary{Version: summaryVersion, Within: float32(min(f.within.value, maxSavedLog)), Remote: float32(f.remote.value)}
	left := MaxSummaryBytes - headerBytes
	for _, s := range f.unusualSpeeds() {
		n, err := encodedSize(s)
		if err != nil {
			return nil, err
		}
		if left-n < MaxSummaryBytes/2 {
			break
		}
		left -= n
		out.Speeds = append(out.Speeds, s)
	}
	for _, l := range f.savedLevels() {
		if l.check() != nil {
			continue
		}
		n, err := encodedSize(l)
		if err != nil {
			return nil, err
		}
		if left -= n; left < 0 {
			break
		}
		out.Levels = append(out.Levels, l)
	}
	data, err := summaryCodec.Encode(out)
	if err != nil {
		return nil, fault.New("encode summary", KindUnreadable, "%w", err)
	}
	f.unsaved = 0
	return data, nil
}

func encodedSize(v any) (int, error) {
	data, err := summaryCodec.Encode(v)
	if err != nil {
		return 0, fault.New("encode summary", KindUnreadable, "%w", err)
	}
	return len(data), nil
}

// savedLevels returns all levels, the root first and the others by their number of samples.
func (f *Forecaster) savedLevels() []levelSummary {
	type weighed struct {
		levelSummary
		weight float64
	}
	list := []weighed{{levelSummary{Numbers: f.root.encode()}, math.Inf(1)}}
	for i, levels := range f.levels {
		levels.each(func(k levelKey, l *level) {
			list = append(list, weighed{levelSummary{Depth: i + 1, Queue: k.queue, Customer: k.customer, Image: k.image, Step: k.step, Numbers: l.encode()}, l.plain.weight})
		})
	}
	slices.SortStableFunc(list, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	saved := make([]levelSummary, len(list))
	for i := range list {
		saved[i] = list[i].levelSummary
	}
	return saved
}

func (f *Forecaster) unusualSpeeds() []speedSummary {
	var list []speedSummary
	f.speeds.each(func(id fleet.InstanceID, s *speed) {
		saved := speedSummary{Instance: id, Log: s.log, Weight: s.meanWeight(), Runs: s.count}
		if math.Abs(float64(s.log)) > unusualSpeed && saved.check() == nil {
			list = append(list, saved)
		}
	})
	slices.SortStableFunc(list, func(a, b speedSummary) int {
		return cmp.Or(cmp.Compare(math.Abs(float64(b.Log)), math.Abs(float64(a.Log))), cmp.Compare(a.Instance, b.Instance))
	})
	return list[:min(len(list), maxSavedSpeeds)]
}

// Restore replaces what was learned by a summary. If it returns an *Error, nothing was changed.
func (f *Forecaster) Restore(data []byte) error {
	const op = "restore summary"
	var in summary
	if len(data) > MaxSummaryBytes {
		return fault.New(op, KindUnreadable, "%d bytes, want at most %d", len(data), MaxSummaryBytes)
	}
	if err := summaryCodec.Decode(data, &in); err != nil {
		return fault.New(op, KindUnreadable, "%w", err)
	}
	if in.Version != summaryVersion {
		return fault.New(op, KindVersion, "version %d, want %d", in.Version, summaryVersion)
	}
	if err := in.check(); err != nil {
		return fault.New(op, KindImplausible, "%w", err)
	}
	f.within.value, f.remote.value = float64(in.Within), float64(in.Remote)
	for _, s := range slices.Backward(in.Speeds) {
		f.restoreSpeed(s)
	}
	for _, l := range slices.Backward(in.Levels) {
		f.restoreLevel(l)
	}
	f.unsaved = 0
	return nil
}

// restoreLevel adds a level of a checked summary.
func (f *Forecaster) restoreLevel(s levelSummary) {
	l := newLevel(s.Depth)
	l.decode(s.Numbers)
	if s.Depth == depthRoot {
		f.root = l
		return
	}
	key := levelKey{queue: s.Queue, customer: s.Customer, image: s.Image, step: s.Step}
	if _, exists := f.levels[s.Depth-1].get(key); !exists {
		f.levels[s.Depth-1].put(key, l)
	}
}

// restoreSpeed adds the speed of an instance of a checked summary, as if all its runs had been as fast.
func (f *Forecaster) restoreSpeed(in speedSummary) {
	s := &speed{count: in.Runs, next: in.Runs % speedRuns}
	for i := range in.Runs {
		s.ratios[i] = ratio{in.Log, in.Weight}
	}
	s.update()
	if _, exists := f.speeds.get(in.Instance); !exists {
		f.speeds.put(in.Instance, s)
	}
}

// levelNumbers is the number of numbers in the summary of a level.
const levelNumbers = 17

// numbers returns pointers to the numbers of a level that are saved.
func (l *level) numbers() [levelNumbers - 1]*float64 {
	g, p, t := &l.given, &l.plain, &l.tail
	return [...]*float64{
		&g.weight, &g.x, &g.y, &g.xx, &g.xy, &g.variance, &g.errors,
		&p.weight, &p.y, &p.variance, &p.errors,
		&t.weight, &t.hits, &t.excess, &l.sibling.value, &l.sibling.weight,
	}
}

func (l *level) encode() []byte {
	data := make([]byte, 0, 4*levelNumbers)
	for _, n := range l.numbers() {
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(*n)))
	}
	changed := float32(0)
	if l.change.changed {
		changed = 1
	}
	return binary.LittleEndian.AppendUint32(data, math.Float32bits(changed))
}

func (l *level) decode(data []byte) {
	for i, n := range l.numbers() {
		*n = numberAt(data, i)
	}
	l.change.changed = numberAt(data, levelNumbers-1) != 0
}

func numberAt(data []byte, i int) float64 {
	return float64(math.Float32frombits(binary.LittleEndian.Uint32(data[4*i:])))
}
