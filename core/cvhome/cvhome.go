// Package cvhome is the decision about keys at their home: each is granted to one holder within its window.
package cvhome

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"comfreyvale/core/cvwire"
)

// Home decides about the keys of one incarnation. It is not safe for concurrent use.
//
// A claim is decided in two steps: it is written to the journal, and granted once the journal holds it.
type Home struct {
	// Incarnation names the journal's writer.
	Incarnation string
	// BatchLimit is how many claims one journal record holds at most.
	BatchLimit int

	claims  map[string]*claim
	grants  map[string]*claim
	order   []*claim
	queue   []*cvwire.Claim
	flight  *cvwire.JournalRecord
	records int64
	longest time.Duration
	sealed  bool
	gaps    []gap
}

// claim is the last grant of one key.
type claim struct {
	key      string
	grant    string
	holder   string
	digest   []byte
	at       time.Time
	window   time.Duration
	released bool
	durable  bool
}

// gap is a range of claims that were lost with their journal.
type gap struct {
	incarnation string
	until       time.Time
	evidence    string
	covers      func(key string) bool
}

func (h *Home) init() {
	if h.claims == nil {
		h.claims = make(map[string]*claim)
		h.grants = make(map[string]*claim)
	}
}

// Claim decides about a key. It returns nil while the claim waits for the journal; Committed tells of it then.
// Immediate grants a key whose home is fixed in the key itself, without the journal.
func (h *Home) Claim(now time.Time, request *cvwire.ClaimRequest, immediate bool) *cvwire.ClaimReply {
	h.init()
	if held := h.holding(now, request.GetKey()); held != nil {
		return h.again(held, request)
	}
	if h.sealed && !immediate {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: "the home's journal was closed"}
	}
	if evidence, lost := h.lost(now, request.GetKey()); lost && !immediate {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNKNOWN, Condition: evidence}
	}
	c := h.put(now, request)
	if immediate {
		c.durable = true
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED}
	}
	h.queue = append(h.queue, c.message())
	return nil
}

// holding returns the claim that holds a key, or nil.
func (h *Home) holding(now time.Time, key string) *claim {
	c := h.claims[key]
	if c == nil || c.released || !now.Before(c.at.Add(c.window)) {
		return nil
	}
	return c
}

// Unclaimed says whether a key is known never to have run within its window.
func (h *Home) Unclaimed(now time.Time, key string) bool {
	_, lost := h.lost(now, key)
	return !lost && h.holding(now, key) == nil
}

// again answers a claim of a key that is held.
func (h *Home) again(held *claim, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	if !bytes.Equal(held.digest, request.GetDigest()) {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_REUSED}
	}
	if held.grant == request.GetGrant() {
		if held.durable {
			return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED}
		}
		return nil
	}
	return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_HELD, Holder: held.holder, Grant: held.grant}
}

func (h *Home) lost(now time.Time, key string) (string, bool) {
	for _, g := range h.gaps {
		if now.Before(g.until) && g.covers(key) {
			return g.evidence, true
		}
	}
	return "", false
}

func (h *Home) put(now time.Time, request *cvwire.ClaimRequest) *claim {
	c := &claim{
		key: request.GetKey(), grant: request.GetGrant(), holder: request.GetHolder(), digest: request.GetDigest(),
		at: now, window: time.Duration(request.GetWindowMs()) * time.Millisecond,
	}
	h.longest = max(h.longest, c.window)
	h.store(c)
	return c
}

func (h *Home) store(c *claim) {
	h.claims[c.key] = c
	h.grants[c.grant] = c
	h.order = append(h.order, c)
}

func (c *claim) message() *cvwire.Claim {
	return &cvwire.Claim{
		Key: c.key, Grant: c.grant, Holder: c.holder, Digest: c.digest,
		AtUnixMs: c.at.UnixMilli(), WindowMs: c.window.Milliseconds(), Released: c.released,
	}
}

// Release notes that a grant was never dispatched and never will be. The key may be granted anew.
func (h *Home) Release(grant string) {
	h.init()
	c := h.grants[grant]
	if c == nil || c.released {
		return
	}
	c.released = true
	h.queue = append(h.queue, c.message())
}

// Reassign notes that another process holds a grant's answer now. It returns whether the grant is known.
func (h *Home) Reassign(grant, holder string) bool {
	c := h.grants[grant]
	if c == nil {
		return false
	}
	c.holder = holder
	return true
}

