// Package state is the replicated state machine: tables that only committed commands change, in log order.
package state

import (
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/codec"
	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/namer"
)

// Kind classifies why a command was refused.
type Kind uint8

// Kinds of refusal.
const (
	KindInvalid Kind = iota + 1
	KindConflict
	KindVersion
	KindUnknown
	KindBudget
	KindLimit
	KindPhase
	KindFull
	KindHalted
	KindStale
)

// Error returns the name of the kind, which is the title of a problem response.
func (k Kind) Error() string {
	return namer.Name(k, "none", "invalid", "conflict", "wrong version", "not known", "availability budget",
		"upper limit", "wrong phase", "full", "maintenance is halted", "stale")
}

// Error is the refusal of a command.
type Error = fault.Error[Kind]

// Timestamp is a time in milliseconds since the Unix epoch, UTC.
type Timestamp int64

// TimestampOf returns t in milliseconds since the Unix epoch.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time returns the timestamp as a time in UTC.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)).UTC() }

// KeyID identifies a key without revealing its secret.
type KeyID string

// Key authorizes a customer to submit requests; only the hash of its secret is stored.
type Key struct {
	ID        KeyID            `json:"id"`
	Hash      []byte           `json:"-" cbor:"hash"`
	Customer  fleet.CustomerID `json:"customer"`
	Withdrawn bool             `json:"withdrawn"`
}

// Phase is the stage of a planned disruption that an instance is in.
type Phase string

// Phases of an instance.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Rebooting Phase = "rebooting"
	Verifying Phase = "verifying"
)

// DisruptionReason is why an instance was taken out of service.
type DisruptionReason string

// Reasons of a planned disruption.
const (
	ReasonMove        DisruptionReason = "move"
	ReasonMaintenance DisruptionReason = "maintenance"
	ReasonOperator    DisruptionReason = "operator"
)

// Assignment is the committed record of one instance: its pool, phase and health.
type Assignment struct {
	Instance     fleet.InstanceID   `json:"instance"`
	Pool         fleet.PoolID       `json:"pool"`
	DataCentre   fleet.DataCentreID `json:"data-centre"`
	Rack         fleet.RackID       `json:"rack"`
	Phase        Phase              `json:"phase"`
	Reason       DisruptionReason   `json:"reason,omitempty"`
	MoveTo       fleet.PoolID       `json:"move-to,omitempty"`
	Since        Timestamp          `json:"since"`
	Lost         bool               `json:"lost"`
	Isolated     bool               `json:"isolated"`
	MaintainedAt Timestamp          `json:"maintained"`
	BootID       string             `json:"boot-id"`
	// Deprioritized makes the pool owner prefer other instances, because this one is stopped next.
	Deprioritized bool `json:"fading"`
	// PhaseIndex is the log index of the latest phase change.
	PhaseIndex uint64 `json:"index"`
}

// Available reports whether the instance counts for its pool's availability budget.
func (a Assignment) Available() bool { return a.Phase == Serving && !a.Lost }

// Ownership is the lease that an entry has on a pool; it is valid while the state lease of the entry is.
type Ownership struct {
	Entry fleet.EntryID `json:"entry"`
	Epoch uint64        `json:"epoch"`
}

// Permit is the part of a customer's upper limit that is allocated to one pool, in tasks.
type Permit struct {
	// Granted counts towards the limit of the customer.
	Granted int `json:"granted"`
	// Ceiling is how much of the grant the pool owner may use.
	Ceiling int `json:"ceiling"`
	// Revision increases when the ceiling changes or the grant rises.
	Revision uint64 `json:"revision"`
}

// Usable returns the number of tasks that the pool owner may run.
func (p Permit) Usable() int { return min(p.Granted, p.Ceiling) }

