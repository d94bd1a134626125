package state

import (
	"crypto/sha256"
	"crypto/subtle"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Configure puts a new version of the configuration in force.
type Configure struct {
	Text []byte
}

func (c Configure) apply(s *State) (Reply, error) {
	parsed, err := configuration.Parse("configuration", c.Text)
	if err != nil {
		return Reply{}, refuse("configure", KindInvalid, "%w", err)
	}
	digest := parsed.Digest()
	reply := Reply{Version: s.Version, Digest: s.Digest}
	if parsed.Version == s.Version && digest == s.Digest {
		return reply, nil
	}
	if parsed.Version == s.Version {
		return reply, refuse("configure", KindConflict, "version %d is taken by digest %s", s.Version, s.Digest)
	}
	if parsed.Version != s.Version+1 {
		return reply, refuse("configure", KindVersion, "version %d does not follow %d", parsed.Version, s.Version)
	}
	if err := s.keepsPools(parsed); err != nil {
		return reply, err
	}
	s.Text = c.Text
	s.Version = parsed.Version
	s.Digest = digest
	s.config = parsed
	s.lowerCeilings()
	return Reply{Version: s.Version, Digest: s.Digest}, nil
}

// keepsPools refuses a configuration that drops a pool that still has instances.
func (s *State) keepsPools(c *configuration.Configuration) error {
	for _, id := range sortedKeys(s.Instances) {
		a := s.Instances[id]
		if _, ok := c.Pool(a.Pool); !ok {
			return refuse("configure", KindInvalid, "pool %q still has instance %q", a.Pool, id)
		}
	}
	return nil
}

// lowerCeilings stops new work of every customer that holds more than its limit, until enough is given back.
func (s *State) lowerCeilings() {
	for _, customer := range sortedKeys(s.Permits) {
		t, _ := s.config.Customer(customer)
		if s.Granted(customer) <= t.Limit {
			continue
		}
		for pool, p := range s.Permits[customer] {
			p.Ceiling = 0
			p.Revision++
			s.Permits[customer][pool] = p
		}
	}
}

// HashKey returns the stored form of a key's secret.
func HashKey(secret string) []byte {
	sum := sha256.Sum256([]byte(secret))
	return sum[:]
}

// GrantKey gives a customer a key; a resend with equal content is accepted.
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
	old, taken := s.Keys[c.ID]
	if taken && old.Customer == c.Customer && string(old.Hash) == string(c.Hash) && !old.Withdrawn {
		return Reply{}, nil
	}
	if taken {
		return Reply{}, refuse("grant key", KindConflict, "key %q exists; a withdrawn key is never granted again", c.ID)
	}
	if _, used := s.customersByHash[string(c.Hash)]; used {
		return Reply{}, refuse("grant key", KindConflict, "this secret was granted before")
	}
	s.Keys[c.ID] = Key{ID: c.ID, Hash: c.Hash, Customer: c.Customer}
	s.customersByHash[string(c.Hash)] = c.ID
	return Reply{}, nil
}

// WithdrawKey ends a key for good.
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

// Authenticate returns the key whose secret is given; the comparison takes constant time.
func (s *State) Authenticate(secret string) (Key, bool) {
	hash := HashKey(secret)
	k, ok := s.Keys[s.customersByHash[string(hash)]]
	same := subtle.ConstantTimeCompare(hash, k.Hash) == 1
	if !ok || !same || k.Withdrawn {
		return Key{}, false
	}
	if _, configured := s.config.Customer(k.Customer); !configured {
		return Key{}, false
	}
	return k, true
}
