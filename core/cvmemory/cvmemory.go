// Package cvmemory divides a limited memory among the messages that a process holds, and decides which one gives way if
// it is used up. It answers a load of messages that are larger together than the memory: bodies without end, many long
// bodies at the same time, and callers that do not read their answers.
package cvmemory

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

// The kinds of messages.
const (
	KindRequest    = "request"
	KindAnswer     = "answer"
	KindConnection = "connection"
)

const (
	// SmallBytes is the size up to which a message counts as small. Orders, reservations and lookups are smaller.
	SmallBytes = 256 << 10
	// UnknownLength is the length of a message that does not tell it.
	UnknownLength = -1
	// largeShare is the part of the memory that messages may use that are not small. The rest stays free for small ones.
	largeShare = 0.75
	// callerShare is the part of the memory that the messages of one caller may use, with the answers to its requests.
	callerShare = 0.5
	// slowCallerAfter is how long a caller may take to receive an answer before the answer gives way to other messages.
	slowCallerAfter = 2 * time.Second
)

type fault struct{ cvfault.Fault }

func fail(format string, values ...any) error {
	return fault{cvfault.New("hold", comfreyvale.KindExhausted, errors.Errorf(format, values...))}
}

type state int

const (
	receiving state = iota
	complete
	sending
)

type message struct {
	kind, caller string
	// length is the length that the message has told, or UnknownLength.
	length int64
	size   int64
	state  state
	// sendingSince is when the caller began to receive the answer.
	sendingSince time.Time
}

// Account records the memory that each message takes. A message that finds no room takes that of others, in this order:
// larger ones whose length is unknown and that are not complete, the largest first; if its own length is known, larger
// incomplete ones whose length is known; answers whose callers have been receiving them for too long. Without any, it is
// turned away itself. Account is not safe for concurrent use; the zero value has no limit.
type Account struct {
	limit    int64
	used     int64
	nextID   int64
	messages map[int64]*message
	byCaller map[string]int64
	byKind   map[string]int64
}

// SetLimit sets the memory in bytes, or none with 0. Messages that are held stay.
func (a *Account) SetLimit(bytes int64) { a.limit = bytes }

// Limit returns the memory in bytes, or 0 if there is no limit.
func (a *Account) Limit() int64 { return a.limit }

// Used returns the memory in use.
func (a *Account) Used() int64 { return a.used }

// UsedBy returns the memory that messages of a kind use.
func (a *Account) UsedBy(kind string) int64 { return a.byKind[kind] }

// Open adds a message that takes no memory yet and returns its ID. The caller is the one whose request it belongs to.
func (a *Account) Open(kind, caller string, length int64) int64 {
	if a.messages == nil {
		a.messages = make(map[int64]*message)
		a.byCaller, a.byKind = make(map[string]int64), make(map[string]int64)
	}
	a.nextID++
	a.messages[a.nextID] = &message{kind: kind, caller: caller, length: length}
	return a.nextID
}

// Grow gives a message more memory. It returns the messages that have given way, which are closed, or an error of
// KindExhausted if there is no room.
func (a *Account) Grow(now time.Time, id, bytes int64) ([]int64, error) {
	m := a.messages[id]
	if m == nil {
		return nil, fail("the message is no longer held")
	}
	size := m.size + bytes
	if size > SmallBytes && a.limit > 0 {
		if allowed := int64(callerShare * float64(a.limit)); a.byCaller[m.caller]+bytes > allowed {
			return nil, fail("the messages of caller %s would take more than %d bytes", m.caller, allowed)
		}
	}
	yielding, ok := a.yieldingTo(now, id, a.excess(size, bytes))
	if !ok {
		return nil, fail("%d of %d bytes are in use, and no other message gives way to one of %d bytes", a.used, a.limit, size)
	}
	for _, y := range yielding {
		a.Close(y)
	}
	a.add(m, bytes)
	return yielding, nil
}

// excess returns how many bytes have to become free before a message may grow to a size.
func (a *Account) excess(size, bytes int64) int64 {
	if a.limit <= 0 {
		return 0
	}
	available := a.limit
	if size > SmallBytes {
		available = int64(largeShare * float64(a.limit))
	}
	return max(a.used+bytes-available, 0)
}

// yieldingTo returns the messages that give way to a message until the excess is free. It returns false if they are not
// enough.
func (a *Account) yieldingTo(now time.Time, id, excess int64) ([]int64, bool) {
	if excess <= 0 {
		return nil, true
	}
	var candidates []int64
	for other, m := range a.messages {
		if other != id && rank(now, m, a.messages[id]) > 0 {
			candidates = append(candidates, other)
		}
	}
	slices.SortFunc(candidates, func(x, y int64) int {
		mx, my := a.messages[x], a.messages[y]
		return cmp.Or(cmp.Compare(rank(now, mx, a.messages[id]), rank(now, my, a.messages[id])), cmp.Compare(my.size, mx.size), cmp.Compare(x, y))
	})
	for n, c := range candidates {
		if excess -= a.messages[c].size; excess <= 0 {
			return candidates[:n+1], true
		}
	}
	return nil, false
}

// rank returns the position of a message in the order in which messages give way to another one, or 0 if it does not.
func rank(now time.Time, m, to *message) int {
	larger := m.state == receiving && m.size > max(to.size, SmallBytes)
	switch {
	case larger && m.length == UnknownLength:
		return 1
	case larger && to.length != UnknownLength:
		return 2
	case m.state == sending && now.Sub(m.sendingSince) > slowCallerAfter && m.size > 0:
		return 3
	}
	return 0
}

// Complete records that a message has been received and does not give way anymore.
func (a *Account) Complete(id int64) {
	if m := a.messages[id]; m != nil {
		m.state = complete
	}
}

// Sending records that the caller of a complete message begins to receive it.
func (a *Account) Sending(now time.Time, id int64) {
	if m := a.messages[id]; m != nil && m.state == complete {
		m.state, m.sendingSince = sending, now
	}
}

// Close removes a message and frees its memory.
func (a *Account) Close(id int64) {
	m := a.messages[id]
	if m == nil {
		return
	}
	a.add(m, -m.size)
	delete(a.messages, id)
}

func (a *Account) add(m *message, bytes int64) {
	m.size += bytes
	a.used += bytes
	a.byKind[m.kind] += bytes
	if m.kind == KindConnection {
		return
	}
	if a.byCaller[m.caller] += bytes; a.byCaller[m.caller] <= 0 {
		delete(a.byCaller, m.caller)
	}
}
