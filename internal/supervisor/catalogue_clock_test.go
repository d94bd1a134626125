package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
)

// TestCatalogueClock guards against an age that is larger than the time since the version changed, so that an entry would take an answer by a
// new catalogue for one by the catalogue of the time at which the request was sent.
func TestCatalogueClock(t *testing.T) {
	var c catalogueClock
	assert.Equal(t, c.observe(time.Minute, 3), time.Duration(1))
	assert.Equal(t, c.observe(time.Minute+time.Second, 3), time.Second)
	assert.Equal(t, c.observe(time.Minute+2*time.Second, 4), time.Duration(1))
	assert.Equal(t, c.observe(time.Minute+3*time.Second, 4), time.Second)
}

// TestResponsesTellTheAgeOfTheirCatalogue guards against a count or a refusal without the age of its catalogue, which an entry takes for an answer that
// does not depend on it.
func TestResponsesTellTheAgeOfTheirCatalogue(t *testing.T) {
	s, _ := startSlowAcceptance(t)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	for path, outcome := range map[string]forwarder.Outcome{"/q/": forwarder.Done, "/unknown/": forwarder.UnknownQueue} {
		response := s.HandleRequest(t.Context(), forwarder.Request{Operation: forwarder.CountJobs, Host: "h", Path: path})
		assert.Equal(t, response.Outcome, outcome)
		assert.Assert(t, response.CatalogueAge > 0, "%s: %+v", path, response)
	}
	response := s.HandleRequest(t.Context(), forwarder.Request{Operation: forwarder.InspectJob, Host: "h", Path: "/q/0000000000000001"})
	assert.Equal(t, response.CatalogueAge, time.Duration(0))
}
