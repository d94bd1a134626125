// Package event defines the numbered log events of the system.
package event

import (
	"cmp"
	"slices"

	"go.uber.org/zap"
)

// Event is one kind of log line. Its name is the message of the line; the number identifies the event independently of the name.
type Event struct {
	Number int
	Name   string
	// Fields are the names of the line's fields, in kebab case.
	Fields []string
}

var catalogue []Event

func define(number int, name string, fields ...string) Event {
	e := Event{Number: number, Name: name, Fields: fields}
	catalogue = append(catalogue, e)
	return e
}

// Events of processes and the committed state.
var (
	ProcessStarted            = define(100, "process started", "entry", "data-centre", "http-address", "peer-address", "keeper")
	ProcessStopping           = define(101, "process stopping", "reason")
	ProcessStopped            = define(102, "process stopped")
	JournalOpened             = define(110, "journal opened", "index", "entries", "cut-bytes")
	JournalFull               = define(128, "journal full", "error")
	JournalWritable           = define(129, "journal writable again", "after")
	JournalFailed             = define(111, "journal failed", "error")
	GroupBootstrapped         = define(112, "consensus group bootstrapped", "voters")
	RoleChanged               = define(113, "role changed", "role", "term", "leader")
	SnapshotTaken             = define(114, "snapshot taken", "index", "bytes")
	LeaseLost                 = define(115, "state lease lost", "behind")
	LeaseRegained             = define(116, "state lease regained", "index")
	MembershipChangeRequested = define(117, "membership change requested", "change", "member", "error")
	SnapshotFailed            = define(118, "state snapshot failed", "error")
	CommandRefused            = define(119, "command refused", "command", "reason")
	ConfigurationApplied      = define(120, "configuration applied", "version", "digest")
	MessageRefused            = define(130, "message refused", "from", "reason")
	KeyChanged                = define(121, "key changed", "key", "customer", "change")
)

// Events of routing and placement.
var (
	PoolAcquired      = define(200, "pool ownership acquired", "pool", "epoch", "adopted")
	PoolReleased      = define(201, "pool ownership released", "pool", "epoch")
	RequestAccepted   = define(210, "request accepted", "request", "queue", "customer")
	RequestRefused    = define(211, "request refused", "request", "queue", "customer", "status", "reason")
	RequestQueued     = define(212, "request queued", "request", "pool", "customer", "depth")
	TaskPlaced        = define(213, "task placed", "request", "attempt", "pool", "customer", "instance", "reason")
	TaskEnded         = define(214, "task ended", "attempt", "pool", "instance", "success", "took")
	TaskRetried       = define(215, "task retried", "request", "attempt", "instance", "reason")
	TaskAdopted       = define(216, "task adopted", "attempt", "pool", "customer", "instance")
	ResponseDiscarded = define(217, "response discarded", "attempt", "reason")
	ClaimResolved     = define(218, "claim resolved", "request", "attempt", "result")
	TaskPreempted     = define(219, "task over its share", "attempt", "instance", "action")
	InstanceAnnounced = define(220, "instance announced", "instance", "pool", "data-centre", "rack")
	InstanceSuspect   = define(221, "instance suspect", "instance", "silent")
	InstanceRecovered = define(222, "instance back", "instance")
	InstanceIsolated  = define(223, "instance isolated", "instance", "failures")
	InstanceReleased  = define(224, "instance released from isolation", "instance")
)

