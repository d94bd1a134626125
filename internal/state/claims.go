package state

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// ClaimKey is a customer's idempotency key.
type ClaimKey string

// NewClaimKey returns the key of a claim: idempotency keys of different customers never meet.
func NewClaimKey(customer fleet.CustomerID, key string) ClaimKey {
	return ClaimKey(string(customer) + "/" + key)
}

// Claim is the committed record of a request that must not run twice.
type Claim struct {
	Key      ClaimKey         `json:"key"`
	Request  fleet.RequestID  `json:"request"`
	Customer fleet.CustomerID `json:"customer"`
	Queue    fleet.QueueID    `json:"queue"`
	Digest   []byte           `json:"digest"`
	Entry    fleet.EntryID    `json:"entry"`
	Boot     string           `json:"boot"`
	Attempt  fleet.AttemptID  `json:"attempt,omitempty"`
	Instance fleet.InstanceID `json:"instance,omitempty"`
	Address  string           `json:"address,omitempty"`
	Opened   Moment           `json:"opened"`
	Settled  Moment           `json:"settled,omitempty"`
	Result   fleet.Result     `json:"result,omitempty"`
	Status   int              `json:"status,omitempty"`
	Type     string           `json:"content-type,omitempty"`
	Answer   []byte           `json:"answer,omitempty"`
	// Repeatable tells that the request may have had attempts that are not recorded.
	Repeatable bool `json:"repeatable,omitempty"`
	// Remote tells that the answer is too large to record and stays with the target.
	Remote bool `json:"remote,omitempty"`
}

// Bounds of recorded claims.
const (
	MaxAnswerBytes = 16 << 10
	MaxClaimBytes  = 8 << 20
	claimOverhead  = 512
)

func (c Claim) size() int { return claimOverhead + len(c.Answer) + len(c.Type) + 2*len(c.Key) }

// Open claims an idempotency key; a claim that exists is returned unchanged, unless its request did not run.
type Open struct {
	Claim Claim
}

func (c Open) apply(s *State) (Reply, error) {
	old, exists := s.Claims[c.Claim.Key]
	if exists && old.Request == c.Claim.Request {
		return Reply{Claim: &old}, nil
	}
	if exists && old.Result != fleet.NotRun {
		return Reply{Claim: &old}, refuse("claim", KindConflict, "the idempotency key is in use")
	}
	if exists {
		s.drop(old)
	}
	s.makeRoom(c.Claim.size())
	if s.ClaimBytes+c.Claim.size() > MaxClaimBytes {
		return Reply{}, refuse("claim", KindFull, "%d bytes of claims are open", s.ClaimBytes)
	}
	s.put(c.Claim)
	return Reply{Claim: &c.Claim}, nil
}

// Dispatch records the only attempt of a claim before it is sent.
type Dispatch struct {
	Key      ClaimKey
	Request  fleet.RequestID
	Attempt  fleet.AttemptID
	Instance fleet.InstanceID
	Address  string
}

func (c Dispatch) apply(s *State) (Reply, error) {
	claim, ok := s.Claims[c.Key]
	if !ok || claim.Request != c.Request {
		return Reply{}, refuse("dispatch", KindUnknown, "no such claim")
	}
	if claim.Attempt == c.Attempt {
		return Reply{Claim: &claim}, nil
	}
	if claim.Attempt != "" || claim.Result != "" {
		return Reply{Claim: &claim}, refuse("dispatch", KindConflict, "the claim has attempt %q", claim.Attempt)
	}
	claim.Attempt, claim.Instance, claim.Address = c.Attempt, c.Instance, c.Address
	s.put(claim)
	return Reply{Claim: &claim}, nil
}

// Settle records the answer of a claim; only unknown may be settled again, when the truth is learned.
type Settle struct {
	Key     ClaimKey
	Request fleet.RequestID
	Attempt fleet.AttemptID
	Result  fleet.Result
	Status  int
	Type    string
	Answer  []byte
	Remote  bool
	// Instance and Address tell where a remote answer is kept.
	Instance fleet.InstanceID
	Address  string
	// ByEntry tells that the entry that opened the claim settles it, whatever its attempt.
	ByEntry bool
	At      Moment
}

func (c Settle) apply(s *State) (Reply, error) {
	claim, ok := s.Claims[c.Key]
	if !ok || claim.Request != c.Request || claim.Attempt != c.Attempt && !c.ByEntry {
		return Reply{}, refuse("settle", KindUnknown, "no such claim or attempt")
	}
	if claim.Result != "" && claim.Result != fleet.Unknown {
		return Reply{Claim: &claim}, nil
	}
	s.ClaimBytes -= claim.size()
	claim.Result, claim.Status, claim.Type, claim.Settled = c.Result, c.Status, c.Type, c.At
	claim.Answer, claim.Remote = c.Answer, c.Remote
	if c.Remote {
		claim.Attempt, claim.Instance, claim.Address = c.Attempt, c.Instance, c.Address
	}
	if len(claim.Answer) > MaxAnswerBytes {
		claim.Answer, claim.Remote = nil, true
	}
	s.ClaimBytes += claim.size()
	s.Claims[c.Key] = claim
	return Reply{Claim: &claim}, nil
}

// Expire forgets claims settled before a moment.
type Expire struct {
	Before Moment
}

func (c Expire) apply(s *State) (Reply, error) {
	for _, key := range sortedKeys(s.Claims) {
		claim := s.Claims[key]
		if claim.Result != "" && claim.Settled < c.Before {
			s.drop(claim)
		}
	}
	return Reply{}, nil
}

func (s *State) put(c Claim) {
	if old, ok := s.Claims[c.Key]; ok {
		s.ClaimBytes -= old.size()
	}
	s.ClaimBytes += c.size()
	s.Claims[c.Key] = c
	s.requests[c.Request] = c.Key
}

func (s *State) drop(c Claim) {
	s.ClaimBytes -= c.size()
	delete(s.Claims, c.Key)
	delete(s.requests, c.Request)
}

// makeRoom drops the answers settled longest ago until size more bytes fit; the claims stay.
func (s *State) makeRoom(size int) {
	if s.ClaimBytes+size <= MaxClaimBytes {
		return
	}
	keys := slices.DeleteFunc(sortedKeys(s.Claims), func(k ClaimKey) bool { return len(s.Claims[k].Answer) == 0 })
	slices.SortStableFunc(keys, func(a, b ClaimKey) int { return cmp.Compare(s.Claims[a].Settled, s.Claims[b].Settled) })
	for _, k := range keys {
		if s.ClaimBytes+size <= MaxClaimBytes*9/10 {
			return
		}
		c := s.Claims[k]
		s.ClaimBytes -= len(c.Answer)
		c.Answer, c.Remote = nil, true
		s.Claims[k] = c
	}
}

// Request returns the claim of a request.
func (s *State) Request(id fleet.RequestID) (Claim, bool) {
	key, ok := s.requests[id]
	if !ok {
		return Claim{}, false
	}
	return s.Claims[key], true
}
