package forwarder_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// slowLeader answers calls after a delay, by a catalogue of a given age.
type slowLeader struct{ delay, catalogueAge time.Duration }

func (l slowLeader) Call(_ context.Context, _ fleet.EntryID, _ messenger.Topic, _, reply any) error {
	switch r := reply.(type) {
	case *forwarder.LeadershipStatus:
		*r = forwarder.LeadershipStatus{Leading: true, Ready: true}
	case *forwarder.Response:
		time.Sleep(l.delay)
		*r = forwarder.Response{Outcome: forwarder.Done, CatalogueAge: l.catalogueAge}
	}
	return nil
}

// TestAnswerByLaterCatalogueIsOutdated guards against an entry that answers a request by a catalogue which came into force while the request
// waited: a request that is sent after it and answered before it by the earlier catalogue would look like a step back (CONFIG 1).
func TestAnswerByLaterCatalogueIsOutdated(t *testing.T) {
	for name, c := range map[string]struct {
		leader   slowLeader
		outdated bool
	}{
		"the catalogue changed meanwhile":             {slowLeader{300 * time.Millisecond, 100 * time.Millisecond}, true},
		"the catalogue is older than the request":     {slowLeader{300 * time.Millisecond, time.Hour}, false},
		"the answer does not depend on the catalogue": {slowLeader{300 * time.Millisecond, 0}, false},
		"a quick answer":                              {slowLeader{0, time.Nanosecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := forwarder.Start("e", c.leader, []fleet.EntryID{"a"}, zap.NewNop(), metrics.NewRegistry())
			t.Cleanup(func() { assert.NilError(t, f.Close()) })
			_, err := f.Call(t.Context(), forwarder.Request{Operation: forwarder.CountJobs})
			if c.outdated {
				assert.ErrorIs(t, err, forwarder.KindOutdated)
			} else {
				assert.NilError(t, err)
			}
		})
	}
}
