package replicator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/raft"
)

// TestNoInputOfFullBatchIsDropped guards against an input that is taken from the queue after the last one of a full batch and
// then forgotten. Its proposer would wait for the rest of the leadership, and no further run end or enrolment would be committed.
func TestNoInputOfFullBatchIsDropped(t *testing.T) {
	const inputs = 3*maxBatchInputs + 1
	r := &Replicator{inbox: make(chan input, inputs)}
	var handled []int
	for i := range inputs {
		r.inbox <- input{callback: func() { handled = append(handled, i) }}
	}
	for len(r.inbox) > 0 {
		before := len(handled)
		r.handleInputs(<-r.inbox)
		assert.Assert(t, len(handled)-before <= maxBatchInputs)
	}
	assert.Equal(t, len(handled), inputs)
	for i, n := range handled {
		assert.Equal(t, n, i, "not in order")
	}
}

// TestMessagesAreNotHeldUpByProposals guards against heartbeats and votes that wait behind thousands of proposals, or are dropped because the inbox is full,
// so that a leader under load loses its lease.
func TestMessagesAreNotHeldUpByProposals(t *testing.T) {
	r := &Replicator{inbox: make(chan input, inboxCapacity), messages: make(chan raft.Message, inboxCapacity)}
	for range inboxCapacity {
		r.inbox <- input{callback: func() {}}
	}
	payload, err := messenger.Codec.Encode(raft.Message{Term: 7})
	assert.NilError(t, err)
	_, err = r.handleMessage(t.Context(), "peer", payload)
	assert.NilError(t, err)
	var in input
	assert.Assert(t, r.takeInput(&in))
	assert.Assert(t, in.message != nil)
	assert.Equal(t, in.message.Term, uint64(7))
	assert.Assert(t, r.takeInput(&in))
	assert.Assert(t, in.callback != nil)
}
