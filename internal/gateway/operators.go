package gateway

import (
	"context"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/receiver"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// requireOperator wraps a handler and refuses requests without the operator key.
func (g *Gateway) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, want := state.HashKey(bearerToken(r)), state.HashKey(g.options.OperatorKey)
		if g.options.OperatorKey == "" || subtle.ConstantTimeCompare(given, want) != 1 {
			notRunProblem(http.StatusUnauthorized, "the operator key is missing or wrong").write(w)
			return
		}
		next(w, r)
	}
}

func (g *Gateway) putConfig(w http.ResponseWriter, r *http.Request) {
	text, refusal := g.bodies.Receive(w, r, configuration.MaxBytes)
	if refusal == nil {
		refusal = receiver.Charge(w, r, decodedFactor*int64(len(text)))
	}
	if refusal != nil {
		bodyProblem(refusal).write(w)
		return
	}
	name := r.URL.Query().Get("file")
	if name == "" {
		name = "configuration"
	}
	if _, err := configuration.Parse(name, text); err != nil {
		notRunProblem(http.StatusBadRequest, err.Error()).write(w)
		return
	}
	g.commitCommand(w, r, state.Configure{Text: text})
}

func (g *Gateway) getConfig(w http.ResponseWriter, _ *http.Request) {
	g.options.Replica.View(func(s *state.State) {
		w.Header().Set("Content-Type", "application/yaml")
		w.Header().Set("Configuration-Digest", s.ConfigDigest)
		_, _ = w.Write(s.ConfigText)
	})
}

// writeSorted writes the rows that read collects from the state as a JSON array, sorted by compare.
func writeSorted[T any](g *Gateway, w http.ResponseWriter, read func(s *state.State) []T, compare func(a, b T) int) {
	rows := []T{}
	g.options.Replica.View(func(s *state.State) { rows = append(rows, read(s)...) })
	slices.SortFunc(rows, compare)
	writeJSON(w, http.StatusOK, rows)
}

func mapValues[K comparable, V any](m map[K]V) []V {
	rows := make([]V, 0, len(m))
	for _, v := range m {
		rows = append(rows, v)
	}
	return rows
}

func (g *Gateway) getKeys(w http.ResponseWriter, _ *http.Request) {
	writeSorted(g, w, func(s *state.State) []state.Key { return mapValues(s.Keys) },
		func(a, b state.Key) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// KeyGrant is the body of a request to grant a key; it has only the hash, as the secret never leaves the operator.
type KeyGrant struct {
	Customer fleet.CustomerID `json:"customer"`
	Hash     string           `json:"sha-256"`
}

func (g *Gateway) putKey(w http.ResponseWriter, r *http.Request) {
	var grant KeyGrant
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeaderBytes)).Decode(&grant); err != nil {
		notRunProblem(http.StatusBadRequest, "key: "+err.Error()).write(w)
		return
	}
	hash, err := hex.DecodeString(grant.Hash)
	if err != nil {
		notRunProblem(http.StatusBadRequest, "sha-256: "+err.Error()).write(w)
		return
	}
	id := state.KeyID(r.PathValue("key"))
	event.KeyChanged.Info(g.options.Logger, zap.String("key", string(id)), zap.String("customer", string(grant.Customer)), zap.String("change", "grant"))
	g.commitCommand(w, r, state.GrantKey{ID: id, Hash: hash, Customer: grant.Customer})
}

func (g *Gateway) deleteKey(w http.ResponseWriter, r *http.Request) {
	id := state.KeyID(r.PathValue("key"))
	event.KeyChanged.Info(g.options.Logger, zap.String("key", string(id)), zap.String("customer", ""), zap.String("change", "withdraw"))
	g.commitCommand(w, r, state.WithdrawKey{ID: id})
}

// InstanceView is an element of the response to GET /v1/instances.
type InstanceView struct {
	state.Assignment
	Address   string          `json:"address"`
	Condition fleet.Condition `json:"condition"`
	TaskCount int             `json:"tasks"`
	SilentFor string          `json:"silent"`
}

