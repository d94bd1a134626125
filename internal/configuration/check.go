package configuration

import (
	"fmt"
	"regexp"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Upper bounds of queue settings.
const (
	maxQueueTimeout   = 24 * time.Hour
	maxBodyLimitBytes = 1 << 30
)

// validator collects the violations found in one configuration.
type validator struct {
	violations []violation
}

func (v *validator) add(path, format string, args ...any) {
	v.violations = append(v.violations, violation{path: path, detail: fmt.Sprintf(format, args...)})
}

// require records a violation at path unless ok holds.
func (v *validator) require(ok bool, path, format string, args ...any) {
	if !ok {
		v.add(path, format, args...)
	}
}

// validateNames checks that the names of the list at the key field are well formed and distinct, and returns them as a set.
func validateNames[T any, N ~string](v *validator, field string, items []T, nameOf func(T) N) map[N]bool {
	seen := map[N]bool{}
	for i, item := range items {
		path := fmt.Sprintf("$.%s[%d].name", field, i)
		n := nameOf(item)
		v.require(namePattern.MatchString(string(n)), path, "name %q: want lower-case letters, digits and hyphens", n)
		v.require(!seen[n], path, "name %q stands twice", n)
		seen[n] = true
	}
	return seen
}

// validate returns every violation of the rules between settings and of their ranges.
func (c *Configuration) validate() []violation {
	v := &validator{}
	v.require(c.Version > 0, "$.version", "want a version of 1 or more")
	v.require(namePattern.MatchString(c.Site), "$.site", "site %q: want lower-case letters, digits and hyphens", c.Site)
	validateNames(v, "data-centres", c.DataCentres, func(d DataCentre) string { return string(d.Name) })
	customers := validateNames(v, "customers", c.Customers, func(customer Customer) string { return string(customer.Name) })
	pools := validateNames(v, "pools", c.Pools, func(p Pool) string { return string(p.Name) })
	validateNames(v, "queues", c.Queues, func(q Queue) string { return string(q.Name) })
	c.validateCustomers(v)
	c.validatePools(v)
	c.validateQueues(v, customers, pools)
	c.validatePeaks(v, pools)
	c.validateMaintenance(v)
	return v.violations
}

func (c *Configuration) validateCustomers(v *validator) {
	for i, customer := range c.Customers {
		path := fmt.Sprintf("$.customers[%d]", i)
		v.require(customer.Share > 0, path+".share", "share %g: want more than 0", customer.Share)
		v.require(customer.Limit >= 0, path+".limit", "limit %d: want 0 or more", customer.Limit)
	}
}

func (c *Configuration) validatePools(v *validator) {
	sparePools := 0
	for i, p := range c.Pools {
		path := fmt.Sprintf("$.pools[%d]", i)
		v.require(p.MinimumAvailable >= 0, path+".minimum-available", "want 0 or more")
		if !p.Spare {
			continue
		}
		sparePools++
		v.require(sparePools == 1, path+".spare", "a second spare pool")
	}
}

func (c *Configuration) validateQueues(v *validator, customers, pools map[string]bool) {
	for i, q := range c.Queues {
		path := fmt.Sprintf("$.queues[%d]", i)
		v.require(pools[string(q.Pool)], path+".pool", "pool %q is not configured", q.Pool)
		if q.Open {
			v.require(q.Customer == "", path+".customer", "an open queue has no customer")
		} else {
			v.require(customers[string(q.Customer)], path+".customer", "customer %q is not configured", q.Customer)
		}
		v.require(q.Timeout > 0 && q.Timeout <= maxQueueTimeout, path+".timeout", "timeout %s: want more than 0 and at most %s", q.Timeout, maxQueueTimeout)
		v.require(q.BodyLimit <= maxBodyLimitBytes, path+".body-limit", "want at most 1GiB")
		needs := q.Needs
		v.require(needs.Processors >= 0 && needs.Memory >= 0 && needs.Accelerators >= 0 && needs.Slots >= 0 && needs.Connections >= 0, path+".needs", "want no negative amount")
	}
}

func (c *Configuration) validatePeaks(v *validator, pools map[string]bool) {
	for i, p := range c.Peaks {
		path := fmt.Sprintf("$.peaks[%d]", i)
		v.require(p.Calendar == Hijri || p.Calendar == Gregorian, path+".calendar", "calendar %q: want hijri or gregorian", p.Calendar)
		v.require(p.Month >= 1 && p.Month <= 12, path+".month", "month %d: want 1 to 12", p.Month)
		v.require(p.Day >= 1 && p.Day <= 31, path+".day", "day %d: want 1 to 31", p.Day)
		v.require(p.Days >= 1 && p.Days <= 60, path+".days", "days %d: want 1 to 60", p.Days)
		v.require(p.Factor >= 1, path+".factor", "factor %g: want 1 or more", p.Factor)
		for n, pool := range p.Pools {
			v.require(pools[string(pool)], fmt.Sprintf("%s.pools[%d]", path, n), "pool %q is not configured", pool)
		}
	}
}

func (c *Configuration) validateMaintenance(v *validator) {
	m := c.Maintenance
	v.require(m.Period >= time.Minute, "$.maintenance.period", "period %s: want at least 1m", m.Period)
	v.require(m.Batch >= 1, "$.maintenance.batch", "batch %d: want 1 or more", m.Batch)
	v.require(m.HaltAfter >= 1, "$.maintenance.halt-after", "want 1 or more")
	v.require(m.DrainTimeout > 0, "$.maintenance.drain-timeout", "want more than 0")
	v.require(m.RebootTimeout > 0, "$.maintenance.reboot-timeout", "want more than 0")
}
