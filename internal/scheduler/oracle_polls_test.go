package scheduler_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// This file simulates polls that overlap and are carried out late, and reports, responses to orders and announcements that overtake each other.

// maxMessageDelay and maxPollHold are in ticks. An instance holds its response for up to 2 s until a run ends; the delays exceed the timeout
// of a response, so that the next leader and the next boot are reached.
const (
	maxMessageDelay = 12
	maxPollHold     = 7
	// maxAnnouncementDelay is long enough for an instance to be deregistered and the leader to be replaced in between.
	maxAnnouncementDelay = 100
	// endsPerReport is the most ends of a report, so few that instances often have more of them.
	endsPerReport = 1
	// maxCrossingTime is the longest time after which an order for one boot reaches the next.
	maxCrossingTime = 5 * time.Second
)

// reorderings counts the messages that arrived after a later one, over all cases of a test.
type reorderings struct {
	// reports were overtaken by a later report of the same boot to the same leader. boots are reports of a boot that the leader knew to
	// have ended, leaders polls that an instance received from a leader that was lost, and responses those to orders that arrived after
	// the report of a later moment. deregistered are announcements of boots that a later leader did not know.
	// crossed are polls that the next boot of an instance received.
	reports, boots, leaders, responses, deregistered, crossed int
}

// check fails the test if too few messages were out of order for it to guard against anything: on average a report of each case must be
// overtaken, and each other kind must come in one of a hundred cases, so that the cases of CI have some of each.
func (r *reorderings) check(t *testing.T, cases int) {
	assert.Assert(t, r.reports >= cases, "%d overtaken reports in %d cases", r.reports, cases)
	assert.Assert(t, min(r.boots, r.leaders, r.responses, r.deregistered, r.crossed) >= cases/100, "too few messages out of order in %d cases: %+v", cases, *r)
}

// pollInFlight is a poll that was sent and whose response was not processed.
type pollInFlight struct {
	request     scheduler.PollRequest
	sentAt      time.Duration
	issuerFence uint64
	// boot receives the poll: the one at its address by then.
	boot *target
	// receivedAt is when the instance receives the poll, releasedAt when it makes the report and arrivesAt when the report arrives.
	receivedAt, releasedAt, arrivesAt time.Duration
	received                          bool
	outcome                           scheduler.Outcome
	report                            *scheduler.StatusReport
	// order is the position of the report among all of the simulation.
	order int
}

// responseInFlight is the response to an order.
type responseInFlight struct {
	delivery  delivery
	outcome   scheduler.Outcome
	arrivesAt time.Duration
	// order is the number of reports that were made before.
	order int
}

// announcementInFlight is a copy of an announcement that arrives late.
type announcementInFlight struct {
	announced   workload.Instance
	issuerFence uint64
	arrivesAt   time.Duration
}

func (s *simulation) drawDelay(label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(s.t, label)) * tickInterval
}

// pollAll polls all instances, some of them beside polls that are in flight.
func (s *simulation) pollAll() {
	for _, in := range s.sortedInstances() {
		if rapid.IntRange(0, 3).Draw(s.t, "poll in flight") == 0 {
			s.sendPoll(in)
		} else {
			s.poll(in)
		}
	}
	s.advance(1)
}

// sendPoll sends a poll beside those that are in flight.
func (s *simulation) sendPoll(in *target) {
	request, ok := s.scheduler.NextPoll(s.now, in.ID, true)
	if !ok {
		return
	}
	p := &pollInFlight{request: request, sentAt: s.now, issuerFence: s.fence, boot: in, outcome: scheduler.Uncertain}
	p.receivedAt = s.now + s.drawDelay("poll delay", maxMessageDelay)
	p.releasedAt = p.receivedAt + s.drawDelay("poll hold", maxPollHold)
	p.arrivesAt = p.releasedAt + s.drawDelay("report delay", maxMessageDelay)
	s.polls = append(s.polls, p)
}

// deliverPolls carries out what is due of the polls in flight, in any order.
func (s *simulation) deliverPolls() {
	for _, p := range s.inAnyOrder(len(s.polls)) {
		s.deliverPoll(s.polls[p])
	}
	s.polls = slices.DeleteFunc(s.polls, func(p *pollInFlight) bool { return p.boot == nil })
}

