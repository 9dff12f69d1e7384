// Package cvqueue implements a bounded priority queue ordered by priority and then by deadline.
package cvqueue

import (
	"container/heap"
	"time"
)

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	// Limit is the maximum number of items.
	Limit int

	items     itemHeap[T]
	lastOrder uint64
}

type item[T any] struct {
	value    T
	priority int
	deadline time.Time
	order    uint64
}

// Push adds an item and returns its order number for Remove. It returns false if the queue is full.
func (q *Queue[T]) Push(value T, priority int, deadline time.Time) (uint64, bool) {
	if len(q.items) >= q.Limit {
		return 0, false
	}
	q.lastOrder++
	heap.Push(&q.items, item[T]{value: value, priority: priority, deadline: deadline, order: q.lastOrder})
	return q.lastOrder, true
}

// Pop removes and returns the first item that fits, or returns false. fits returns in fit whether an item fits, and in
// more whether a later one may fit if this one does not; Pop stops if both are false.
func (q *Queue[T]) Pop(fits func(T) (fit, more bool)) (T, bool) {
	var skipped []item[T]
	defer func() {
		for _, i := range skipped {
			heap.Push(&q.items, i)
		}
	}()
	for len(q.items) > 0 {
		i := heap.Pop(&q.items).(item[T])
		fit, more := fits(i.value)
		if fit {
			return i.value, true
		}
		skipped = append(skipped, i)
		if !more {
			break
		}
	}
	var zero T
	return zero, false
}

// Remove removes the item with an order number and reports whether it was still queued.
func (q *Queue[T]) Remove(order uint64) bool {
	for i := range q.items {
		if q.items[i].order == order {
			heap.Remove(&q.items, i)
			return true
		}
	}
	return false
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// itemHeap implements heap.Interface.
type itemHeap[T any] []item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.order < b.order
}

func (h itemHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap[T]) Push(x any) { *h = append(*h, x.(item[T])) }

func (h *itemHeap[T]) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
