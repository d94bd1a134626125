package forwarder_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestBatchWithUnreadableNameArrives guards against instances that are acknowledged and never used: another program has announced an
// instance whose id is not text, and the leader cannot read the batch that has it.
func TestBatchWithUnreadableNameArrives(t *testing.T) {
	for _, id := range []fleet.InstanceID{"i-\xff\xfe", "\x80", "i-1"} {
		sent := forwarder.Request{Operation: forwarder.AnnounceBatch, Instances: []workload.Instance{{ID: "i-a", Pool: "p"}, {ID: id, Pool: "p"}, {ID: "i-b", Pool: "p"}}}
		encoded, err := messenger.Codec.Encode(sent)
		assert.NilError(t, err)
		var received forwarder.Request
		assert.NilError(t, messenger.Codec.Decode(encoded, &received))
		assert.NilError(t, received.Validate())
		assert.DeepEqual(t, received, sent)
	}
}
