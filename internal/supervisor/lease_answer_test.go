package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestReadAnswerNeedsLease guards against a leader whose lease expires while it handles a request, and which answers with the
// phase, count or state that it knows, or takes note of an instance, although the next leader may know better. The
// acknowledgement of a commit stays valid.
func TestReadAnswerNeedsLease(t *testing.T) {
	const otherID = workload.JobID("00000000000000bb")
	wave := &workload.Wave{Number: 7, Machines: []string{"m-9"}, TimeLimit: time.Minute, MaxConcurrent: 1}
	later := &workload.Wave{Number: 8, Machines: []string{"m-9"}, TimeLimit: time.Minute, MaxConcurrent: 1}
	catalogue := routedCatalogue(2, "p")
	job := func(o forwarder.Operation) forwarder.Request {
		return forwarder.Request{Operation: o, Host: "h", Path: "/q/" + string(jobID)}
	}
	s := startResumption(t)
	s.submit(submission(jobID, "/q/"))
	s.submit(forwarder.Request{Operation: forwarder.OpenWave, Wave: wave})
	s.waitFor("the start of the job", func() bool { return s.fleet.runs(jobID) })
	departing := workload.Instance{ID: "i-9", Boot: 1}
	announced := s.instance
	announced.Sequence++
	announced.Clock = time.Since(s.fleet.bootedAt)
	for _, test := range []struct {
		name     string
		request  forwarder.Request
		unleased forwarder.Outcome
	}{
		{"job", job(forwarder.InspectJob), forwarder.NotLeading},
		{"jobs", job(forwarder.CountJobs), forwarder.NotLeading},
		{"wave", forwarder.Request{Operation: forwarder.InspectWave, Wave: wave}, forwarder.NotLeading},
		{"catalogue", forwarder.Request{Operation: forwarder.FetchCatalogue}, forwarder.NotLeading},
		{"announcement", forwarder.Request{Operation: forwarder.Announce, Instance: &announced}, forwarder.NotLeading},
		{"departure", forwarder.Request{Operation: forwarder.Depart, Instance: &departing}, forwarder.NotLeading},
		{"data centre", drainRequest(forwarder.InspectDataCentre, "a", 0), forwarder.NotLeading},
		{"unknown data centre", drainRequest(forwarder.DrainDataCentre, "b", 0), forwarder.NotLeading},
		{"drain", drainRequest(forwarder.DrainDataCentre, "configured", 0), forwarder.Done},
		{"submission", submission(otherID, "/q/"), forwarder.Done},
		{"cancellation", job(forwarder.CancelJob), forwarder.Done},
		{"opened wave", forwarder.Request{Operation: forwarder.OpenWave, Wave: later}, forwarder.Done},
		{"published catalogue", forwarder.Request{Operation: forwarder.Publish, Catalogue: &catalogue, Source: []byte("y")}, forwarder.Done},
	} {
		t.Run(test.name, func(t *testing.T) {
			handle := func() forwarder.Outcome { return s.term.Load().handle(t.Context(), test.request).Outcome }
			s.replica.setLapsed(true)
			assert.Equal(t, handle(), test.unleased, "the lease has expired after the request was received")
			s.replica.setLapsed(false)
			leased := forwarder.Done
			if test.name == "unknown data centre" {
				leased = forwarder.UnknownDataCentre
			}
			assert.Equal(t, handle(), leased, "under the lease")
		})
	}
}
