// Package estimator extrapolates the resource usage of each role at the target size from marginal costs.
package estimator

import (
	_ "embed"
	"fmt"
	"strings"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
)

//go:embed slopes.yaml
var slopesText []byte

// Estimator holds the target size, the marginal costs and the commands that reproduce them.
type Estimator struct {
	Targets  Targets           `json:"targets"`
	Slopes   Slopes            `json:"slopes"`
	Commands map[string]string `json:"commands"`
}

// Targets are the fleet size to estimate for and the bounds on the usage of a process.
type Targets struct {
	Instances       float64 `json:"instances"`
	Accelerators    float64 `json:"accelerators"`
	Pools           float64 `json:"pools"`
	Customers       float64 `json:"customers"`
	Entries         float64 `json:"entries"`
	DataCentres     float64 `json:"data-centres"`
	ChangesPerDay   float64 `json:"changes-a-day"`
	RestartsPerDay  float64 `json:"restarts-a-day"`
	FailuresPerDay  float64 `json:"failures-a-day"`
	MaintenanceDays float64 `json:"maintenance-days"`
	CorePercent     float64 `json:"core-percent"`
	MemoryMB        float64 `json:"memory-mb"`
	BytesPerSecond  float64 `json:"bytes-a-second"`
}

// Slopes are fixed costs per process and marginal costs; each name states the unit.
type Slopes struct {
	MemberIdleCorePercent            float64 `json:"member-idle-core-percent"`
	MemberIdleBytesPerSecond         float64 `json:"member-idle-bytes-a-second"`
	MemberResidentMB                 float64 `json:"member-resident-mb"`
	CommitBytesPerFollower           float64 `json:"commit-bytes-a-follower"`
	CommitCoreMicroseconds           float64 `json:"commit-core-microseconds"`
	StateHeapBytesPerInstance        float64 `json:"state-heap-bytes-an-instance"`
	SnapshotBytesPerInstance         float64 `json:"snapshot-bytes-an-instance"`
	SharingBytesPerTarget            float64 `json:"sharing-bytes-a-target"`
	SharingCoreMicrosecondsPerTarget float64 `json:"sharing-core-microseconds-a-target"`
	TickMillisecondsAtTarget         float64 `json:"tick-milliseconds-at-target"`
	PlacementMicroseconds            float64 `json:"placement-microseconds"`
}

// New reads the embedded slopes.yaml.
func New() (*Estimator, error) {
	e := &Estimator{}
	if err := configuration.Decode("slopes.yaml", slopesText, e); err != nil {
		return nil, err
	}
	return e, nil
}

// Rates and sizes of the system that the estimate is based on, and unit conversions.
const (
	secondsPerDay              = 86_400
	commitsPerRestart          = 3
	commitsPerStop             = 6
	commitsPerFailure          = 2
	permitCommitsPerSecond     = 20
	ticksPerSecond             = 10
	retainedLogEntries         = 5120
	logEntryBytes              = 256
	retainedSnapshots          = 2
	placementsPerSecond        = 200
	announcementBytes          = 420
	bytesPerMB                 = 1e6
	microsecondsPerCorePercent = 1e4
	millisecondsPerCorePercent = 10
)

// tableRow is one row of the table in docs/CAPACITY.md.
type tableRow struct {
	role, quantity string
	value          float64
	unit           string
	bound          float64
	slopeName      string
	mechanism      string
}

// commitsPerSecond returns the committed changes per second at the target size.
func (e *Estimator) commitsPerSecond() float64 {
	t := e.Targets
	daily := t.ChangesPerDay + t.RestartsPerDay*commitsPerRestart + t.FailuresPerDay*commitsPerFailure + t.Instances/t.MaintenanceDays*commitsPerStop
	return daily/secondsPerDay + permitCommitsPerSecond
}

func (e *Estimator) rows() []tableRow {
	t, s := e.Targets, e.Slopes
	commitRate := e.commitsPerSecond()
	state := s.StateHeapBytesPerInstance * t.Instances / bytesPerMB
	sharing := s.SharingBytesPerTarget * t.Instances
	sharingCore := s.SharingCoreMicrosecondsPerTarget * t.Instances / microsecondsPerCorePercent
	followerBytes := commitRate * s.CommitBytesPerFollower
	entryCore := s.MemberIdleCorePercent + sharingCore + commitRate*s.CommitCoreMicroseconds/microsecondsPerCorePercent
	keeper := s.MemberResidentMB + state + retainedSnapshots*s.SnapshotBytesPerInstance*t.Instances/bytesPerMB + retainedLogEntries*logEntryBytes/bytesPerMB
	return []tableRow{
		{"all", "commits", commitRate, "a second", 0, "commit", "group commit; permits move only while a pool waits"},
		{"entry", "processor", entryCore, "% of a core", t.CorePercent, "sharing", "feeds with a version vector, three peers a round"},
		{"entry", "memory", s.MemberResidentMB + state, "MB", t.MemoryMB, "memory", "one copy of the state and of the merged announcements"},
		{"entry", "messages", s.MemberIdleBytesPerSecond + followerBytes + sharing, "bytes a second", t.BytesPerSecond, "sharing", "feeds; to carry the target: announcements every 10 s, shared inside a region, and only changes beyond it"},
		{"pool owner", "processor", placementsPerSecond * s.PlacementMicroseconds / microsecondsPerCorePercent, "% of a core", t.CorePercent, "placement", "one owner a pool, 81 instances each, 200 placements a second and owner"},
		{"keeper", "memory", keeper, "MB", t.MemoryMB, "snapshot", "snapshot and a bounded tail of the log"},
		{"keeper", "processor", commitRate * s.CommitCoreMicroseconds / microsecondsPerCorePercent, "% of a core", t.CorePercent, "commit", "group commit"},
		{"leader", "processor", ticksPerSecond * s.TickMillisecondsAtTarget / millisecondsPerCorePercent, "% of a core", t.CorePercent, "tick", "tables indexed once a tick; to carry the target: plan what changed, and the whole fleet once in ten seconds"},
		{"leader", "messages", (t.Entries - 1) * (followerBytes + s.MemberIdleBytesPerSecond), "bytes a second", t.BytesPerSecond, "member", "pushes to every entry; to carry the target: a relay in each region"},
		{"target", "messages", announcementBytes, "bytes a second", t.BytesPerSecond, "sharing", "one announcement a second"},
		{"all", "instances set aside", t.Entries, "instances", t.Entries, "member", "entries keep, own and lead; nothing runs on targets"},
	}
}

// Render returns the table in Markdown; docs/CAPACITY.md must contain it.
func (e *Estimator) Render() string {
	var b strings.Builder
	b.WriteString("| role | what | at the target | bound | met | slope | mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, r := range e.rows() {
		bound, met := "-", "-"
		if r.bound > 0 {
			bound, met = fmt.Sprintf("%.4g", r.bound), "yes"
			if r.value > r.bound {
				met = "NO"
			}
		}
		_, _ = fmt.Fprintf(&b, "| %s | %s | %.4g %s | %s | %s | %s | %s |\n", r.role, r.quantity, r.value, r.unit, bound, met, r.slopeName, r.mechanism)
	}
	return b.String()
}
