// Package cvholder is what one process knows of the keys that it asked for, runs or ran.
package cvholder

import (
	"bytes"
	"time"

	"comfreyvale"
)

// The states of a key at its holder.
const (
	// Absent is a key that this process does not know.
	Absent = "absent"
	// Claiming is a key whose home was asked.
	Claiming = "claiming"
	// Running is a key that was granted and may have been dispatched.
	Running = "running"
	// Answered is a key whose whole answer is kept.
	Answered = "answered"
	// Lost is a key that may have run and has no answer at hand.
	Lost = "lost"
	// Released is a key that this process never dispatched and never will under that grant.
	Released = "released"
)

const (
	// answerOverhead and headerOverhead are the bytes that an answer and each of its headers take beside their texts.
	answerOverhead = 512
	headerOverhead = 64
)

// Holder keeps keys for their window and answers within a budget. It is not safe for concurrent use.
type Holder struct {
	// AnswerBudget is how many bytes of answers are kept.
	AnswerBudget int64

	byKey   map[string]*entry
	byGrant map[string]*entry
	order   []*entry
	bytes   int64
}

type entry struct {
	key     comfreyvale.Key
	grant   string
	state   string
	answer  comfreyvale.Answer
	expires time.Time
}

// Begin notes that the key's home is asked for a grant.
func (h *Holder) Begin(now time.Time, key comfreyvale.Key, grant string) {
	if h.byKey == nil {
		h.byKey = make(map[string]*entry)
		h.byGrant = make(map[string]*entry)
	}
	e := &entry{key: key, grant: grant, state: Claiming, expires: now.Add(key.Window())}
	h.byKey[key.Text()] = e
	h.byGrant[grant] = e
	h.order = append(h.order, e)
}

// State returns the state of a key, the grant it belongs to, and the answer of one that is Answered.
func (h *Holder) State(key string) (state, grant string, answer comfreyvale.Answer) {
	e := h.byKey[key]
	if e == nil {
		return Absent, "", comfreyvale.Answer{}
	}
	return e.state, e.grant, e.answer
}

// GrantState returns the state of a grant of this process and its answer.
func (h *Holder) GrantState(grant string) (state string, answer comfreyvale.Answer) {
	e := h.byGrant[grant]
	if e == nil {
		return Absent, comfreyvale.Answer{}
	}
	return e.state, e.answer
}

// SameDigest says whether a key is known with the same digest.
func (h *Holder) SameDigest(key comfreyvale.Key) bool {
	e := h.byKey[key.Text()]
	return e != nil && bytes.Equal(e.key.Digest(), key.Digest())
}

// Run turns Claiming into Running. It returns false for a grant that was given up meanwhile; it must not be dispatched.
func (h *Holder) Run(grant string) bool { return h.move(grant, Claiming, Running) }

// Finish keeps the answer of a running grant. Without room for it, the key is Lost.
func (h *Holder) Finish(grant string, answer comfreyvale.Answer) {
	e := h.byGrant[grant]
	if e == nil || e.state != Running {
		return
	}
	size := sizeOf(answer)
	if h.bytes+size > h.AnswerBudget {
		e.state = Lost
		return
	}
	h.bytes += size
	e.state = Answered
	e.answer = answer
}

// Adopt takes over an answer from a holder that stops. It returns false when there is no room or the key is known here.
func (h *Holder) Adopt(now time.Time, key comfreyvale.Key, grant string, answer comfreyvale.Answer) bool {
	if h.byKey[key.Text()] != nil || h.bytes+sizeOf(answer) > h.AnswerBudget {
		return false
	}
	h.Begin(now, key, grant)
	h.Run(grant)
	h.Finish(grant, answer)
	return true
}

// AnsweredGrants returns the grants whose answers are kept.
func (h *Holder) AnsweredGrants() []string {
	var grants []string
	for _, e := range h.order {
		if e.state == Answered {
			grants = append(grants, e.grant)
		}
	}
	return grants
}

// KeyOf returns the whole key of a grant, or false when it is not known.
func (h *Holder) KeyOf(grant string) (comfreyvale.Key, bool) {
	e := h.byGrant[grant]
	if e == nil {
		return comfreyvale.Key{}, false
	}
	return e.key, true
}

// sizeOf is about how many bytes an answer takes in memory.
func sizeOf(answer comfreyvale.Answer) int64 {
	size := answerOverhead + len(answer.Body())
	for name, values := range answer.Header() {
		size += headerOverhead + len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return int64(size)
}

// MarkLost ends a running grant without an answer.
func (h *Holder) MarkLost(grant string) { h.move(grant, Running, Lost) }

// Release ends a grant that was never dispatched; it can never run afterwards.
func (h *Holder) Release(grant string) {
	e := h.byGrant[grant]
	if e == nil || (e.state != Claiming && e.state != Running) {
		return
	}
	e.state = Released
	if h.byKey[e.key.Text()] == e {
		delete(h.byKey, e.key.Text())
	}
}

func (h *Holder) move(grant, from, to string) bool {
	e := h.byGrant[grant]
	if e == nil || e.state != from {
		return false
	}
	e.state = to
	return true
}

// Expire forgets the keys whose windows have passed.
func (h *Holder) Expire(now time.Time) {
	kept := h.order[:0]
	for _, e := range h.order {
		if now.Before(e.expires) || e.state == Running || e.state == Claiming {
			kept = append(kept, e)
			continue
		}
		h.forget(e)
	}
	clear(h.order[len(kept):])
	h.order = kept
}

func (h *Holder) forget(e *entry) {
	delete(h.byGrant, e.grant)
	if h.byKey[e.key.Text()] == e {
		delete(h.byKey, e.key.Text())
	}
	if e.state == Answered {
		h.bytes -= sizeOf(e.answer)
	}
}

// Len is the number of keys and released grants that are remembered.
func (h *Holder) Len() int { return len(h.order) }
