package replicator

import (
	"testing"

	"gotest.tools/v3/assert"
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