// Events of jobs.
var (
	LeaderFound        = define(400, "leader found", "leader")
	LeadershipAcquired = define(401, "leadership acquired", "term", "jobs", "instances")
	LeadershipEnded    = define(402, "leadership ended", "term", "reason", "lapsed")
	RunsReconciled     = define(403, "inherited runs reconciled", "term")
	LeaderLoad         = define(404, "leader load", "term", "over", "processor", "plans", "planning", "plan-max", "plan-gap", "posts", "posted",
		"post-delay", "inbox", "polls", "polls-in-flight", "reports", "report-age", "report-age-max", "orders", "calls", "orders-in-flight", "orders-waiting", "commits",
		"commits-in-flight", "commit", "jobs-held", "jobs", "instances", "waiting", "lease-left")
	LeadershipGivenUp      = define(406, "leadership given up", "term")
	LeadershipResumed      = define(405, "leadership resumed", "term", "paused")
	JobAccepted            = define(410, "job accepted", "job", "queue", "customer", "tasks", "version")
	JobRefused             = define(411, "job refused", "job", "host", "path", "reason", "version")
	JobCancelled           = define(412, "job cancelled", "job")
	JobFailed              = define(413, "job failed", "job")
	JobCompleted           = define(414, "job completed", "job", "took")
	JobsMismatched         = define(415, "jobs mismatched", "term", "what", "count", "jobs")
	JobHopeless            = define(416, "job hopeless", "job", "queue", "customer", "pool", "ahead", "possible", "retry-after")
	DecisionMade           = define(420, "scheduling decision made", "what", "task", "run", "instance", "machine", "reason")
	OrderCompleted         = define(421, "order completed", "order", "task", "run", "instance", "outcome", "took", "error")
	PollFailed             = define(422, "poll failed", "instance", "outcome", "error")
	InstanceEnrolled       = define(423, "instance enrolled", "instance", "pool", "machine", "address")
	AdviceRequestCompleted = define(425, "advice request completed", "step", "asked", "good", "error")
	InstanceDraining       = define(424, "instance draining", "instance", "left")
	TaskWaiting            = define(426, "task waiting", "task", "class", "waited", "inherited", "tasks", "reason", "pool", "free", "total")
	InstanceChanged        = define(427, "instance changed", "instance", "draining", "capacity")
	ForecastIgnored        = define(428, "forecast summary ignored", "term", "bytes", "error")
	BootMismatched         = define(429, "poll answered by another boot", "instance", "boot", "answered-by", "acknowledged", "deadline", "clock", "running", "ended")
	CataloguePublished     = define(430, "catalogue published", "version", "sent-version")
	CatalogueRefused       = define(431, "catalogue refused", "sent-version", "reason")
	WaveOpened             = define(432, "wave opened", "wave", "machines", "at-once", "within")
	MachineOrderCompleted  = define(433, "machine order completed", "machine", "wave", "pool", "outcome", "error")
	MachineListFailed      = define(434, "machine list request failed", "error")
	DataCentreDrained      = define(435, "data centre drained", "data-centre", "by", "index")
	DataCentreResumed      = define(436, "data centre resumed", "data-centre", "by", "index")
	CarrierLost            = define(443, "carrier lost", "carrier", "exchanges", "silent")
	CallRefused            = define(444, "call refused", "operation", "path", "reason")
	WaveCompleted          = define(450, "wave completed", "wave", "machines", "late", "took")
	WaveAdvanced           = define(451, "wave advanced", "wave", "begun", "machines", "down", "evacuating", "left")
	WaveObstructed         = define(452, "wave obstructed", "wave", "reason", "count", "machines", "left")
	AnnouncementsDelayed   = define(453, "announcements delayed", "announcements", "reason")
	AnnouncementRefused    = define(454, "announcement refused", "from", "count", "reason")
	ClientsRefused         = define(455, "clients refused", "share", "refused", "evicted", "bytes", "limit", "connections", "reason")
	CallFailed             = define(440, "call failed", "subject", "host", "path", "reason", "took")
	SettingsReloaded       = define(441, "settings reloaded", "seeds")
	LinesDropped           = define(442, "log lines dropped", "count")
)

// Events of planning.
var (
	PermitAllotted    = define(300, "permit allotted", "customer", "pool", "granted", "ceiling", "reason")
	OwnerAssigned     = define(301, "pool owner assigned", "pool", "entry", "epoch", "reason")
	InstanceAdopted   = define(302, "instance adopted", "instance", "pool")
	InstanceLost      = define(303, "instance lost", "instance", "pool", "silent")
	MoveStarted       = define(310, "move started", "instance", "from", "to", "reason")
	MoveCompleted     = define(311, "move done", "instance", "to")
	StopStarted       = define(320, "planned stop started", "instance", "pool", "reason")
	StopAdvanced      = define(321, "planned stop advanced", "instance", "phase")
	StopCompleted     = define(322, "planned stop done", "instance", "took")
	StopCancelled     = define(323, "planned stop called off", "instance", "reason")
	MaintenanceHalted = define(324, "maintenance halted", "reason")
)

// All returns all events, ordered by number.
func All() []Event {
	list := slices.Clone(catalogue)
	slices.SortFunc(list, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// Info logs the event at info level; the number is added as the field "event".
func (e Event) Info(logger *zap.Logger, fields ...zap.Field) {
	logger.Info(e.Name, append(fields, zap.Int("event", e.Number))...)
}

// Warn logs the event at warn level.
func (e Event) Warn(logger *zap.Logger, fields ...zap.Field) {
	logger.Warn(e.Name, append(fields, zap.Int("event", e.Number))...)
}

// Error logs the event at error level.
func (e Event) Error(logger *zap.Logger, fields ...zap.Field) {
	logger.Error(e.Name, append(fields, zap.Int("event", e.Number))...)
}
