package messenger

import "sync"

// maxSpareItems is the capacity up to which the memory of a queue is kept for later items.
const maxSpareItems = 64

// queue holds items in order until they are taken. Unlike a channel it takes no memory for the items that it may hold: a keeper has
// hundreds of connections, most of them idle.
type queue[T any] struct {
	// ready receives once items wait that were not taken.
	ready chan struct{}
	limit int

	mutex sync.Mutex
	items []T
	spare []T
}

// newQueue returns a queue that holds at most limit items, or any number if limit is 0.
func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1), limit: limit}
}

// push appends an item; it returns false if the queue is full.
func (q *queue[T]) push(item T) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.limit > 0 && len(q.items) >= q.limit {
		return false
	}
	q.items = append(q.items, item)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// take removes all items and returns them. The result is valid until recycle is called with it.
func (q *queue[T]) take() []T {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	items := q.items
	q.items, q.spare = q.spare, nil
	return items
}

// recycle keeps the memory of taken items for later ones.
func (q *queue[T]) recycle(items []T) {
	if cap(items) > maxSpareItems {
		return
	}
	clear(items)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.spare = items[:0]
}
