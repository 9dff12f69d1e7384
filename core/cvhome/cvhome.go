// Package cvhome implements the home of idempotency keys, which grants each key to one holder within the key's window.
package cvhome

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"comfreyvale/core/cvwire"
)

// Home decides claims of the keys that one incarnation of a balancer is responsible for. It writes each claim to its
// journal and grants it once the journal holds it. Home is not safe for concurrent use.
type Home struct {
	// Incarnation is the incarnation of the balancer that writes the journal.
	Incarnation string
	// BatchLimit is the maximum number of claims in a journal record.
	BatchLimit int

	claims        map[string]*claim
	grants        map[string]*claim
	order         []*claim
	queue         []*cvwire.Claim
	inFlight      *cvwire.JournalRecord
	recordCount   int64
	longestWindow time.Duration
	sealed        bool
	gaps          []gap
}

// claim is a grant of a key, or a request for one that the journal does not hold yet.
type claim struct {
	key    string
	grant  string
	holder string
	// moves counts how often another process became the holder.
	moves    uint32
	digest   []byte
	at       time.Time
	window   time.Duration
	released bool
	// granted is set once this home has granted the claim, and imported if another home may have granted it.
	granted  bool
	imported bool
	// queued is set once the claim was queued for this home's journal.
	queued bool
}

// gap is a set of keys whose claims at an earlier home are lost, because no journal in the log holds them.
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

// Claim decides a claim of a key. It returns nil if the claim has to wait for the journal; Commit returns the grant
// later. With immediate, the claim is granted without the journal. That is safe only for a key that names the process
// which grants it, because such a key never moves to another home.
func (h *Home) Claim(now time.Time, request *cvwire.ClaimRequest, immediate bool) *cvwire.ClaimReply {
	h.init()
	if held := h.activeClaim(now, request.GetKey()); held != nil {
		return h.replyToHeld(held, request)
	}
	if h.sealed && !immediate {
		return sealedReply()
	}
	if evidence, lost := h.gapEvidence(now, request.GetKey()); lost && !immediate {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNKNOWN, Condition: evidence}
	}
	c := h.addClaim(now, request)
	if immediate {
		c.granted = true
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED}
	}
	h.enqueue(c)
	return nil
}

func (h *Home) enqueue(c *claim) {
	c.queued = true
	h.queue = append(h.queue, c.message())
}

// activeClaim returns the unreleased claim of a key whose window has not passed, or nil.
func (h *Home) activeClaim(now time.Time, key string) *claim {
	c := h.claims[key]
	if c == nil || c.released || !now.Before(c.at.Add(c.window)) {
		return nil
	}
	return c
}

// Unclaimed reports whether it is certain that no request with the key has run within the key's window.
func (h *Home) Unclaimed(now time.Time, key string) bool {
	_, lost := h.gapEvidence(now, key)
	return !lost && h.activeClaim(now, key) == nil
}

// replyToHeld returns nil if the request repeats the held claim and that claim has to wait for the journal. A claim of an
// earlier home has to wait too, because the journal of that home may not hold it.
func (h *Home) replyToHeld(held *claim, request *cvwire.ClaimRequest) *cvwire.ClaimReply {
	if !bytes.Equal(held.digest, request.GetDigest()) {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_REUSED}
	}
	if held.grant != request.GetGrant() {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_HELD, Holder: held.holder, Grant: held.grant}
	}
	if held.granted {
		return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED}
	}
	if h.sealed {
		return sealedReply()
	}
	if !held.queued {
		h.enqueue(held)
	}
	return nil
}

func sealedReply() *cvwire.ClaimReply {
	return &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: "the home's journal was closed"}
}

// gapEvidence returns the evidence of the first unexpired gap that covers a key.
func (h *Home) gapEvidence(now time.Time, key string) (string, bool) {
	for _, g := range h.gaps {
		if now.Before(g.until) && g.covers(key) {
			return g.evidence, true
		}
	}
	return "", false
}

func (h *Home) addClaim(now time.Time, request *cvwire.ClaimRequest) *claim {
	c := &claim{
		key: request.GetKey(), grant: request.GetGrant(), holder: request.GetHolder(), digest: request.GetDigest(),
		at: now, window: time.Duration(request.GetWindowMs()) * time.Millisecond,
	}
	h.longestWindow = max(h.longestWindow, c.window)
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
		AtUnixMs: c.at.UnixMilli(), WindowMs: c.window.Milliseconds(), Released: c.released, Moves: c.moves,
	}
}

// Release marks a grant whose request will never be sent to an upstream, so that the key can be granted again.
func (h *Home) Release(grant string) {
	h.init()
	c := h.grants[grant]
	if c == nil || c.released {
		return
	}
	c.released = true
	h.queue = append(h.queue, c.message())
}

// Holds reports whether a grant is known.
func (h *Home) Holds(grant string) bool { return h.grants[grant] != nil }

