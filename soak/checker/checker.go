// Package checker checks the guarantees of the program from what callers, operators and instances observe. It has no clock: every
// observation carries its time since the start of the scenario.
package checker

import (
	"fmt"
	"sync"
	"time"
)

// EffectBound is how long after its acknowledgement a withdrawn key, a configuration or a drain may take to be in force.
const EffectBound = 5 * time.Second

// Guarantee is one of the guarantees that are checked.
type Guarantee string

// Guarantees. A complete job must have done all its tasks; a task must not start again after its end as done was acknowledged; nothing may start
// of a job whose every submission was refused, or that nobody submitted.
const (
	JobEnds              Guarantee = "job-ends"
	RunsOnce             Guarantee = "runs-once"
	RefusalTrue          Guarantee = "refusal-true"
	LimitKept            Guarantee = "limit-kept"
	KeyWithdrawn         Guarantee = "key-withdrawn"
	ConfigurationInForce Guarantee = "configuration-in-force"
	DrainHolds           Guarantee = "drain-holds"
)

// Guarantees lists all in the order of the report.
var Guarantees = []Guarantee{JobEnds, RunsOnce, RefusalTrue, LimitKept, KeyWithdrawn, ConfigurationInForce, DrainHolds}

// Violation is an observation that contradicts a guarantee.
type Violation struct {
	At        time.Duration
	Guarantee Guarantee
	Detail    string
}

// Limits returns the processors, in thousandths, that the running tasks of a customer may use in a version of the configuration; zero
// sets no limit.
type Limits func(customer string, version uint64) int64

// Checker holds the observations; its methods may be called by several goroutines.
type Checker struct {
	mutex           sync.Mutex
	limits          Limits
	jobs            map[string]*job
	running         map[string]Run
	done, doneAcked map[string]bool
	usage           map[string]int64
	drains          map[string]time.Duration // when the drain was acknowledged, by data centre
	sent            uint64
	acked, observed []versionAt
	checks          map[Guarantee]int
	violations      []Violation
}

// New returns a checker.
func New(limits Limits) *Checker {
	return &Checker{
		limits: limits, jobs: map[string]*job{}, running: map[string]Run{}, done: map[string]bool{}, doneAcked: map[string]bool{},
		usage: map[string]int64{}, drains: map[string]time.Duration{}, checks: map[Guarantee]int{},
	}
}

// lock locks the checker and returns the function that unlocks it.
func (c *Checker) lock() (unlock func()) {
	c.mutex.Lock()
	return c.mutex.Unlock
}

// check counts a check of a guarantee, and records a violation unless it is kept.
func (c *Checker) check(at time.Duration, g Guarantee, kept bool, format string, arguments ...any) {
	c.checks[g]++
	if !kept {
		c.violations = append(c.violations, Violation{at, g, fmt.Sprintf(format, arguments...)})
	}
}

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation {
	defer c.lock()()
	return append([]Violation(nil), c.violations...)
}

// Checks returns how often a guarantee was checked.
func (c *Checker) Checks(g Guarantee) int {
	defer c.lock()()
	return c.checks[g]
}
