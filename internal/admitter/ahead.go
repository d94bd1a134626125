package admitter

import "time"

// ahead is the work ahead of a job, by customer and by how long it stays so.
type ahead struct {
	pool *Pool
	// own is the customer of the job, -1 if it has no work, and share its share of the pool.
	own   int
	share float64
	// tallies are those of each customer: element k is what stays ahead for at least k parts of the time for which the job is examined.
	tallies [][resolution]tally
	// longest is the longest time for which some of it stays ahead, and task the mean time of its tasks.
	longest, task time.Duration
}

// tally is work by the reason why it is ahead.
type tally struct {
	// urgent is that of a more urgent priority, and equal that of the same.
	urgent, equal ProcessorSeconds
}

// aheadOf returns the work that is placed before a job. lastStart returns how long work stays ahead.
//
// Tasks that need more of a resource than those of the job are left out: while they wait for room, the job finds some.
func (p *Pool) aheadOf(j *Job, limit, after time.Duration, lastStart func(*Work) time.Duration) *ahead {
	a := &ahead{pool: p, own: -1, share: p.shareOf(j), tallies: make([][resolution]tally, len(p.customers))}
	if i, known := p.indexes[j.Customer]; known {
		a.own = i
	}
	var left, taskTime float64
	for i := range p.work {
		w := &p.work[i]
		stays := lastStart(&w.Work) - after
		if stays <= 0 || w.Priority > j.Priority || w.Priority == j.Priority && w.Due > j.Objective || !j.Claim.Fits(w.Claim) {
			continue
		}
		a.longest = max(a.longest, stays)
		left += float64(w.Left)
		taskTime += float64(w.Left) * float64(w.Task)
		t := &a.tallies[w.customer][part(stays, limit)]
		if w.Priority < j.Priority {
			t.urgent += w.Left
		} else {
			t.equal += w.Left
		}
	}
	if left > 0 {
		a.task = time.Duration(taskTime / left)
	}
	a.accumulate()
	return a
}

// accumulate adds what stays ahead longer to what stays ahead for at least some parts.
func (a *ahead) accumulate() {
	for c := range a.tallies {
		t := &a.tallies[c]
		for k := resolution - 2; k >= 0; k-- {
			t[k].urgent += t[k+1].urgent
			t[k].equal += t[k+1].equal
		}
	}
}

// during returns the work that stays ahead for at least k parts, as far as the limits of the customers let them use the pool during a time.
//
// A customer below its share is placed before the others, so that only its own work is ahead of its jobs, at its share of the pool.
func (a *ahead) during(k int, d time.Duration) ProcessorSeconds {
	var urgent, equal, own ProcessorSeconds
	for c := range a.tallies {
		t := a.tallies[c][k]
		most := ProcessorSeconds(margin * a.pool.customers[c].most * d.Seconds())
		u := min(t.urgent, most)
		e := min(t.equal, most-u)
		urgent, equal = urgent+u, equal+e
		if c == a.own {
			own = e
		}
	}
	return urgent + min(equal, own/ProcessorSeconds(a.share))
}

// part returns the number of whole parts of the limit in a time, at most the last one.
func part(stays, limit time.Duration) int {
	if limit <= 0 {
		return resolution - 1
	}
	return int(min(resolution-1, stays*resolution/limit))
}
