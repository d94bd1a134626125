package admitter

import "time"

// ahead is the work ahead of a job: work[k] stays so for at least k parts of the time for which the job is examined.
type ahead struct {
	work [resolution]ProcessorSeconds
	// longest is the longest time for which some of it stays ahead.
	longest time.Duration
}

// tally is the work ahead by the reason why it is.
type tally struct {
	// urgent is that of a more urgent priority. equal is that of the same priority, of which own is that of the same customer.
	urgent, equal, own ProcessorSeconds
}

// aheadOf returns the work that is placed before a job, by how long it stays so. lastStart returns how long work does.
func (p *Pool) aheadOf(j *Job, limit, after time.Duration, lastStart func(*Work) time.Duration) (a ahead) {
	var parts [resolution]tally
	for i := range p.work {
		w := &p.work[i]
		stays := lastStart(w) - after
		if stays <= 0 || w.Priority > j.Priority || w.Priority == j.Priority && w.Due > j.Objective {
			continue
		}
		a.longest = max(a.longest, stays)
		t := &parts[part(stays, limit)]
		switch {
		case w.Priority < j.Priority:
			t.urgent += w.Left
		default:
			t.equal += w.Left
			if w.Customer == j.Customer {
				t.own += w.Left
			}
		}
	}
	share := p.shareOf(j)
	sum := tally{}
	for k := resolution - 1; k >= 0; k-- {
		sum.urgent, sum.equal, sum.own = sum.urgent+parts[k].urgent, sum.equal+parts[k].equal, sum.own+parts[k].own
		// A customer below its share is placed before the others, so that only its own work is ahead of its jobs, at its share of the pool.
		a.work[k] = sum.urgent + min(sum.equal, sum.own/share)
	}
	return a
}

// part returns the number of whole parts of the limit in a time, at most the last one.
func part(stays, limit time.Duration) int {
	if limit <= 0 {
		return resolution - 1
	}
	return int(min(resolution-1, stays*resolution/limit))
}
