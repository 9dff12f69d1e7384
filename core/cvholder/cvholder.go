// Package cvholder provides the state of the idempotency keys that one process claims or has claimed.
package cvholder

import (
	"bytes"
	"time"

	"comfreyvale"
)

// The states of a key in the process that claims it.
const (
	// Absent is a key that this process does not know.
	Absent = "absent"
	// Claiming is a key that this process has asked its home to grant.
	Claiming = "claiming"
	// Running is a key that was granted; its request may have been sent to an upstream.
	Running = "running"
	// Answered is a key whose complete answer is stored.
	Answered = "answered"
	// Lost is a key whose request may have run, but whose answer is not available.
	Lost = "lost"
	// Released is a grant whose request this process did not send to an upstream and never will.
	Released = "released"
)

const (
	// answerOverhead and headerOverhead are the bytes of memory that an answer and each header take beside their texts.
	answerOverhead = 512
	headerOverhead = 64
)

// Holder stores keys for their windows, and answers within a memory budget. It is not safe for concurrent use.
type Holder struct {
	// AnswerBudget is the maximum size of all stored answers in bytes.
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

// Begin adds a key in state Claiming, with the grant ID that its home is asked for.
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

// State returns the state of a key and its grant, and the answer if the state is Answered.
func (h *Holder) State(key string) (state, grant string, answer comfreyvale.Answer) {
	e := h.byKey[key]
	if e == nil {
		return Absent, "", comfreyvale.Answer{}
	}
	return e.state, e.grant, e.answer
}

// GrantState returns the state of a grant, and the answer if the state is Answered.
func (h *Holder) GrantState(grant string) (state string, answer comfreyvale.Answer) {
	e := h.byGrant[grant]
	if e == nil {
		return Absent, comfreyvale.Answer{}
	}
	return e.state, e.answer
}

// SameDigest reports whether the key is stored with the same digest, so that both belong to the same request.
func (h *Holder) SameDigest(key comfreyvale.Key) bool {
	e := h.byKey[key.Text()]
	return e != nil && bytes.Equal(e.key.Digest(), key.Digest())
}

// MarkRunning changes a grant from Claiming to Running. If it returns false, the grant was released and its request
// must not be sent.
func (h *Holder) MarkRunning(grant string) bool { return h.transition(grant, Claiming, Running) }

// Finish stores the answer to the request of a running grant. If the budget has no room for it, the state becomes Lost.
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

// Adopt stores a key and its answer for a process that is shutting down. It returns false if there is no room or the
// key is stored already.
func (h *Holder) Adopt(now time.Time, key comfreyvale.Key, grant string, answer comfreyvale.Answer) bool {
	if h.byKey[key.Text()] != nil || h.bytes+sizeOf(answer) > h.AnswerBudget {
		return false
	}
	h.Begin(now, key, grant)
	h.MarkRunning(grant)
	h.Finish(grant, answer)
	return true
}

// AnsweredGrants returns the grants with a stored answer, oldest first.
func (h *Holder) AnsweredGrants() []string {
	var grants []string
	for _, e := range h.order {
		if e.state == Answered {
			grants = append(grants, e.grant)
		}
	}
	return grants
}

// KeyOf returns the key of a grant, or false for an unknown grant.
func (h *Holder) KeyOf(grant string) (comfreyvale.Key, bool) {
	e := h.byGrant[grant]
	if e == nil {
		return comfreyvale.Key{}, false
	}
	return e.key, true
}

// sizeOf returns the estimated memory of an answer in bytes.
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

// MarkLost changes the state of a running grant to Lost, because no answer will arrive.
func (h *Holder) MarkLost(grant string) { h.transition(grant, Running, Lost) }

// Release ends a claiming or running grant whose request was not sent to an upstream, and removes its key. MarkRunning
// returns false for the grant from then on.
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

// transition returns false if the grant is unknown or not in state from.
func (h *Holder) transition(grant, from, to string) bool {
	e := h.byGrant[grant]
	if e == nil || e.state != from {
		return false
	}
	e.state = to
	return true
}

// Expire removes the keys whose windows have passed, except those in state Claiming or Running.
func (h *Holder) Expire(now time.Time) {
	kept := h.order[:0]
	for _, e := range h.order {
		if now.Before(e.expires) || e.state == Running || e.state == Claiming {
			kept = append(kept, e)
			continue
		}
		h.remove(e)
	}
	clear(h.order[len(kept):])
	h.order = kept
}

func (h *Holder) remove(e *entry) {
	delete(h.byGrant, e.grant)
	if h.byKey[e.key.Text()] == e {
		delete(h.byKey, e.key.Text())
	}
	if e.state == Answered {
		h.bytes -= sizeOf(e.answer)
	}
}

// Len returns the number of stored grants, including released ones until Expire removes them.
func (h *Holder) Len() int { return len(h.order) }