// NextRecord returns the next journal record to append, or nil when there is none or one is under way.
func (h *Home) NextRecord() *cvwire.JournalRecord {
	if h.flight != nil || len(h.queue) == 0 || h.sealed {
		return nil
	}
	size := min(len(h.queue), max(h.BatchLimit, 1))
	h.records++
	h.flight = &cvwire.JournalRecord{
		Id: fmt.Sprintf("%s/%d", h.Incarnation, h.records), Claims: h.queue[:size:size], LongestWindowMs: h.longest.Milliseconds(),
	}
	h.queue = h.queue[size:]
	return h.flight
}

// Commit says that the journal holds the record under way, before any seal. It returns the grants that now count.
func (h *Home) Commit() []string {
	if h.flight == nil || h.sealed {
		return nil
	}
	var granted []string
	for _, m := range h.flight.GetClaims() {
		c := h.grants[m.GetGrant()]
		if c == nil || c.released || m.GetReleased() {
			continue
		}
		c.durable = true
		granted = append(granted, c.grant)
	}
	h.flight = nil
	return granted
}

// GrantUnjournalled grants a claim that the journal does not hold yet, and returns whether it could be granted.
// All other homes must remember the gap before.
func (h *Home) GrantUnjournalled(grant string) bool {
	c := h.grants[grant]
	if c == nil || c.released || h.sealed {
		return false
	}
	c.durable = true
	return true
}

// Journalled says whether the journal holds all claims.
func (h *Home) Journalled() bool { return h.flight == nil && len(h.queue) == 0 }

// Seal says that the journal was closed by another process. Claims that were not committed will never be granted.
func (h *Home) Seal() {
	h.sealed = true
	h.flight = nil
	h.queue = nil
}

// Sealed says whether the journal was closed.
func (h *Home) Sealed() bool { return h.sealed }

// Waiting says whether a grant still waits for the journal.
func (h *Home) Waiting(grant string) bool {
	c := h.grants[grant]
	return c != nil && !c.durable && !c.released && !h.sealed
}

// Import takes over claims of an earlier home. A grant that any home knows to be released is released.
func (h *Home) Import(now time.Time, claims []*cvwire.Claim) {
	h.init()
	for _, m := range claims {
		h.importOne(now, m)
	}
}

func (h *Home) importOne(now time.Time, m *cvwire.Claim) {
	if known := h.grants[m.GetGrant()]; known != nil {
		known.released = known.released || m.GetReleased()
		return
	}
	at := time.UnixMilli(m.GetAtUnixMs())
	if at.After(now) {
		at = now
	}
	c := &claim{
		key: m.GetKey(), grant: m.GetGrant(), holder: m.GetHolder(), digest: m.GetDigest(),
		at: at, window: time.Duration(m.GetWindowMs()) * time.Millisecond, released: m.GetReleased(), durable: true,
	}
	held := h.claims[c.key]
	h.store(c)
	if held != nil && !held.released && c.released {
		h.claims[c.key] = held
	}
}

// AddGap notes that claims of an earlier home are lost: keys that it covers and that are not known may have run.
func (h *Home) AddGap(incarnation string, until time.Time, evidence string, covers func(key string) bool) {
	h.gaps = append(h.gaps, gap{incarnation: incarnation, until: until, evidence: evidence, covers: covers})
}

// RemoveGap notes that the claims of an earlier home are known after all.
func (h *Home) RemoveGap(incarnation string) {
	h.gaps = slices.DeleteFunc(h.gaps, func(g gap) bool { return g.incarnation == incarnation })
}

// Handover returns the claims of the keys that now belong to another home, those that wait for the journal included.
func (h *Home) Handover(now time.Time, belongs func(key string) bool) []*cvwire.Claim {
	var claims []*cvwire.Claim
	for _, c := range h.order {
		if now.Before(c.at.Add(c.window)) && belongs(c.key) {
			claims = append(claims, c.message())
		}
	}
	return claims
}

// Expire forgets the claims whose windows have passed.
func (h *Home) Expire(now time.Time) {
	kept := h.order[:0]
	for _, c := range h.order {
		if now.Before(c.at.Add(c.window)) {
			kept = append(kept, c)
			continue
		}
		delete(h.grants, c.grant)
		if h.claims[c.key] == c {
			delete(h.claims, c.key)
		}
	}
	clear(h.order[len(kept):])
	h.order = kept
}

// Len is the number of claims remembered.
func (h *Home) Len() int { return len(h.order) }
