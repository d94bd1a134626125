package configuration

import (
	"fmt"
	"regexp"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Upper bounds of settings.
const (
	maxTimeout   = 24 * time.Hour
	maxBodyLimit = 1 << 30
)

type checker struct {
	faults []check
}

func (k *checker) add(path, format string, args ...any) {
	k.faults = append(k.faults, check{path: path, detail: fmt.Sprintf(format, args...)})
}

func (k *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		k.add(path, format, args...)
	}
}

// names checks that the names of a list are well formed and distinct, and returns them as a set.
func names[T any, N ~string](k *checker, list string, rows []T, name func(T) N) map[N]bool {
	seen := map[N]bool{}
	for i, r := range rows {
		path := fmt.Sprintf("$.%s[%d].name", list, i)
		n := name(r)
		k.require(namePattern.MatchString(string(n)), path, "name %q: want lower-case letters, digits and hyphens", n)
		k.require(!seen[n], path, "name %q stands twice", n)
		seen[n] = true
	}
	return seen
}

func (c *Configuration) check() []check {
	k := &checker{}
	k.require(c.Version > 0, "$.version", "want a version of 1 or more")
	k.require(namePattern.MatchString(c.Site), "$.site", "site %q: want lower-case letters, digits and hyphens", c.Site)
	names(k, "data-centres", c.DataCentres, func(d DataCentre) string { return string(d.Name) })
	customers := names(k, "customers", c.Customers, func(t Customer) string { return string(t.Name) })
	pools := names(k, "pools", c.Pools, func(p Pool) string { return string(p.Name) })
	names(k, "queues", c.Queues, func(q Queue) string { return string(q.Name) })
	c.checkCustomers(k)
	c.checkPools(k)
	c.checkQueues(k, customers, pools)
	c.checkPeaks(k, pools)
	c.checkMaintenance(k)
	return k.faults
}

func (c *Configuration) checkCustomers(k *checker) {
	for i, t := range c.Customers {
		path := fmt.Sprintf("$.customers[%d]", i)
		k.require(t.Share > 0, path+".share", "share %g: want more than 0", t.Share)
		k.require(t.Limit >= 0, path+".limit", "limit %d: want 0 or more", t.Limit)
	}
}

func (c *Configuration) checkPools(k *checker) {
	spares := 0
	for i, p := range c.Pools {
		path := fmt.Sprintf("$.pools[%d]", i)
		k.require(p.MinimumAvailable >= 0, path+".minimum-available", "want 0 or more")
		if !p.Spare {
			continue
		}
		spares++
		k.require(spares == 1, path+".spare", "a second spare pool")
	}
}

func (c *Configuration) checkQueues(k *checker, customers, pools map[string]bool) {
	for i, q := range c.Queues {
		path := fmt.Sprintf("$.queues[%d]", i)
		k.require(pools[string(q.Pool)], path+".pool", "pool %q is not configured", q.Pool)
		if q.Open {
			k.require(q.Customer == "", path+".customer", "an open queue has no customer")
		} else {
			k.require(customers[string(q.Customer)], path+".customer", "customer %q is not configured", q.Customer)
		}
		k.require(q.Timeout > 0 && q.Timeout <= maxTimeout, path+".timeout", "timeout %s: want more than 0 and at most %s", q.Timeout, maxTimeout)
		k.require(q.BodyLimit <= maxBodyLimit, path+".body-limit", "want at most 1GiB")
		n := q.Needs
		k.require(n.Processors >= 0 && n.Memory >= 0 && n.Accelerators >= 0 && n.Slots >= 0 && n.Connections >= 0, path+".needs", "want no negative amount")
	}
}

func (c *Configuration) checkPeaks(k *checker, pools map[string]bool) {
	for i, p := range c.Peaks {
		path := fmt.Sprintf("$.peaks[%d]", i)
		k.require(p.Calendar == Hijri || p.Calendar == Gregorian, path+".calendar", "calendar %q: want hijri or gregorian", p.Calendar)
		k.require(p.Month >= 1 && p.Month <= 12, path+".month", "month %d: want 1 to 12", p.Month)
		k.require(p.Day >= 1 && p.Day <= 31, path+".day", "day %d: want 1 to 31", p.Day)
		k.require(p.Days >= 1 && p.Days <= 60, path+".days", "days %d: want 1 to 60", p.Days)
		k.require(p.Factor >= 1, path+".factor", "factor %g: want 1 or more", p.Factor)
		for n, pool := range p.Pools {
			k.require(pools[string(pool)], fmt.Sprintf("%s.pools[%d]", path, n), "pool %q is not configured", pool)
		}
	}
}

func (c *Configuration) checkMaintenance(k *checker) {
	m := c.Maintenance
	k.require(m.Period >= time.Minute, "$.maintenance.period", "period %s: want at least 1m", m.Period)
	k.require(m.Batch >= 1, "$.maintenance.batch", "batch %d: want 1 or more", m.Batch)
	k.require(m.HaltAfter >= 1, "$.maintenance.halt-after", "want 1 or more")
	k.require(m.DrainTimeout > 0, "$.maintenance.drain-timeout", "want more than 0")
	k.require(m.RebootTimeout > 0, "$.maintenance.reboot-timeout", "want more than 0")
}
