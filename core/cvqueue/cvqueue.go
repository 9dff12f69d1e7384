// Package cvqueue is a bounded queue whose items leave by priority, then by deadline.
package cvqueue

import (
	"container/heap"
	"time"
)

// Queue holds items that wait. It is not safe for concurrent use.
type Queue[T any] struct {
	// Limit is how many items wait at most.
	Limit int

	items entries[T]
	next  uint64
}

type item[T any] struct {
	value    T
	priority int
	deadline time.Time
	order    uint64
}

// Push adds an item and returns its ticket, or false when the queue is full.
func (q *Queue[T]) Push(value T, priority int, deadline time.Time) (uint64, bool) {
	if len(q.items) >= q.Limit {
		return 0, false
	}
	q.next++
	heap.Push(&q.items, item[T]{value: value, priority: priority, deadline: deadline, order: q.next})
	return q.next, true
}

// Pop takes out the first item that fits, or returns false when none does.
// The function says whether an item fits, and, if it does not, whether a later one still might.
func (q *Queue[T]) Pop(fits func(T) (fit, goOn bool)) (T, bool) {
	var passed []item[T]
	defer func() {
		for _, i := range passed {
			heap.Push(&q.items, i)
		}
	}()
	for len(q.items) > 0 {
		i := heap.Pop(&q.items).(item[T])
		fit, goOn := fits(i.value)
		if fit {
			return i.value, true
		}
		passed = append(passed, i)
		if !goOn {
			break
		}
	}
	var none T
	return none, false
}

// Remove takes out the item of a ticket and returns whether it was still waiting.
func (q *Queue[T]) Remove(ticket uint64) bool {
	for i := range q.items {
		if q.items[i].order == ticket {
			heap.Remove(&q.items, i)
			return true
		}
	}
	return false
}

// Len is the number of items that wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// entries is a heap of items.
type entries[T any] []item[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	a, b := e[i], e[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.order < b.order
}

func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an item at the end, for package heap.
func (e *entries[T]) Push(x any) { *e = append(*e, x.(item[T])) }

// Pop takes the last item, for package heap.
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