func (g *Gateway) getInstances(w http.ResponseWriter, _ *http.Request) {
	now := g.options.Clock()
	writeSorted(g, w, func(s *state.State) []InstanceView {
		rows := make([]InstanceView, 0, len(s.Instances))
		g.options.Announcements.Read(func(observations *sharer.Sharer) {
			for id, a := range s.Instances {
				observation, _ := observations.Get(id)
				rows = append(rows, InstanceView{
					Assignment: a, Address: observation.Instance.Address, Condition: observation.Instance.Condition,
					TaskCount: len(observation.Instance.Tasks), SilentFor: (now - observation.LastSeen).Round(time.Millisecond).String(),
				})
			}
		})
		return rows
	}, func(a, b InstanceView) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
}

func (g *Gateway) disrupt(w http.ResponseWriter, r *http.Request, reason state.DisruptionReason, toPool fleet.PoolID) {
	id := fleet.InstanceID(r.PathValue("instance"))
	c := state.Disrupt{Instance: id, Reason: reason, Target: toPool, At: state.TimestampOf(time.Now())}
	g.options.Announcements.Read(func(observations *sharer.Sharer) {
		observation, _ := observations.Get(id)
		c.Boot = observation.Instance.BootID
	})
	g.commitCommand(w, r, c)
}

func (g *Gateway) drainInstance(w http.ResponseWriter, r *http.Request) {
	g.disrupt(w, r, state.ReasonMaintenance, "")
}

func (g *Gateway) moveInstance(w http.ResponseWriter, r *http.Request) {
	g.disrupt(w, r, state.ReasonMove, fleet.PoolID(r.URL.Query().Get("to")))
}

func (g *Gateway) resumeInstance(w http.ResponseWriter, r *http.Request) {
	g.commitCommand(w, r, state.Restore{Instance: fleet.InstanceID(r.PathValue("instance")), At: state.TimestampOf(time.Now())})
}

// PoolView is an element of the response to GET /v1/pools.
type PoolView struct {
	Pool             fleet.PoolID  `json:"pool"`
	Owner            fleet.EntryID `json:"owner"`
	Epoch            uint64        `json:"epoch"`
	Instances        int           `json:"instances"`
	Available        int           `json:"available"`
	MinimumAvailable int           `json:"minimum-available"`
	Spare            bool          `json:"spare"`
}

func (g *Gateway) getPools(w http.ResponseWriter, _ *http.Request) {
	writeSorted(g, w, func(s *state.State) []PoolView {
		var rows []PoolView
		for _, p := range s.Configuration().Pools {
			owner := s.Owners[p.Name]
			row := PoolView{Pool: p.Name, Owner: owner.Entry, Epoch: owner.Epoch, Available: s.AvailableInstances(p.Name), MinimumAvailable: p.MinimumAvailable, Spare: p.Spare}
			for _, a := range s.Instances {
				if a.Pool == p.Name {
					row.Instances++
				}
			}
			rows = append(rows, row)
		}
		return rows
	}, func(a, b PoolView) int { return strings.Compare(string(a.Pool), string(b.Pool)) })
}

// MaintenanceView is the progress of the current roll-out, with the number of instances in each phase.
type MaintenanceView struct {
	HaltReason   string         `json:"halted"`
	WaveFailures int            `json:"failed-in-wave"`
	RolloutAt    time.Time      `json:"rollout-at"`
	Done         int            `json:"done"`
	Waiting      int            `json:"waiting"`
	Phases       map[string]int `json:"phases"`
}

func (g *Gateway) getMaintenance(w http.ResponseWriter, _ *http.Request) {
	view := MaintenanceView{Phases: map[string]int{}}
	g.options.Replica.View(func(s *state.State) {
		view.HaltReason, view.WaveFailures, view.RolloutAt = s.HaltReason, s.WaveFailures, s.RolloutAt.Time()
		for _, a := range s.Instances {
			if a.MaintainedAt >= s.RolloutAt {
				view.Done++
			} else {
				view.Waiting++
			}
			view.Phases[string(a.Phase)]++
		}
	})
	writeJSON(w, http.StatusOK, view)
}

func (g *Gateway) postMaintenance(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("action") {
	case "start":
		g.commitCommand(w, r, state.Roll{At: state.TimestampOf(time.Now())})
	case "halt":
		g.commitCommand(w, r, state.Halt{Reason: "halted by an operator"})
	case "resume":
		g.commitCommand(w, r, state.Resume{})
	default:
		notRunProblem(http.StatusNotFound, "want start, halt or resume").write(w)
	}
}

// MembersView is the replication status of this entry and all members of the group.
type MembersView struct {
	Status  replicator.Status `json:"status"`
	Members []state.Member    `json:"members"`
}

func (g *Gateway) getMembers(w http.ResponseWriter, _ *http.Request) {
	view := MembersView{Status: g.options.Replica.Status()}
	g.options.Replica.View(func(s *state.State) { view.Members = mapValues(s.Members) })
	slices.SortFunc(view.Members, func(a, b state.Member) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	writeJSON(w, http.StatusOK, view)
}

// MemberRequest is the body of a request to change the membership.
type MemberRequest struct {
	Add    fleet.EntryID `json:"add,omitempty"`
	Remove string        `json:"remove,omitempty"`
}

func (g *Gateway) postMembers(w http.ResponseWriter, r *http.Request) {
	var m MemberRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeaderBytes)).Decode(&m); err != nil || m.Add == "" && m.Remove == "" {
		notRunProblem(http.StatusBadRequest, "want a body with add, remove or both").write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	if err := g.options.Replica.ChangeMembers(ctx, replicator.MemberChange{Add: m.Add, Remove: m.Remove}); err != nil {
		problem{Status: http.StatusConflict, Detail: err.Error(), Outcome: fleet.Unknown}.write(w)
		return
	}
	g.getMembers(w, r)
}

func (g *Gateway) getDecisions(w http.ResponseWriter, r *http.Request) {
	rows := g.options.Leader.Decisions(r.URL.Query().Get("subject"))
	if rows == nil {
		rows = []Decision{}
	}
	writeJSON(w, http.StatusOK, rows)
}

func (g *Gateway) getMetrics(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, g.options.Metrics.GetAll())
}

