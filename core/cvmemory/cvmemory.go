// Package cvmemory divides a limited memory among the messages that a process holds, and decides which ones are evicted if
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
	// UnknownLength is the length of a message that declares none.
	UnknownLength = -1
	// largeShare is the part of the memory that large messages may fill. The rest is reserved for small ones.
	largeShare = 0.75
	// callerShare is the part of the memory that one caller's requests and the answers to them may fill, except for small
	// messages.
	callerShare = 0.5
	// slowCallerTime is how long a caller may take to receive an answer before the answer can be evicted.
	slowCallerTime = 2 * time.Second
)

type fault struct{ cvfault.Fault }

func noRoom(format string, values ...any) error {
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
	// length is the declared length, or UnknownLength.
	length int64
	// size is the memory that the message takes now.
	size  int64
	state state
	// sendingSince is when the caller began to receive the answer.
	sendingSince time.Time
}

// evictionClass is the position of a message in the order of eviction.
type evictionClass int

const (
	notEvictable evictionClass = iota
	// incompleteUnknownLength is a larger message that is being received and whose end is not known.
	incompleteUnknownLength
	// incompleteKnownLength is a larger message that is being received. Only messages that declare a length evict it.
	incompleteKnownLength
	// slowCaller is an answer that its caller has been receiving for too long.
	slowCaller
)

// Account records the memory that each message takes. A message that needs more than is free evicts others, class by
// class and the largest of a class first. If that does not free enough, it evicts none and gets no memory. Account is not
// safe for concurrent use; the zero value has no limit.
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

// Open adds a message that takes no memory yet and returns its ID. The caller is the one whose request it belongs to, and
// length is the declared length or UnknownLength.
func (a *Account) Open(kind, caller string, length int64) int64 {
	if a.messages == nil {
		a.messages = make(map[int64]*message)
		a.byCaller, a.byKind = make(map[string]int64), make(map[string]int64)
	}
	a.nextID++
	a.messages[a.nextID] = &message{kind: kind, caller: caller, length: length}
	return a.nextID
}

// Grow gives a message more memory. It returns the IDs of the messages that it evicted, which are closed, or an error of
// KindExhausted if there is no room.
func (a *Account) Grow(now time.Time, id, bytes int64) (evicted []int64, err error) {
	m := a.messages[id]
	if m == nil {
		return nil, noRoom("the message is no longer held")
	}
	if a.limit > 0 {
		if evicted, err = a.makeRoom(now, m, bytes); err != nil {
			return nil, err
		}
	}
	a.add(m, bytes)
	return evicted, nil
}

// makeRoom evicts messages until m may grow.
func (a *Account) makeRoom(now time.Time, m *message, bytes int64) (evicted []int64, err error) {
	available := a.limit
	if large := m.size+bytes > SmallBytes; large {
		available = a.share(largeShare)
		if ofCaller := a.byCaller[m.caller] + bytes; ofCaller > a.share(callerShare) {
			return nil, noRoom("the messages of caller %s would take %d bytes; one caller's may take %d", m.caller, ofCaller, a.share(callerShare))
		}
	}
	victims, enough := a.victims(now, m, a.used+bytes-available)
	if !enough {
		return nil, noRoom("%d of %d bytes are in use, and a message of %d bytes may evict too few", a.used, a.limit, m.size+bytes)
	}
	for _, v := range victims {
		a.Close(v)
	}
	return victims, nil
}

func (a *Account) share(part float64) int64 { return int64(part * float64(a.limit)) }

// victims returns the messages to evict for m to free a number of bytes. It returns false if they are too few.
func (a *Account) victims(now time.Time, m *message, bytes int64) (ids []int64, enough bool) {
	if bytes <= 0 {
		return nil, true
	}
	classes := make(map[int64]evictionClass)
	for id, other := range a.messages {
		if class := classFor(now, other, m); class != notEvictable && other != m {
			classes[id] = class
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y int64) int {
		return cmp.Or(cmp.Compare(classes[x], classes[y]), cmp.Compare(a.messages[y].size, a.messages[x].size), cmp.Compare(x, y))
	})
	for n, id := range ids {
		if bytes -= a.messages[id].size; bytes <= 0 {
			return ids[:n+1], true
		}
	}
	return nil, false
}

// classFor returns the class of a message when m needs memory.
func classFor(now time.Time, other, m *message) evictionClass {
	largerIncomplete := other.state == receiving && other.size > max(m.size, SmallBytes)
	switch {
	case largerIncomplete && other.length == UnknownLength:
		return incompleteUnknownLength
	case largerIncomplete && m.length != UnknownLength:
		return incompleteKnownLength
	case other.state == sending && now.Sub(other.sendingSince) > slowCallerTime && other.size > 0:
		return slowCaller
	}
	return notEvictable
}

// Complete records that a message was received. From now on it is not evicted, unless its caller is slow to receive it.
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

// add changes the size of a message. Connections do not count for their caller: many callers may have one address.
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
