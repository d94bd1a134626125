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
type Moment int64

// At returns the moment of t.
func At(t time.Time) Moment { return Moment(t.UnixMilli()) }

// Time returns the moment as a time.
func (m Moment) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

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
type Reason string

// Reasons of a planned disruption.
const (
	ForMove        Reason = "move"
	ForMaintenance Reason = "maintenance"
	ForOperator    Reason = "operator"
)

// Assignment is what is committed about one instance.
type Assignment struct {
	Instance   fleet.InstanceID   `json:"instance"`
	Pool       fleet.PoolID       `json:"pool"`
	DataCentre fleet.DataCentreID `json:"data-centre"`
	Rack       fleet.RackID       `json:"rack"`
	Phase      Phase              `json:"phase"`
	Reason     Reason             `json:"reason,omitempty"`
	Target     fleet.PoolID       `json:"move-to,omitempty"`
	Since      Moment             `json:"since"`
	Lost       bool               `json:"lost"`
	Isolated   bool               `json:"isolated"`
	Maintained Moment             `json:"maintained"`
	Boot       string             `json:"boot-id"`
	// Fading asks the owner to prefer other instances, because this one is stopped next.
	Fading bool `json:"fading"`
	// Index is the log index of the latest change of phase.
	Index uint64 `json:"index"`
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
	Peer        string             `json:"peer-address"`
	HTTP        string             `json:"http-address"`
	DataCentre  fleet.DataCentreID `json:"data-centre"`
	Keeper      bool               `json:"keeper"`
}

// State is the whole committed state.
type State struct {
	Text       []byte                                       `json:"text"`
	Version    uint64                                       `json:"version"`
	Digest     string                                       `json:"digest"`
	Keys       map[KeyID]Key                                `json:"keys"`
	Instances  map[fleet.InstanceID]Assignment              `json:"instances"`
	Owners     map[fleet.PoolID]Ownership                   `json:"owners"`
	Permits    map[fleet.CustomerID]map[fleet.PoolID]Permit `json:"permits"`
	Claims     map[ClaimKey]Claim                           `json:"claims"`
	ClaimBytes int                                          `json:"claim-bytes"`
	Members    map[fleet.EntryID]Member                     `json:"members"`
	Halted     string                                       `json:"halted"`
	WaveFailed int                                          `json:"wave-failed"`
	// RolloutAt is when an operator last asked for maintenance of every instance.
	RolloutAt Moment `json:"rollout-at"`
	// Work is what jobs need.
	Work Workload `json:"work"`
	// Current is the log index of the latest command.
	Current         uint64 `json:"current"`
	config          *configuration.Configuration
	customersByHash map[string]KeyID
	requests        map[fleet.RequestID]ClaimKey
}

// New returns the empty state.
func New() *State {
	s := &State{}
	s.index()
	return s
}

// index fills the maps that a decoded snapshot may lack and rebuilds what is derived.
func (s *State) index() {
	s.Keys = orEmpty(s.Keys)
	s.Instances = orEmpty(s.Instances)
	s.Owners = orEmpty(s.Owners)
	s.Permits = orEmpty(s.Permits)
	s.Claims = orEmpty(s.Claims)
	s.Members = orEmpty(s.Members)
	s.Work.index()
	s.customersByHash = map[string]KeyID{}
	for id, k := range s.Keys {
		s.customersByHash[string(k.Hash)] = id
	}
	s.requests = map[fleet.RequestID]ClaimKey{}
	for key, c := range s.Claims {
		s.requests[c.Request] = key
	}
	s.config = &configuration.Configuration{}
}

func orEmpty[K comparable, V any](m map[K]V) map[K]V {
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

const firstTag = 70_000

var commands = registered(
	Configure{}, GrantKey{}, WithdrawKey{}, Adopt{}, Disrupt{}, Advance{}, Move{}, Restore{}, Lose{}, Retire{},
	Own{}, Allot{}, Register{}, Forget{}, Open{}, Dispatch{}, Settle{}, Expire{}, Halt{}, Resume{}, Isolate{}, Roll{}, Fade{},
	Publish{}, Submit{}, Cancel{}, NoteEnds{}, ReleaseJobs{}, Enrol{}, Strike{}, OpenWave{}, BeginUpkeep{},
	CloseInstances{}, ReopenInstances{},
)

func registered(samples ...any) *codec.Codec {
	list := make([]codec.Registration, len(samples))
	for i, s := range samples {
		list[i] = codec.Registration{Tag: firstTag + uint64(i), Sample: s}
	}
	return codec.MustNew(list...)
}

// Encode returns a command as a log record.
func Encode(c Command) ([]byte, error) { return commands.Encode(envelope{Command: c}) }

// Apply decodes and applies one log record.
func (s *State) Apply(index uint64, data []byte) Reply {
	var e envelope
	if err := commands.Decode(data, &e); err != nil || e.Command == nil {
		return Reply{Refused: KindInvalid, Detail: fmt.Sprintf("record %d: %v", index, err), Index: index}
	}
	return s.Run(index, e.Command)
}

// Run applies one command.
func (s *State) Run(index uint64, c Command) Reply {
	s.Current = index
	reply, err := c.apply(s)
	reply.Index = index
	if err == nil {
		return reply
	}
	refusal := err.(*Error)
	reply.Refused = refusal.Kind
	reply.Detail = refusal.Err.Error()
	return reply
}

// Snapshot returns the whole state as bytes.
func (s *State) Snapshot() ([]byte, error) { return commands.Encode(s) }

// FromSnapshot reads a state back from a snapshot.
func FromSnapshot(data []byte) (*State, error) {
	s := &State{}
	if len(data) > 0 {
		if err := commands.Decode(data, s); err != nil {
			return nil, fault.New("restore snapshot", KindInvalid, "%w", err)
		}
	}
	s.index()
	if len(s.Text) == 0 {
		return s, nil
	}
	c, err := configuration.Parse("snapshot", s.Text)
	if err != nil {
		return nil, fault.New("restore snapshot", KindInvalid, "%w", err)
	}
	s.config = c
	return s, nil
}
