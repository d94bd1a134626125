// Package state is the committed state of the system: tables changed only by commands in log order.
package state

import (
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/codec"
	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Kind is a kind of refusal of a command.
type Kind uint8

// Kinds of refusals.
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

var kindNames = [...]string{"none", "invalid", "conflict", "wrong version", "not known", "availability budget",
	"upper limit", "wrong phase", "full", "maintenance is halted", "stale"}

// Error names the kind.
func (k Kind) Error() string { return kindNames[k] }

// Error is a refused command.
type Error = fault.Error[Kind]

// Moment is a time in milliseconds since 1970, UTC.
type Timestamp int64

// At returns the moment of t.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time returns the moment as a time.
func (m Timestamp) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// KeyID names a key without revealing it.
type KeyID string

// Key is the right of a customer to ask for work; the secret is kept as a hash only.
type Key struct {
	ID        KeyID            `json:"id"`
	Hash      []byte           `json:"-" cbor:"hash"`
	Customer  fleet.CustomerID `json:"customer"`
	Withdrawn bool             `json:"withdrawn"`
}

// Phase is the step of planned work that an instance is in.
type Phase string

// Phases of an instance.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Rebooting Phase = "rebooting"
	Verifying Phase = "verifying"
)

// Reason is why an instance was taken out of service.
type DisruptionReason string

// Reasons of a planned disruption.
const (
	ReasonMove        DisruptionReason = "move"
	ReasonMaintenance DisruptionReason = "maintenance"
	ReasonOperator    DisruptionReason = "operator"
)

// Assignment is what is committed about one instance.
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
	// Fading asks the owner to prefer other instances, because this one is stopped next.
	Deprioritized bool `json:"fading"`
	// Index is the log index of the latest change of phase.
	PhaseIndex uint64 `json:"index"`
}

// Available reports whether the instance counts for its pool's availability budget.
func (a Assignment) Available() bool { return a.Phase == Serving && !a.Lost }

// Ownership is the lease of a pool; it holds while the entry's state lease holds.
type Ownership struct {
	Entry fleet.EntryID `json:"entry"`
	Epoch uint64        `json:"epoch"`
}

// Permit is the part of a customer's upper limit that one pool holds.
type Permit struct {
	// Granted counts against the limit.
	Granted int `json:"granted"`
	// Ceiling is what the pool's owner may use of it.
	Ceiling int `json:"ceiling"`
	// Revision changes with every change of the ceiling.
	Revision uint64 `json:"revision"`
}

// Usable is the number of tasks that the owner may have running.
func (p Permit) Usable() int { return min(p.Granted, p.Ceiling) }

// Member is a registered process of the system.
type Member struct {
	Entry       fleet.EntryID      `json:"entry"`
	Incarnation string             `json:"incarnation"`
	PeerAddress string             `json:"peer-address"`
	HTTPAddress string             `json:"http-address"`
	DataCentre  fleet.DataCentreID `json:"data-centre"`
	Keeper      bool               `json:"keeper"`
}

// State is the whole committed state.
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
	// RolloutAt is when an operator last asked for maintenance of every instance.
	RolloutAt Timestamp `json:"rollout-at"`
	// Work is what jobs need.
	Workload Workload `json:"work"`
	// Current is the log index of the latest command.
	AppliedIndex    uint64 `json:"current"`
	config          *configuration.Configuration
	keysByHash      map[string]KeyID
	claimsByRequest map[fleet.RequestID]ClaimKey
}

// New returns the empty state.
func New() *State {
	s := &State{}
	s.rebuildIndexes()
	return s
}

// index fills the maps that a decoded snapshot may lack and rebuilds what is derived.
func (s *State) rebuildIndexes() {
	s.Keys = mapOrEmpty(s.Keys)
	s.Instances = mapOrEmpty(s.Instances)
	s.Owners = mapOrEmpty(s.Owners)
	s.Permits = mapOrEmpty(s.Permits)
	s.Claims = mapOrEmpty(s.Claims)
	s.Members = mapOrEmpty(s.Members)
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

func mapOrEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

// Configuration returns the configuration in force; it must not be changed.
func (s *State) Configuration() *configuration.Configuration { return s.config }

// Command is a change of the state.
type Command interface {
	// apply changes the state or refuses with an Error; it must not depend on anything else.
	apply(s *State) (Reply, error)
}

// Reply is the outcome of a command at every replica.
type Reply struct {
	Refused Kind   `json:"refused,omitempty"`
	Detail  string `json:"detail,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Claim   *Claim `json:"claim,omitempty"`
	// Index is the log index of the command.
	Index uint64 `json:"index,omitempty"`
}

// Err returns the refusal as an error, or nil.
func (r Reply) Err() error {
	if r.Refused == 0 {
		return nil
	}
	return &Error{Op: "commit", Kind: r.Refused, Err: fmt.Errorf("%s", r.Detail)}
}

func refuse(op string, k Kind, format string, args ...any) error {
	return fault.New(op, k, format, args...)
}

// envelope carries a command of any registered type.
type envelope struct {
	Command Command `cbor:"1,keyasint"`
}

const firstCommandTag = 70_000

var commandCodec = newCommandCodec(
	Configure{}, GrantKey{}, WithdrawKey{}, AssignInstance{}, Disrupt{}, AdvancePhase{}, CompleteMove{}, Restore{}, SetLost{}, RemoveInstance{},
	AssignOwner{}, SetPermit{}, RegisterMember{}, RemoveMember{}, OpenClaim{}, DispatchClaim{}, SettleClaim{}, ExpireClaims{}, Halt{}, Resume{}, SetIsolated{}, Roll{}, SetDeprioritized{},
	PublishCatalogue{}, SubmitJob{}, CancelJob{}, RecordRunEnds{}, DeleteJobs{}, EnrolInstance{}, DeregisterInstances{}, AddWave{}, RecordMaintenanceStart{},
	CordonInstances{}, UncordonInstances{},
)

func newCommandCodec(commands ...any) *codec.Codec {
	registrations := make([]codec.Registration, len(commands))
	for i, s := range commands {
		registrations[i] = codec.Registration{Tag: firstCommandTag + uint64(i), Sample: s}
	}
	return codec.MustNew(registrations...)
}

// Encode returns a command as a log record.
func Encode(c Command) ([]byte, error) { return commandCodec.Encode(envelope{Command: c}) }

// Apply decodes and applies one log record.
func (s *State) Apply(index uint64, data []byte) Reply {
	var e envelope
	if err := commandCodec.Decode(data, &e); err != nil || e.Command == nil {
		return Reply{Refused: KindInvalid, Detail: fmt.Sprintf("record %d: %v", index, err), Index: index}
	}
	return s.ApplyCommand(index, e.Command)
}

// Run applies one command.
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

// Snapshot returns the whole state as bytes.
func (s *State) Snapshot() ([]byte, error) { return commandCodec.Encode(s) }

// FromSnapshot reads a state back from a snapshot.
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
