// Package estimator works out what each role costs at the target size from recorded slopes.
package estimator

import (
	_ "embed"
	"fmt"
	"strings"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
)

//go:embed slopes.yaml
var slopesText []byte

// Estimator holds the target size and the measured slopes.
type Estimator struct {
	Targets  Targets           `json:"targets"`
	Slopes   Slopes            `json:"slopes"`
	Commands map[string]string `json:"commands"`
}

// Targets are the sizes and bounds of the target.
type Targets struct {
	Instances       float64 `json:"instances"`
	Accelerators    float64 `json:"accelerators"`
	Pools           float64 `json:"pools"`
	Customers       float64 `json:"customers"`
	Entries         float64 `json:"entries"`
	DataCentres     float64 `json:"data-centres"`
	ChangesADay     float64 `json:"changes-a-day"`
	RestartsADay    float64 `json:"restarts-a-day"`
	FailuresADay    float64 `json:"failures-a-day"`
	MaintenanceDays float64 `json:"maintenance-days"`
	CorePercent     float64 `json:"core-percent"`
	MemoryMB        float64 `json:"memory-mb"`
	BytesASecond    float64 `json:"bytes-a-second"`
}

// Slopes are measured costs; their names carry the units.
type Slopes struct {
	MemberIdleCorePercent    float64 `json:"member-idle-core-percent"`
	MemberIdleBytes          float64 `json:"member-idle-bytes-a-second"`
	MemberResidentMB         float64 `json:"member-resident-mb"`
	CommitBytesAFollower     float64 `json:"commit-bytes-a-follower"`
	CommitCoreMicroseconds   float64 `json:"commit-core-microseconds"`
	StateHeapBytes           float64 `json:"state-heap-bytes-an-instance"`
	SnapshotBytes            float64 `json:"snapshot-bytes-an-instance"`
	SharingBytesATarget      float64 `json:"sharing-bytes-a-target"`
	SharingCoreMicroseconds  float64 `json:"sharing-core-microseconds-a-target"`
	TickMillisecondsAtTarget float64 `json:"tick-milliseconds-at-target"`
	PlacementMicroseconds    float64 `json:"placement-microseconds"`
}

// New reads the recorded slopes.
func New() (*Estimator, error) {
	e := &Estimator{}
	if err := configuration.Decode("slopes.yaml", slopesText, e); err != nil {
		return nil, err
	}
	return e, nil
}

// Rates and sizes that the estimate assumes of the product, as its constants set them.
const (
	secondsADay       = 86_400
	commitsARestart   = 3
	commitsAStop      = 6
	commitsAFailure   = 2
	permitChanges     = 20
	ticksASecond      = 10
	logEntries        = 5120
	logEntryBytes     = 256
	keptSnapshots     = 2
	placementsASecond = 200
	announcementBytes = 420
	bytesAMB          = 1e6
	microsAPercent    = 1e4
	millisAPercent    = 10
)

// row is one line of the page.
type row struct {
	role, what string
	value      float64
	unit       string
	bound      float64
	slope      string
	mechanism  string
}

// commits returns the committed changes a second at the target size.
func (e *Estimator) commits() float64 {
	t := e.Targets
	daily := t.ChangesADay + t.RestartsADay*commitsARestart + t.FailuresADay*commitsAFailure + t.Instances/t.MaintenanceDays*commitsAStop
	return daily/secondsADay + permitChanges
}

func (e *Estimator) rows() []row {
	t, s := e.Targets, e.Slopes
	commits := e.commits()
	state := s.StateHeapBytes * t.Instances / bytesAMB
	sharing := s.SharingBytesATarget * t.Instances
	sharingCore := s.SharingCoreMicroseconds * t.Instances / microsAPercent
	follow := commits * s.CommitBytesAFollower
	entryCore := s.MemberIdleCorePercent + sharingCore + commits*s.CommitCoreMicroseconds/microsAPercent
	keeper := s.MemberResidentMB + state + keptSnapshots*s.SnapshotBytes*t.Instances/bytesAMB + logEntries*logEntryBytes/bytesAMB
	return []row{
		{"all", "commits", commits, "a second", 0, "commit", "group commit; permits move only while a pool waits"},
		{"entry", "processor", entryCore, "% of a core", t.CorePercent, "sharing", "feeds with a version vector, three peers a round"},
		{"entry", "memory", s.MemberResidentMB + state, "MB", t.MemoryMB, "memory", "one copy of the state and of the merged announcements"},
		{"entry", "messages", s.MemberIdleBytes + follow + sharing, "bytes a second", t.BytesASecond, "sharing", "feeds; to carry the target: announcements every 10 s, shared inside a region, and only changes beyond it"},
		{"pool owner", "processor", placementsASecond * s.PlacementMicroseconds / microsAPercent, "% of a core", t.CorePercent, "placement", "one owner a pool, 81 instances each, 200 placements a second and owner"},
		{"keeper", "memory", keeper, "MB", t.MemoryMB, "snapshot", "snapshot and a bounded tail of the log"},
		{"keeper", "processor", commits * s.CommitCoreMicroseconds / microsAPercent, "% of a core", t.CorePercent, "commit", "group commit"},
		{"leader", "processor", ticksASecond * s.TickMillisecondsAtTarget / millisAPercent, "% of a core", t.CorePercent, "tick", "tables indexed once a tick; to carry the target: plan what changed, and the whole fleet once in ten seconds"},
		{"leader", "messages", (t.Entries - 1) * (follow + s.MemberIdleBytes), "bytes a second", t.BytesASecond, "member", "pushes to every entry; to carry the target: a relay in each region"},
		{"target", "messages", announcementBytes, "bytes a second", t.BytesASecond, "sharing", "one announcement a second"},
		{"all", "instances set aside", t.Entries, "instances", t.Entries, "member", "entries keep, own and lead; nothing runs on targets"},
	}
}

// Render returns the table of the page in Markdown.
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
		_, _ = fmt.Fprintf(&b, "| %s | %s | %.4g %s | %s | %s | %s | %s |\n", r.role, r.what, r.value, r.unit, bound, met, r.slope, r.mechanism)
	}
	return b.String()
}