// inAnyOrder returns the numbers below n in a drawn order.
func (s *simulation) inAnyOrder(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	if n < 2 {
		return list
	}
	return rapid.Permutation(list).Draw(s.t, "order")
}

func (s *simulation) deliverPoll(p *pollInFlight) {
	if !p.received && s.now >= p.receivedAt {
		p.received = true
		p.outcome = s.receivePoll(p)
	}
	if p.report == nil && p.outcome == scheduler.Accepted && s.now >= p.releasedAt && !p.boot.crashed {
		report := s.makeReport(p.boot)
		if p.request.Boot == p.boot.Boot {
			report.AckedEnd = p.request.AckedEnd
		}
		s.reportCount++
		p.report, p.order = &report, s.reportCount
	}
	if s.now < p.arrivesAt {
		return
	}
	if p.issuerFence == s.fence {
		s.handlePollResponse(p)
	}
	p.boot = nil
}

// receivePoll carries out a poll at the instance. A poll that waited for a connection reaches the next boot.
func (s *simulation) receivePoll(p *pollInFlight) scheduler.Outcome {
	if next := s.instances[p.request.Instance]; p.boot.crashed && next != nil {
		p.boot = next
	}
	in := p.boot
	switch {
	case in.crashed:
		return scheduler.Refused
	case in.unreachable:
		return scheduler.Uncertain
	case p.request.Fence < in.highestFence:
		return scheduler.Fenced
	}
	if p.issuerFence != s.fence {
		s.reorderings.leaders++
	}
	s.carryOutPoll(in, p.request)
	return scheduler.Accepted
}

// carryOutPoll extends the lease and acknowledges ends. A poll for another boot extends the lease as well, since an instance may carry it out late, but
// acknowledges nothing: what a late one takes from the next boot cannot be repaired.
func (s *simulation) carryOutPoll(in *target, request scheduler.PollRequest) {
	in.highestFence = request.Fence
	if request.Deadline > 0 {
		s.extendLease(in, request.Deadline)
	}
	if request.Boot != in.Boot {
		s.reorderings.crossed++
		return
	}
	s.acknowledgeEnds(in, request.AckedEnd)
}

// makeReport returns the report of an instance. Its clock has the precision of the platform, so that reports may have the same.
func (s *simulation) makeReport(in *target) scheduler.StatusReport {
	report := scheduler.StatusReport{Boot: in.Boot, Clock: in.clock(s.now).Truncate(time.Millisecond)}
	report.Ended, report.MoreEnds = firstEnds(in.unackedEnds, endsPerReport)
	for _, task := range sortedTasks(in.runs) {
		report.Running = append(report.Running, scheduler.ReportedRun{Task: task, Run: in.runs[task], Percent: int(s.now/tickInterval) % 90})
	}
	return report
}

// firstEnds returns the ends that a report of at most perReport has, and whether it is full.
func firstEnds(unacked []scheduler.ReportedEnd, perReport int) (listed []scheduler.ReportedEnd, full bool) {
	return slices.Clone(unacked[:min(perReport, len(unacked))]), len(unacked) >= perReport
}

func (s *simulation) handlePollResponse(p *pollInFlight) {
	switch {
	case p.report != nil && !p.boot.unreachable:
		s.countReport(p)
		s.scheduler.HandleReport(s.now, p.request.Instance, p.sentAt, *p.report)
	case p.outcome == scheduler.Accepted:
		s.scheduler.HandlePollFailure(s.now, p.request, scheduler.Uncertain)
	default:
		s.scheduler.HandlePollFailure(s.now, p.request, p.outcome)
	}
}

// countReport counts a report that arrives after a later one, or after the announcement of a later boot.
func (s *simulation) countReport(p *pollInFlight) {
	latest := s.latestReports[p.request.Instance]
	switch in := s.instances[p.request.Instance]; {
	case in != nil && in != p.boot:
		s.reorderings.boots++
	case latest.boot == p.boot && latest.leader == s.fence && latest.order > p.order:
		s.reorderings.reports++
		return
	}
	s.latestReports[p.request.Instance] = latestReport{boot: p.boot, leader: s.fence, order: p.order}
}