// Member is a registered entry process and its addresses.
type Member struct {
	Entry       fleet.EntryID      `json:"entry"`
	Incarnation string             `json:"incarnation"`
	PeerAddress string             `json:"peer-address"`
	HTTPAddress string             `json:"http-address"`
	DataCentre  fleet.DataCentreID `json:"data-centre"`
	Keeper      bool               `json:"keeper"`
}

// State holds all committed tables and the indexes derived from them.
type State struct {
	ConfigText    []byte                                       `json:"text"`
	ConfigVersion uint64                                       `json:"version"`
	ConfigDigest  string                                       `json:"digest"`
	Keys          map[KeyID]Key                                `json:"keys"`
	Instances     map[fleet.InstanceID]Assignment              `json:"instances"`
	Owners        map[fleet.PoolID]Ownership                   `json:"owners"`
	Permits       map[fleet.CustomerID]map[fleet.PoolID]Permit `json:"permits"`
	Claims        map[ClaimKey]Claim                           `json:"claims"`
	ClaimBytes    int                                          `json:"claim-bytes"`
	Members       map[fleet.EntryID]Member                     `json:"members"`
	HaltReason    string                                       `json:"halted"`
	WaveFailures  int                                          `json:"wave-failed"`
	// RolloutAt is when an operator last requested maintenance of every instance.
	RolloutAt Timestamp `json:"rollout-at"`
	// DrainedDataCentres holds the data centres on whose instances nothing is started, and DrainRevisions the log index of the latest
	// change of each data centre that an accepted request has named.
	DrainedDataCentres map[fleet.DataCentreID]DataCentreDrain `json:"drained-data-centres,omitempty"`
	DrainRevisions     map[fleet.DataCentreID]uint64          `json:"drain-revisions,omitempty"`
	// Workload holds the catalogue, the jobs, the enrolled instances and the maintenance waves.
	Workload Workload `json:"work"`
	// AppliedIndex is the log index of the latest applied command.
	AppliedIndex    uint64 `json:"current"`
	config          *configuration.Configuration
	keysByHash      map[string]KeyID
	claimsByRequest map[fleet.RequestID]ClaimKey
}

// New returns an empty state.
func New() *State {
	s := &State{}
	s.rebuildIndexes()
	return s
}

// rebuildIndexes creates the maps that a decoded snapshot may lack and rebuilds the indexes derived from the tables.
func (s *State) rebuildIndexes() {
	s.Keys = mapOrEmpty(s.Keys)
	s.Instances = mapOrEmpty(s.Instances)
	s.Owners = mapOrEmpty(s.Owners)
	s.Permits = mapOrEmpty(s.Permits)
	s.Claims = mapOrEmpty(s.Claims)
	s.Members = mapOrEmpty(s.Members)
	s.DrainedDataCentres = mapOrEmpty(s.DrainedDataCentres)
	s.DrainRevisions = mapOrEmpty(s.DrainRevisions)
	s.Workload.initMaps()
	s.keysByHash = map[string]KeyID{}
	for id, k := range s.Keys {
		s.keysByHash[string(k.Hash)] = id
	}
	s.claimsByRequest = map[fleet.RequestID]ClaimKey{}
	for key, c := range s.Claims {
		s.claimsByRequest[c.Request] = key
	}
	s.config = &configuration.Configuration{}
}

// mapOrEmpty returns m, or an empty map if m is nil.
func mapOrEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

// Configuration returns the configuration in force, which callers must not modify.
func (s *State) Configuration() *configuration.Configuration { return s.config }

// Command is a change of the state; every replica applies it with the same outcome.
type Command interface {
	// apply changes the state or returns an *Error; it must depend only on the command and the state.
	apply(s *State) (Reply, error)
}

