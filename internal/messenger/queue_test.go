package messenger

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestQueueKeepsOrderAndLimit guards against frames that overtake each other, and against a queue to a slow peer that grows without bound.
func TestQueueKeepsOrderAndLimit(t *testing.T) {
	q := newQueue[int](3)
	for round := range 3 {
		for i := range 3 {
			assert.Assert(t, q.push(10*round+i))
		}
		assert.Assert(t, !q.push(99))
		<-q.ready
		list := q.take()
		assert.DeepEqual(t, list, []int{10 * round, 10*round + 1, 10*round + 2})
		assert.Equal(t, len(q.take()), 0)
		q.recycle(list)
	}
}

// TestQueueIsReadyAfterEachPush guards against an item that waits for a later one.
func TestQueueIsReadyAfterEachPush(t *testing.T) {
	q := newQueue[int](0)
	q.push(1)
	<-q.ready
	q.push(2)
	assert.DeepEqual(t, q.take(), []int{1, 2})
	<-q.ready
	assert.Equal(t, len(q.take()), 0)
}