// latestReport is the latest report of an instance that a leader has processed.
type latestReport struct {
	boot   *target
	leader uint64
	order  int
}

// answer passes the outcome of an executed order to its issuer, at once or late.
func (s *simulation) answer(d delivery, outcome scheduler.Outcome) {
	if !d.outcomeKnown {
		return
	}
	if d.answerDelay == 0 {
		s.reportOutcome(d, outcome)
		return
	}
	s.responses = append(s.responses, responseInFlight{d, outcome, s.now + d.answerDelay, s.reportCount})
}

func (s *simulation) deliverResponses() {
	responses := s.responses
	s.responses = nil
	for _, i := range s.inAnyOrder(len(responses)) {
		r := responses[i]
		if s.now < r.arrivesAt {
			s.responses = append(s.responses, r)
			continue
		}
		if latest := s.latestReports[r.delivery.order.Instance]; latest.leader == r.delivery.issuerFence && latest.order > r.order {
			s.reorderings.responses++
		}
		s.reportOutcome(r.delivery, r.outcome)
	}
}

// deliverAnnouncements delivers the late copies of announcements to the leader of the time, which may never have known the boot. It fails the test
// if one enrols an instance of which something later has been committed.
func (s *simulation) deliverAnnouncements() {
	s.announcements = slices.DeleteFunc(s.announcements, func(a announcementInFlight) bool {
		if s.now < a.arrivesAt {
			return false
		}
		id, latest := a.announced.ID, s.latestEnrolled[a.announced.ID]
		_, enrolled := s.committed.Workload.Enrolled[id]
		if s.fence != a.issuerFence && !enrolled {
			s.reorderings.deregistered++
		}
		s.handleAnnouncement(a.announced)
		if _, now := s.committed.Workload.Enrolled[id]; now && !enrolled && isLater(latest, a.announced) {
			s.t.Fatalf("%s is enrolled by announcement %d of boot %d after %d of boot %d", id, a.announced.Sequence, a.announced.Boot, latest.Sequence, latest.Boot)
		}
		return true
	})
}

// isLater reports whether a was announced after b, which has the same ID.
func isLater(a, b workload.Instance) bool {
	return cmp.Or(cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// restart ends a boot of an instance, which is back under its ID. It announces itself at once or leaves that to the next poll.
func (s *simulation) restart(in *target) {
	in.crashed = true
	clear(in.runs)
	at := s.now + time.Duration(rapid.IntRange(1, 30).Draw(s.t, "down"))*tickInterval
	s.reboots = append(s.reboots, reboot{at: at, address: in.Address, id: in.ID, silent: rapid.Bool().Draw(s.t, "silent")})
}

// relive restarts an instance while starts and polls for it are on their way, and ends as done what the next boot has started before it announces itself.
func (s *simulation) relive(in *target) {
	s.submitJob()
	s.advance(1)
	if in.crashed {
		return
	}
	s.sendPoll(in)
	in.crashed = true
	clear(in.runs)
	s.bootAgain(reboot{address: in.Address, id: in.ID, silent: true})
	s.advance(1)
	for next := s.instances[in.ID]; len(next.runs) > 0; {
		s.endDrawnRun(next, workload.EndedDone)
	}
	s.advance(maxMessageDelay)
}

// bootAgain starts the next boot of an instance. It keeps the fence and what the instance has stopped: orders name no boot, so that nothing can
// prevent one that reaches a later boot after the leader has polled or stopped the one to which it was sent.
func (s *simulation) bootAgain(r reboot) {
	earlier := s.instances[r.id]
	in := s.boot(r.id, r.address)
	in.highestFence, in.rejectedUpTo = earlier.highestFence, earlier.rejectedUpTo
	if !r.silent {
		s.announce(in)
	}
}

// lostWithBoot reports whether an order in flight ends with the boot to which it was sent. Orders name no boot, so that the next boot under the
// ID carries them out, but none of them is on its way for longer than a lease: its task has been started elsewhere by then.
func (s *simulation) lostWithBoot(in *target, d delivery) bool {
	return d.sentAt < in.startedAt && s.now-d.sentAt > maxCrossingTime
}
