package state

import (
	"crypto/sha256"
	"crypto/subtle"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Configure puts a new version of the configuration in force; its version must follow the one in force.
type Configure struct {
	Text []byte
}

func (c Configure) apply(s *State) (Reply, error) {
	parsed, err := configuration.Parse("configuration", c.Text)
	if err != nil {
		return Reply{}, refuse("configure", KindInvalid, "%w", err)
	}
	digest := parsed.Digest()
	reply := Reply{Version: s.ConfigVersion, Digest: s.ConfigDigest}
	if parsed.Version == s.ConfigVersion && digest == s.ConfigDigest {
		return reply, nil
	}
	if parsed.Version == s.ConfigVersion {
		return reply, refuse("configure", KindConflict, "version %d is taken by digest %s", s.ConfigVersion, s.ConfigDigest)
	}
	if parsed.Version != s.ConfigVersion+1 {
		return reply, refuse("configure", KindVersion, "version %d does not follow %d", parsed.Version, s.ConfigVersion)
	}
	if err := s.checkOccupiedPools(parsed); err != nil {
		return reply, err
	}
	s.ConfigText = c.Text
	s.ConfigVersion = parsed.Version
	s.ConfigDigest = digest
	s.config = parsed
	s.revokeOverLimit()
	return Reply{Version: s.ConfigVersion, Digest: s.ConfigDigest}, nil
}

// checkOccupiedPools refuses a configuration that removes a pool with instances.
func (s *State) checkOccupiedPools(c *configuration.Configuration) error {
	for _, id := range sortedKeys(s.Instances) {
		a := s.Instances[id]
		if _, ok := c.Pool(a.Pool); !ok {
			return refuse("configure", KindInvalid, "pool %q still has instance %q", a.Pool, id)
		}
	}
	return nil
}

// revokeOverLimit sets the ceilings of each customer whose grants exceed its limit to zero.
// No new task of that customer starts until the pools have returned enough of their grants.
func (s *State) revokeOverLimit() {
	for _, customer := range sortedKeys(s.Permits) {
		configured, _ := s.config.Customer(customer)
		if s.GrantedTotal(customer) <= configured.Limit {
			continue
		}
		for pool, p := range s.Permits[customer] {
			p.Ceiling = 0
			p.Revision++
			s.Permits[customer][pool] = p
		}
	}
}

// HashKey returns the SHA-256 hash of a secret, as it is stored.
func HashKey(secret string) []byte {
	sum := sha256.Sum256([]byte(secret))
	return sum[:]
}

// GrantKey adds a key of a customer; it is idempotent for equal content.
type GrantKey struct {
	ID       KeyID
	Hash     []byte
	Customer fleet.CustomerID
}

func (c GrantKey) apply(s *State) (Reply, error) {
	if len(c.Hash) != sha256.Size || c.ID == "" {
		return Reply{}, refuse("grant key", KindInvalid, "a key needs an id and a hash of %d bytes", sha256.Size)
	}
	if _, ok := s.config.Customer(c.Customer); !ok {
		return Reply{}, refuse("grant key", KindUnknown, "customer %q is not configured", c.Customer)
	}
	existing, exists := s.Keys[c.ID]
	if exists && existing.Customer == c.Customer && string(existing.Hash) == string(c.Hash) && !existing.Withdrawn {
		return Reply{}, nil
	}
	if exists {
		return Reply{}, refuse("grant key", KindConflict, "key %q exists; a withdrawn key is never granted again", c.ID)
	}
	if _, used := s.keysByHash[string(c.Hash)]; used {
		return Reply{}, refuse("grant key", KindConflict, "this secret was granted before")
	}
	s.Keys[c.ID] = Key{ID: c.ID, Hash: c.Hash, Customer: c.Customer}
	s.keysByHash[string(c.Hash)] = c.ID
	return Reply{}, nil
}

// WithdrawKey revokes a key permanently.
type WithdrawKey struct {
	ID KeyID
}

func (c WithdrawKey) apply(s *State) (Reply, error) {
	k, ok := s.Keys[c.ID]
	if !ok {
		return Reply{}, refuse("withdraw key", KindUnknown, "key %q does not exist", c.ID)
	}
	k.Withdrawn = true
	s.Keys[c.ID] = k
	return Reply{}, nil
}

// Authenticate returns the key with the given secret, if it is not withdrawn and its customer is configured.
// The hashes are compared in constant time.
func (s *State) Authenticate(secret string) (Key, bool) {
	hash := HashKey(secret)
	k, ok := s.Keys[s.keysByHash[string(hash)]]
	equal := subtle.ConstantTimeCompare(hash, k.Hash) == 1
	if !ok || !equal || k.Withdrawn {
		return Key{}, false
	}
	if _, configured := s.config.Customer(k.Customer); !configured {
		return Key{}, false
	}
	return k, true
}