// StatusView is the response to GET /v1/status: a summary of this entry and of the replicated state.
type StatusView struct {
	Entry         fleet.EntryID        `json:"entry"`
	LeaseLeft     string               `json:"lease-left"`
	Member        replicator.Status    `json:"member"`
	ConfigVersion uint64               `json:"configuration-version"`
	ConfigDigest  string               `json:"configuration-digest"`
	Instances     int                  `json:"instances"`
	LostInstances int                  `json:"lost"`
	Claims        int                  `json:"claims"`
	HaltReason    string               `json:"maintenance-halted"`
	Reports       []planner.PoolReport `json:"pools,omitempty"`
}

func (g *Gateway) getStatus(w http.ResponseWriter, _ *http.Request) {
	view := StatusView{
		Entry: g.options.Entry, LeaseLeft: g.options.Replica.LeaseLeft().Round(time.Millisecond).String(),
		Member: g.options.Replica.Status(), Reports: g.options.Leader.Reports(),
	}
	g.options.Replica.View(func(s *state.State) {
		view.ConfigVersion, view.ConfigDigest, view.Instances, view.Claims, view.HaltReason = s.ConfigVersion, s.ConfigDigest, len(s.Instances), len(s.Claims), s.HaltReason
		for _, a := range s.Instances {
			if a.Lost {
				view.LostInstances++
			}
		}
	})
	writeJSON(w, http.StatusOK, view)
}