// Reply is the outcome of a command, the same at every replica.
type Reply struct {
	Refused Kind   `json:"refused,omitempty"`
	Detail  string `json:"detail,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Claim   *Claim `json:"claim,omitempty"`
	// Index is the log index of the command.
	Index uint64 `json:"index,omitempty"`
}

// Err returns the refusal as an *Error, or nil if the command was applied.
func (r Reply) Err() error {
	if r.Refused == 0 {
		return nil
	}
	return &Error{Op: "commit", Kind: r.Refused, Err: fmt.Errorf("%s", r.Detail)}
}

func refuse(op string, k Kind, format string, args ...any) error {
	return fault.New(op, k, format, args...)
}

// envelope wraps a command of any registered type in a log record.
type envelope struct {
	Command Command `cbor:"1,keyasint"`
}

// firstCommandTag is the CBOR tag of the first command type; the others follow in the order of registration.
const firstCommandTag = 70_000

// commandCodec tags each command type by its position in this list, so types are only ever appended.
var commandCodec = newCommandCodec(
	Configure{}, GrantKey{}, WithdrawKey{}, AssignInstance{}, Disrupt{}, AdvancePhase{}, CompleteMove{}, Restore{}, SetLost{}, RemoveInstance{},
	AssignOwner{}, SetPermit{}, RegisterMember{}, RemoveMember{}, OpenClaim{}, DispatchClaim{}, SettleClaim{}, ExpireClaims{}, Halt{}, Resume{}, SetIsolated{}, Roll{}, SetDeprioritized{},
	PublishCatalogue{}, SubmitJob{}, CancelJob{}, RecordRunEnds{}, DeleteJobs{}, EnrolInstance{}, DeregisterInstances{}, AddWave{}, RecordMaintenanceStart{},
	CordonInstances{}, UncordonInstances{}, Barrier{}, DrainDataCentre{}, ResumeDataCentre{},
	RecordForecast{},
	DeleteWaves{},
)

func newCommandCodec(commands ...any) *codec.Codec {
	registrations := make([]codec.Registration, len(commands))
	for i, c := range commands {
		registrations[i] = codec.Registration{Tag: firstCommandTag + uint64(i), Sample: c}
	}
	return codec.MustNew(registrations...)
}

// Barrier changes no table. Its proposer waits for it to learn that all commands proposed before it are applied or never will be.
type Barrier struct{}

func (Barrier) apply(*State) (Reply, error) { return Reply{}, nil }

// Encode returns the log record of a command.
func Encode(c Command) ([]byte, error) { return commandCodec.Encode(envelope{Command: c}) }

// Apply decodes one log record and applies its command; a record that cannot be decoded is refused as invalid.
func (s *State) Apply(index uint64, data []byte) Reply {
	var e envelope
	if err := commandCodec.Decode(data, &e); err != nil || e.Command == nil {
		return Reply{Refused: KindInvalid, Detail: fmt.Sprintf("record %d: %v", index, err), Index: index}
	}
	return s.ApplyCommand(index, e.Command)
}

// ApplyCommand applies one command at a log index and returns its outcome.
func (s *State) ApplyCommand(index uint64, c Command) Reply {
	s.AppliedIndex = index
	reply, err := c.apply(s)
	reply.Index = index
	if err == nil {
		return reply
	}
	refused := err.(*Error)
	reply.Refused = refused.Kind
	reply.Detail = refused.Err.Error()
	return reply
}

// Snapshot returns the committed tables as CBOR.
func (s *State) Snapshot() ([]byte, error) { return commandCodec.Encode(s) }

// FromSnapshot decodes a snapshot and parses the configuration in it; no data gives an empty state.
func FromSnapshot(data []byte) (*State, error) {
	s := &State{}
	if len(data) > 0 {
		if err := commandCodec.Decode(data, s); err != nil {
			return nil, fault.New("restore snapshot", KindInvalid, "%w", err)
		}
	}
	s.rebuildIndexes()
	if len(s.ConfigText) == 0 {
		return s, nil
	}
	c, err := configuration.Parse("snapshot", s.ConfigText)
	if err != nil {
		return nil, fault.New("restore snapshot", KindInvalid, "%w", err)
	}
	s.config = c
	return s, nil
}
