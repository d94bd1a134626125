package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Evidence of a streak, the crashes in a row under a task. Each crash multiplies the odds that the task causes them by the ratio of two rates at
// the age of the run: at which such tasks crash their instances, and at which the other runs, the machine and the pool explain the crash. If the
// second rate is right, an innocent task reaches a product of x with a probability of at most 1/x.
const (
	// medianCrashAge is the median of the heavy-tailed half of the assumed distribution of ages. The other half is even up to streakTime.
	medianCrashAge = 5 * time.Second
	// deadlyPrior is the probability that a task crashes instances, before any crash.
	deadlyPrior = 1e-4
	// maxCrashFactor and factorPerInstance bound the ratio of one crash: in a small pool the next crash often finds the same task.
	maxCrashFactor    = 100.0
	factorPerInstance = 3.0
	// sameHostFactor bounds it for a machine that has crashed under the task before, which may be at fault.
	sameHostFactor = 20.0
	// adoptedAge is added to the known age of runs that an earlier leader started.
	adoptedAge = 10 * time.Second
	// crashesInStreak and streakProof are the number of crashes and the product that prove that the task causes them.
	crashesInStreak = 3
	streakProof     = 1e6
	// strongEvidence is the product from which the next start of the task is delayed. A pool has hundreds of innocent tasks.
	strongEvidence = 10000
	// crashesToDelay is the number of crashes in a row from which starts are delayed unless the evidence speaks for the task. A delay without that
	// condition kept a quarter of the innocent tasks of a pool of ten waiting of which one instance crashed every 8 s.
	crashesToDelay = 6
	// streakTime is how long a run lives to end a streak, at least streakMargin times the greatest age in it.
	streakTime   = 30 * time.Second
	streakMargin = 1.5
	// maxStreakCrashes bounds the committed record; the latest crashes count.
	maxStreakCrashes = 10
)

// startDelays are the delays of the next start after crashesInStreak crashes and each one more. Crashes of other instances in the meantime raise
// the rate that explains those under the task; 20 s is several crashes in a pool that crashes often enough to incriminate an innocent task.
var startDelays = [...]time.Duration{time.Second, 20 * time.Second, 30 * time.Second, time.Minute}

// streak is the crashes in a row under a task, at any age of its runs.
type streak struct {
	record state.CrashStreak
	// events holds the crash of the record at the same index, nil if it happened under an earlier leader.
	events []*recordedCrash
	// run is the one whose crash was added last. The members of a gang share its number.
	run workload.Run
	// inherited is set for a streak that began under an earlier leader, which has observed inheritedRate without the crashes of the streak.
	inherited     bool
	inheritedRate float64
	// assumed is set if the last crash was pending under an earlier leader.
	assumed bool
	// ended is set when a run outlived the streak, and proven when the task was given up.
	ended, proven bool
	// heldUntil is when the task may start again.
	heldUntil time.Duration
}

func (k *streak) crashes() int {
	if k == nil {
		return 0
	}
	return len(k.record.Crashes)
}

// committed returns a copy of the record, or nil if there is nothing to keep.
func (k *streak) committed() *state.CrashStreak {
	if k == nil {
		return nil
	}
	record := k.record
	return &record
}

// append adds a crash and drops the earliest if there are too many.
func (k *streak) append(c state.StreakCrash, event *recordedCrash) {
	drop := max(0, len(k.record.Crashes)+1-maxStreakCrashes)
	k.record.Crashes = append(slices.Clone(k.record.Crashes[drop:]), c)
	k.events = append(slices.Clone(k.events[drop:]), event)
	k.record.Pending = nil
	k.assumed = false
}

// withdrawAssumed makes a crash that was assumed a pending one again, because the run is found.
func (k *streak) withdrawAssumed() {
	if k == nil || !k.assumed {
		return
	}
	n := len(k.record.Crashes) - 1
	k.record.Pending = &k.record.Crashes[n]
	k.record.Crashes, k.events, k.assumed = k.record.Crashes[:n:n], k.events[:n:n], false
}

// crashDensity returns the density of the age at which tasks that crash instances do so, by the second. No two of them are alike, hence the
// wide distribution.
func crashDensity(age time.Duration) float64 {
	median := medianCrashAge.Seconds()
	sum := median + age.Seconds()
	density := median / (sum * sum)
	if age < streakTime {
		density += 1 / streakTime.Seconds()
	}
	return density / 2
}

// evidence returns the logarithm of the factor by which the crashes, except the one at an index, have multiplied the odds.
func (k *streak) evidence(h *crashHistory, except int) float64 {
	rate := h.rateWithout(k)
	sum := 0.0
	for i, c := range k.record.Crashes {
		if i == except {
			continue
		}
		limit := min(maxCrashFactor, factorPerInstance*float64(h.instances))
		if slices.ContainsFunc(k.record.Crashes[:i], func(earlier state.StreakCrash) bool { return earlier.Host == c.Host }) {
			limit = min(limit, sameHostFactor)
		}
		sum += math.Log(min(limit, crashDensity(c.Age)/(rate+c.Hazard)))
	}
	return sum
}

// probability returns the probability that the task crashes instances, without the evidence of the crash at the index except.
func (k *streak) probability(h *crashHistory, except int) float64 {
	switch {
	case k == nil || k.ended:
		return deadlyPrior
	case k.proven:
		return 1
	}
	odds := deadlyPrior * math.Exp(k.evidence(h, except))
	return odds / (1 + odds)
}

// reaches reports whether the crashes are many, on several machines, and multiply the odds by a factor. One machine proves nothing.
func (k *streak) reaches(h *crashHistory, crashes int, factor float64) bool {
	return k.crashes() >= crashes && k.hosts() > 1 && k.evidence(h, -1) >= math.Log(factor)
}

// proves reports whether the crashes prove that the task causes them.
func (k *streak) proves(h *crashHistory) bool { return k.reaches(h, crashesInStreak, streakProof) }

// delay returns how long the next start is delayed.
func (k *streak) delay(h *crashHistory) time.Duration {
	if !k.reaches(h, crashesInStreak, strongEvidence) && !k.reaches(h, crashesToDelay, 1) {
		return 0
	}
	return startDelays[min(k.crashes()-crashesInStreak, len(startDelays)-1)]
}

// timeToEnd returns how long a run must live to end the streak.
func (k *streak) timeToEnd() time.Duration {
	needed := streakTime
	for _, c := range k.record.Crashes {
		needed = max(needed, time.Duration(streakMargin*float64(c.Age)))
	}
	return needed
}

// hosts returns the number of machines that crashed.
func (k *streak) hosts() int {
	n := 0
	for i, c := range k.record.Crashes {
		n += boolToInt(!slices.ContainsFunc(k.record.Crashes[:i], func(earlier state.StreakCrash) bool { return earlier.Host == c.Host }))
	}
	return n
}

func (k *streak) describe(h *crashHistory) string {
	oldest := time.Duration(0)
	for _, c := range k.record.Crashes {
		oldest = max(oldest, c.Age)
	}
	return fmt.Sprintf("%d instances on %d machines crashed in a row under it, its runs at most %s old, which multiplies its odds by %.2g", k.crashes(), k.hosts(),
		rounded(oldest), math.Exp(k.evidence(h, -1)))
}
