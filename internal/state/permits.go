package state

import (
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// AssignOwner makes an entry the owner of a pool; the epoch must be one higher than the last.
type AssignOwner struct {
	Pool  fleet.PoolID
	Entry fleet.EntryID
	Epoch uint64
}

func (c AssignOwner) apply(s *State) (Reply, error) {
	old := s.Owners[c.Pool]
	if c.Epoch != old.Epoch+1 {
		return Reply{}, refuse("own", KindStale, "pool %q is at epoch %d", c.Pool, old.Epoch)
	}
	if _, ok := s.config.Pool(c.Pool); !ok {
		return Reply{}, refuse("own", KindUnknown, "pool %q is not configured", c.Pool)
	}
	if _, ok := s.Members[c.Entry]; !ok {
		return Reply{}, refuse("own", KindUnknown, "entry %q is not registered", c.Entry)
	}
	s.Owners[c.Pool] = Ownership{Entry: c.Entry, Epoch: c.Epoch}
	return Reply{}, nil
}

// SetPermit changes the part of a customer's limit that is allocated to a pool.
//
// A grant is lowered only after a report of the current owner, which has applied the given revision. Otherwise
// tasks that were started under an older ceiling would no longer be counted.
type SetPermit struct {
	Customer fleet.CustomerID
	Pool     fleet.PoolID
	Granted  int
	Ceiling  int
	Revision uint64
	Epoch    uint64
}

func (c SetPermit) apply(s *State) (Reply, error) {
	customer, ok := s.config.Customer(c.Customer)
	if !ok && c.Granted > s.Permits[c.Customer][c.Pool].Granted {
		return Reply{}, refuse("allot", KindUnknown, "customer %q is not configured", c.Customer)
	}
	old := s.Permits[c.Customer][c.Pool]
	if c.Granted < 0 || c.Ceiling < 0 {
		return Reply{}, refuse("allot", KindInvalid, "negative permit")
	}
	if c.Revision != old.Revision {
		return Reply{}, refuse("allot", KindStale, "permit of %q in %q is at revision %d", c.Customer, c.Pool, old.Revision)
	}
	if c.Granted < old.Granted && c.Epoch != s.Owners[c.Pool].Epoch {
		return Reply{}, refuse("allot", KindStale, "pool %q is at epoch %d", c.Pool, s.Owners[c.Pool].Epoch)
	}
	if sum := s.GrantedTotal(c.Customer) - old.Granted + c.Granted; c.Granted > old.Granted && sum > customer.Limit {
		return Reply{}, refuse("allot", KindLimit, "customer %q would hold %d of %d", c.Customer, sum, customer.Limit)
	}
	next := Permit{Granted: c.Granted, Ceiling: c.Ceiling, Revision: old.Revision}
	if sum := s.GrantedTotal(c.Customer) - old.Granted + c.Granted; next.Usable() > old.Usable() && sum > customer.Limit {
		return Reply{}, refuse("allot", KindLimit, "customer %q holds %d of %d until more is given back", c.Customer, sum, customer.Limit)
	}
	if next.Ceiling != old.Ceiling || next.Granted > old.Granted {
		next.Revision++
	}
	if s.Permits[c.Customer] == nil {
		s.Permits[c.Customer] = map[fleet.PoolID]Permit{}
	}
	s.Permits[c.Customer][c.Pool] = next
	return Reply{}, nil
}

// GrantedTotal returns the sum of the grants of a customer in all pools, in tasks.
func (s *State) GrantedTotal(customer fleet.CustomerID) int {
	sum := 0
	for _, p := range s.Permits[customer] {
		sum += p.Granted
	}
	return sum
}

// RegisterMember records an entry process and its addresses.
type RegisterMember struct {
	Member Member
}

func (c RegisterMember) apply(s *State) (Reply, error) {
	if c.Member.Entry == "" {
		return Reply{}, refuse("register", KindInvalid, "a member needs a name")
	}
	s.Members[c.Member.Entry] = c.Member
	return Reply{}, nil
}

// RemoveMember removes an entry process that owns no pool.
type RemoveMember struct {
	Entry fleet.EntryID
}

func (c RemoveMember) apply(s *State) (Reply, error) {
	for pool, o := range s.Owners {
		if o.Entry == c.Entry {
			return Reply{}, refuse("forget", KindConflict, "entry %q owns pool %q", c.Entry, pool)
		}
	}
	delete(s.Members, c.Entry)
	return Reply{}, nil
}
