// Package table provides an in-memory table ordered by key.
package table

import (
	"cmp"
	"iter"
	"slices"
)

// Table maps keys to rows and iterates in key order; keys are sorted lazily, on the first iteration after a change.
type Table[K cmp.Ordered, V any] struct {
	rows      map[K]V
	keys      []K
	keysStale bool
}

// New returns an empty table.
func New[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{rows: map[K]V{}}
}

// Get returns the row with key k, if there is one.
func (t *Table[K, V]) Get(k K) (V, bool) {
	v, ok := t.rows[k]
	return v, ok
}

// Put inserts or replaces the row with key k.
func (t *Table[K, V]) Put(k K, v V) {
	if _, ok := t.rows[k]; !ok {
		t.keys = append(t.keys, k)
		t.keysStale = true
	}
	t.rows[k] = v
}

// Delete removes the row with key k, if there is one.
func (t *Table[K, V]) Delete(k K) {
	if _, ok := t.rows[k]; !ok {
		return
	}
	delete(t.rows, k)
	t.keysStale = true
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// All iterates over the rows in key order; rows deleted during the iteration are skipped.
func (t *Table[K, V]) All() iter.Seq2[K, V] {
	t.sortKeys()
	keys := t.keys
	return func(yield func(K, V) bool) {
		for _, k := range keys {
			v, ok := t.rows[k]
			if ok && !yield(k, v) {
				return
			}
		}
	}
}

// sortKeys rebuilds the sorted keys if rows were added or deleted.
func (t *Table[K, V]) sortKeys() {
	if !t.keysStale {
		return
	}
	keys := make([]K, 0, len(t.rows))
	for k := range t.rows {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	t.keys = keys
	t.keysStale = false
}
