package forecaster

import "container/list"

// recent is a map of bounded size that removes the entry that was put or touched least recently.
type recent[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List
}

type recentEntry[K comparable, V any] struct {
	key   K
	value V
}

func newRecent[K comparable, V any](limit int) *recent[K, V] {
	return &recent[K, V]{limit: max(1, limit), entries: map[K]*list.Element{}, order: list.New()}
}

func (r *recent[K, V]) len() int { return len(r.entries) }

// get returns the value of a key and leaves the order as it is.
func (r *recent[K, V]) get(key K) (value V, ok bool) {
	e, ok := r.entries[key]
	if !ok {
		return value, false
	}
	return e.Value.(*recentEntry[K, V]).value, true
}

// touch returns the value of a key and makes it the most recent.
func (r *recent[K, V]) touch(key K) (value V, ok bool) {
	e, ok := r.entries[key]
	if !ok {
		return value, false
	}
	r.order.MoveToFront(e)
	return e.Value.(*recentEntry[K, V]).value, true
}

// put inserts a key that has no value yet.
func (r *recent[K, V]) put(key K, value V) {
	if len(r.entries) >= r.limit {
		last := r.order.Back()
		delete(r.entries, last.Value.(*recentEntry[K, V]).key)
		r.order.Remove(last)
	}
	r.entries[key] = r.order.PushFront(&recentEntry[K, V]{key, value})
}

// each calls visit with all entries, the most recent first.
func (r *recent[K, V]) each(visit func(key K, value V)) {
	for e := r.order.Front(); e != nil; e = e.Next() {
		entry := e.Value.(*recentEntry[K, V])
		visit(entry.key, entry.value)
	}
}
