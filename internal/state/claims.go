package state

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// ClaimKey is an idempotency key qualified by its customer.
type ClaimKey string

// NewClaimKey returns the key of a claim, which differs between customers that use the same idempotency key.
func NewClaimKey(customer fleet.CustomerID, key string) ClaimKey {
	return ClaimKey(string(customer) + "/" + key)
}

// Claim is the committed record of a request with an idempotency key, which must not run twice.
type Claim struct {
	Key         ClaimKey         `json:"key"`
	Request     fleet.RequestID  `json:"request"`
	Customer    fleet.CustomerID `json:"customer"`
	Queue       fleet.QueueID    `json:"queue"`
	Digest      []byte           `json:"digest"`
	Entry       fleet.EntryID    `json:"entry"`
	EntryBoot   string           `json:"boot"`
	Attempt     fleet.AttemptID  `json:"attempt,omitempty"`
	Instance    fleet.InstanceID `json:"instance,omitempty"`
	Address     string           `json:"address,omitempty"`
	OpenedAt    Timestamp        `json:"opened"`
	SettledAt   Timestamp        `json:"settled,omitempty"`
	Result      fleet.Result     `json:"result,omitempty"`
	Status      int              `json:"status,omitempty"`
	ContentType string           `json:"content-type,omitempty"`
	Response    []byte           `json:"answer,omitempty"`
	// Repeatable is set if the request may have had attempts that are not recorded.
	Repeatable bool `json:"repeatable,omitempty"`
	// Remote is set if the response is too large to record, or was evicted, and stays with the target.
	Remote bool `json:"remote,omitempty"`
}

// Limits on the size of recorded claims.
const (
	// MaxResponseBytes limits one recorded response; a larger one stays with the target.
	MaxResponseBytes = 16 << 10
	// MaxClaimsBytes limits all recorded claims together.
	MaxClaimsBytes = 8 << 20
	// claimOverheadBytes estimates the fixed size of a claim.
	claimOverheadBytes = 512
)

func (c Claim) sizeBytes() int {
	return claimOverheadBytes + len(c.Response) + len(c.ContentType) + 2*len(c.Key)
}

// OpenClaim records a claim; an existing claim is returned unchanged, or replaced if its request did not run.
type OpenClaim struct {
	Claim Claim
}

func (c OpenClaim) apply(s *State) (Reply, error) {
	existing, exists := s.Claims[c.Claim.Key]
	if exists && existing.Request == c.Claim.Request {
		return Reply{Claim: &existing}, nil
	}
	if exists && existing.Result != fleet.NotRun {
		return Reply{Claim: &existing}, refuse("claim", KindConflict, "the idempotency key is in use")
	}
	if exists {
		s.deleteClaim(existing)
	}
	s.evictResponses(c.Claim.sizeBytes())
	if s.ClaimBytes+c.Claim.sizeBytes() > MaxClaimsBytes {
		return Reply{}, refuse("claim", KindFull, "%d bytes of claims are open", s.ClaimBytes)
	}
	s.putClaim(c.Claim)
	return Reply{Claim: &c.Claim}, nil
}

// DispatchClaim records the only attempt of a claim before it is sent to a target.
type DispatchClaim struct {
	Key      ClaimKey
	Request  fleet.RequestID
	Attempt  fleet.AttemptID
	Instance fleet.InstanceID
	Address  string
}

func (c DispatchClaim) apply(s *State) (Reply, error) {
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
	s.putClaim(claim)
	return Reply{Claim: &claim}, nil
}

// SettleClaim records the result of a claim; only the result unknown may be replaced later.
type SettleClaim struct {
	Key     ClaimKey
	Request fleet.RequestID
	Attempt fleet.AttemptID
	Result  fleet.Result
	Status  int
	Type    string
	Answer  []byte
	Remote  bool
	// Instance and Address locate the target that keeps a remote response.
	Instance fleet.InstanceID
	Address  string
	// ByEntry is set if the entry that opened the claim settles it, whatever its attempt.
	ByEntry bool
	At      Timestamp
}

func (c SettleClaim) apply(s *State) (Reply, error) {
	claim, ok := s.Claims[c.Key]
	if !ok || claim.Request != c.Request || claim.Attempt != c.Attempt && !c.ByEntry {
		return Reply{}, refuse("settle", KindUnknown, "no such claim or attempt")
	}
	if claim.Result != "" && claim.Result != fleet.Unknown {
		return Reply{Claim: &claim}, nil
	}
	s.ClaimBytes -= claim.sizeBytes()
	claim.Result, claim.Status, claim.ContentType, claim.SettledAt = c.Result, c.Status, c.Type, c.At
	claim.Response, claim.Remote = c.Answer, c.Remote
	if c.Remote {
		claim.Attempt, claim.Instance, claim.Address = c.Attempt, c.Instance, c.Address
	}
	if len(claim.Response) > MaxResponseBytes {
		claim.Response, claim.Remote = nil, true
	}
	s.ClaimBytes += claim.sizeBytes()
	s.Claims[c.Key] = claim
	return Reply{Claim: &claim}, nil
}

// ExpireClaims deletes the claims that were settled before a time.
type ExpireClaims struct {
	Before Timestamp
}

func (c ExpireClaims) apply(s *State) (Reply, error) {
	for _, key := range sortedKeys(s.Claims) {
		claim := s.Claims[key]
		if claim.Result != "" && claim.SettledAt < c.Before {
			s.deleteClaim(claim)
		}
	}
	return Reply{}, nil
}

func (s *State) putClaim(c Claim) {
	if old, ok := s.Claims[c.Key]; ok {
		s.ClaimBytes -= old.sizeBytes()
	}
	s.ClaimBytes += c.sizeBytes()
	s.Claims[c.Key] = c
	s.claimsByRequest[c.Request] = c.Key
}

func (s *State) deleteClaim(c Claim) {
	s.ClaimBytes -= c.sizeBytes()
	delete(s.Claims, c.Key)
	delete(s.claimsByRequest, c.Request)
}

// evictResponses makes room for size bytes: over the limit, it drops the responses settled longest ago, down to 90 %.
// The claims themselves stay, because they prevent a second run.
func (s *State) evictResponses(size int) {
	if s.ClaimBytes+size <= MaxClaimsBytes {
		return
	}
	keys := slices.DeleteFunc(sortedKeys(s.Claims), func(k ClaimKey) bool { return len(s.Claims[k].Response) == 0 })
	slices.SortStableFunc(keys, func(a, b ClaimKey) int { return cmp.Compare(s.Claims[a].SettledAt, s.Claims[b].SettledAt) })
	for _, k := range keys {
		if s.ClaimBytes+size <= MaxClaimsBytes*9/10 {
			return
		}
		c := s.Claims[k]
		s.ClaimBytes -= len(c.Response)
		c.Response, c.Remote = nil, true
		s.Claims[k] = c
	}
}

// ClaimByRequest returns the claim of a request.
func (s *State) ClaimByRequest(id fleet.RequestID) (Claim, bool) {
	key, ok := s.claimsByRequest[id]
	if !ok {
		return Claim{}, false
	}
	return s.Claims[key], true
}
