// Package checker checks the guarantees of the program from what callers, operators and instances observe. It has no clock: every
// observation carries its time since the start of the scenario.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// EffectBound is how long after its acknowledgement a withdrawn key, a configuration or a drain may take to be in force.
const EffectBound = 5 * time.Second

// maxViolations bounds the violations that are kept; all are counted.
const maxViolations = 100

// Guarantee is one of the guarantees that are checked.
type Guarantee uint8

// Guarantees in the order of the report.
const (
	// JobEnds means that each acknowledged job stays known and ends, and that a job which is told to be complete has done all its tasks.
	JobEnds Guarantee = iota
	// RunsOnce means that no task runs twice at once, or again after its end as done was acknowledged.
	RunsOnce
	// RefusalTrue means that nothing of a job starts whose every submission was refused as not run, or that nobody submitted.
	RefusalTrue
	// LimitKept means that no start takes a customer beyond its limit.
	LimitKept
	// KeyWithdrawn means that a withdrawn key is not accepted.
	KeyWithdrawn
	// ConfigurationInForce means that an acknowledged configuration is in force and never reverts.
	ConfigurationInForce
	// DrainHolds means that nothing starts in a drained data centre.
	DrainHolds
	// GuaranteeCount is the number of guarantees.
	GuaranteeCount
)

// String returns the name that the report uses.
func (g Guarantee) String() string {
	return [...]string{"job-ends", "runs-once", "refusal-true", "limit-kept", "key-withdrawn", "configuration-in-force", "drain-holds", "none"}[g]
}

// Violation is an observation that contradicts a guarantee.
type Violation struct {
	At        time.Duration
	Guarantee Guarantee
	Detail    string
}

// String formats the violation for the report.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s  VIOLATED %s: %s", v.At.Seconds(), v.Guarantee, v.Detail)
}

// Checker holds the observations; its methods may be called by several goroutines.
type Checker struct {
	mutex      sync.Mutex
	limits     Limits
	jobs       map[string]*job
	running    map[string]Run
	done       map[string]bool
	doneAcked  map[string]bool
	usage      map[string]int64
	drains     map[string]drain
	sent       uint64
	acked      []versionAt
	observed   []versionAt
	checks     [GuaranteeCount]int
	violated   [GuaranteeCount]int
	violations []Violation
}

// versionAt is a version of the configuration and since when it is acknowledged or was observed.
type versionAt struct {
	at      time.Duration
	version uint64
}

// Limits returns the processors, in thousandths, that the running tasks of a customer may use in a version of the configuration; zero
// sets no limit.
type Limits func(customer string, version uint64) int64

// New returns a checker.
func New(limits Limits) *Checker {
	return &Checker{
		limits: limits, jobs: map[string]*job{}, running: map[string]Run{}, done: map[string]bool{}, doneAcked: map[string]bool{},
		usage: map[string]int64{}, drains: map[string]drain{},
	}
}

// check counts a check of a guarantee, and records a violation unless it is kept.
func (c *Checker) check(at time.Duration, g Guarantee, kept bool, format string, arguments ...any) {
	c.checks[g]++
	if kept {
		return
	}
	c.violated[g]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{at, g, fmt.Sprintf(format, arguments...)})
	}
}

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.violations)
}

// Counts returns how often a guarantee was checked and violated.
func (c *Checker) Counts(g Guarantee) (checks, violated int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.checks[g], c.violated[g]
}