// Reassign sets the process that now holds the answer to a grant's request. It returns false for an unknown grant.
func (h *Home) Reassign(grant, holder string) bool {
	c := h.grants[grant]
	if c == nil {
		return false
	}
	c.holder = holder
	c.moves++
	return true
}

// NextRecord returns the next journal record to append, or nil if no claim waits, the journal is sealed, or a record is
// in flight.
func (h *Home) NextRecord() *cvwire.JournalRecord {
	if h.inFlight != nil || len(h.queue) == 0 || h.sealed {
		return nil
	}
	size := min(len(h.queue), max(h.BatchLimit, 1))
	h.recordCount++
	h.inFlight = &cvwire.JournalRecord{
		Id: fmt.Sprintf("%s/%d", h.Incarnation, h.recordCount), Claims: h.queue[:size:size], LongestWindowMs: h.longestWindow.Milliseconds(),
	}
	h.queue = h.queue[size:]
	return h.inFlight
}

// Commit notes that the journal holds the record in flight, and no seal before it. It returns the grants that are now
// valid, or nil if no record is in flight or the home is sealed.
func (h *Home) Commit() []string {
	if h.inFlight == nil || h.sealed {
		return nil
	}
	var granted []string
	for _, m := range h.inFlight.GetClaims() {
		c := h.grants[m.GetGrant()]
		if c == nil || c.released || m.GetReleased() {
			continue
		}
		c.granted = true
		granted = append(granted, c.grant)
	}
	h.inFlight = nil
	return granted
}

// GrantUnjournalled grants a claim before the journal holds it, and returns whether it did. All other homes must
// already have stored the gap of this home.
func (h *Home) GrantUnjournalled(grant string) bool {
	c := h.grants[grant]
	if c == nil || c.released || h.sealed {
		return false
	}
	c.granted = true
	return true
}

// Journalled reports whether no claim or release waits for the journal.
func (h *Home) Journalled() bool { return h.inFlight == nil && len(h.queue) == 0 }

// Seal notes that another process sealed the journal. Claims that still wait are never granted.
func (h *Home) Seal() {
	h.sealed = true
	h.inFlight = nil
	h.queue = nil
}

// Sealed reports whether the journal is sealed.
func (h *Home) Sealed() bool { return h.sealed }

// Waiting reports whether a grant still waits for the journal. It returns false after Seal.
func (h *Home) Waiting(grant string) bool {
	c := h.grants[grant]
	return c != nil && !c.granted && !c.released && !h.sealed
}

// Import adds the claims of an earlier home, which may have granted them. A grant is released if any home has released
// it. Its holder is that of the claim with the most moves: a departed home's journal does not hold moves, and another
// member's copy may be older.
func (h *Home) Import(now time.Time, claims []*cvwire.Claim) {
	h.init()
	for _, m := range claims {
		h.importClaim(now, m)
	}
}

func (h *Home) importClaim(now time.Time, m *cvwire.Claim) {
	if known := h.grants[m.GetGrant()]; known != nil {
		known.imported = true
		known.released = known.released || m.GetReleased()
		if m.GetMoves() > known.moves {
			known.holder, known.moves = m.GetHolder(), m.GetMoves()
		}
		return
	}
	at := time.UnixMilli(m.GetAtUnixMs())
	if at.After(now) {
		at = now
	}
	c := &claim{
		key: m.GetKey(), grant: m.GetGrant(), holder: m.GetHolder(), moves: m.GetMoves(), digest: m.GetDigest(),
		at: at, window: time.Duration(m.GetWindowMs()) * time.Millisecond, released: m.GetReleased(), imported: true,
	}
	held := h.claims[c.key]
	h.store(c)
	if held != nil && !held.released && c.released {
		h.claims[c.key] = held
	}
}

// AddGap adds a gap, which ends at until: the claims of an earlier home are lost, so a request may have run although
// its key has no claim here. Covers reports whether this is possible for a key. Evidence is the condition in replies to
// claims of such keys.
func (h *Home) AddGap(incarnation string, until time.Time, evidence string, covers func(key string) bool) {
	h.gaps = append(h.gaps, gap{incarnation: incarnation, until: until, evidence: evidence, covers: covers})
}

// RemoveGap removes the gaps of an earlier home whose claims have become known.
func (h *Home) RemoveGap(incarnation string) {
	h.gaps = slices.DeleteFunc(h.gaps, func(g gap) bool { return g.incarnation == incarnation })
}

// Handover returns the unexpired claims of the keys for which belongs returns true, released and waiting ones included.
// Once the journal is sealed, waiting ones are void and are left out: another home may have granted their keys.
func (h *Home) Handover(now time.Time, belongs func(key string) bool) []*cvwire.Claim {
	var claims []*cvwire.Claim
	for _, c := range h.order {
		void := h.sealed && !c.granted && !c.imported
		if now.Before(c.at.Add(c.window)) && belongs(c.key) && !void {
			claims = append(claims, c.message())
		}
	}
	return claims
}

// Expire removes the claims whose windows have passed.
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

// Len returns the number of stored claims.
func (h *Home) Len() int { return len(h.order) }
