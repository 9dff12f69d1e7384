package cvhomes

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvhome"
	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/store/cvjournal"
)

const (
	// handoverTimeout limits one handover request. It is also how often an idle journal writer checks whether the journal
	// is sealed.
	handoverTimeout = time.Second
	// appendRetryDelay is the delay after a failed append or seal.
	appendRetryDelay = 100 * time.Millisecond
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// SetView sets the next view of the roster, and this process's incarnation in it, which is empty if the process is not
// a member. The caller must pass every view, in order.
func (h *Homes) SetView(view *cvview.View, incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if incarnation != h.incarnation {
		h.setIncarnation(incarnation)
	}
	h.view = view
	if incarnation == "" || !slices.Contains(view.Homes(), incarnation) {
		h.homes = nil
		h.ready = false
		h.round++
		return
	}
	if slices.Equal(h.homes, view.Homes()) && h.ready && len(h.departuresToImport(view)) == 0 {
		return
	}
	h.homes = view.Homes()
	h.peerHomeCounts = make(map[string][]int)
	h.ready = false
	h.round++
	go h.takeOver(h.ctx, view, incarnation, h.round)
}

// departuresToImport returns the departures whose journals were not imported yet.
func (h *Homes) departuresToImport(view *cvview.View) []*cvwire.Departure {
	var found []*cvwire.Departure
	for _, d := range view.Departures() {
		if !h.imported[d.GetIncarnation()] {
			found = append(found, d)
		}
	}
	return found
}

// setIncarnation starts another incarnation and its journal. The claims of the previous one are kept.
func (h *Homes) setIncarnation(incarnation string) {
	now := time.Now()
	previous := h.home
	previous.Seal()
	h.failWaiters()
	h.incarnation = incarnation
	h.homes = nil
	h.ready = false
	h.journalFailing = false
	h.home = &cvhome.Home{Incarnation: incarnation, BatchLimit: batchLimit}
	h.home.Import(now, previous.Handover(now, func(string) bool { return true }))
	h.imported = make(map[string]bool)
	h.gap = gap{}
	h.homeCounts = make(map[string]int)
	if incarnation != "" {
		go h.runJournal(h.ctx, h.home, incarnation)
	}
}

// failWaiters answers all waiting claims with UNAVAILABLE, on which their senders retry.
func (h *Homes) failWaiters() {
	for grant, waiter := range h.waiters {
		waiter <- &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: "the key's home is changing"}
		delete(h.waiters, grant)
	}
}

// takeOver imports the claims of all earlier homes, from the journals of departed ones and by handover from members.
// Until it returns, this home grants no keys.
func (h *Homes) takeOver(ctx context.Context, view *cvview.View, incarnation string, round int) {
	began := time.Now()
	h.mu.Lock()
	departures := h.departuresToImport(view)
	h.mu.Unlock()
	for _, d := range departures {
		h.importJournal(ctx, d, round)
	}
	for _, m := range view.Members() {
		if m.GetIncarnation() != incarnation {
			h.requestHandover(ctx, m, view.Epoch(), incarnation, round)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.round != round || ctx.Err() != nil {
		return
	}
	h.addLostGaps(time.Now(), view)
	for _, home := range view.Homes() {
		h.homeCounts[home] = max(h.homeCounts[home], len(view.Homes()))
	}
	for _, d := range departures {
		h.imported[d.GetIncarnation()] = true
	}
	h.ready = true
	h.Metrics.StateChanged("takeOver")
	h.Logger.WithFields(log.Fields{"epoch": view.Epoch(), "claims": h.home.Len(), "took": time.Since(began).String()}).Info("home ready")
}

func (h *Homes) isCurrent(ctx context.Context, round int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.round == round && ctx.Err() == nil
}

// importJournal seals and imports the journal of a departed incarnation. It retries until that succeeds or the round
// ends.
func (h *Homes) importJournal(ctx context.Context, departure *cvwire.Departure, round int) {
	incarnation := departure.GetIncarnation()
	for h.isCurrent(ctx, round) {
		journal := &cvjournal.Journal{Log: h.Log, Incarnation: incarnation, Metrics: h.Metrics}
		sealed, err := journal.Seal(ctx, h.Process)
		if err != nil {
			cvpause.For(ctx, appendRetryDelay)
			continue
		}
		lostUntil := sealed.LostUntil(time.UnixMilli(departure.GetAtUnixMs()), h.LongestWindow())
		now := time.Now()
		h.mu.Lock()
		if h.round == round {
			h.home.Import(now, sealed.Claims())
			if lostUntil.After(now) {
				h.home.AddGap(incarnation, lostUntil, "claims of balancer "+incarnation+" are no longer in the platform's log", func(string) bool { return true })
			}
		}
		h.mu.Unlock()
		return
	}
}

// requestHandover imports a member's claims and gaps. It retries until the member replies with the same epoch or the
// round ends.
func (h *Homes) requestHandover(ctx context.Context, member *cvwire.Member, epoch int64, incarnation string, round int) {
	request := &cvwire.HandoverRequest{Incarnation: incarnation, Epoch: epoch}
	for h.isCurrent(ctx, round) {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		reply, err := h.Peers.Call(callCtx, member.GetProcess(), &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Handover{Handover: request}})
		cancel()
		if err != nil || reply.GetHandover().GetEpoch() != epoch {
			cvpause.For(ctx, retryDelay)
			continue
		}
		h.mu.Lock()
		if h.round == round {
			h.home.Import(time.Now(), reply.GetHandover().GetClaims())
			h.importGaps(time.Now(), reply.GetHandover())
		}
		h.mu.Unlock()
		return
	}
}

// runJournal appends an incarnation's claims to its journal in batches until the journal is sealed.
func (h *Homes) runJournal(ctx context.Context, home *cvhome.Home, incarnation string) {
	journal := &cvjournal.Journal{Log: h.Log, Incarnation: incarnation, Metrics: h.Metrics}
	for ctx.Err() == nil {
		record, sealed := h.nextRecord(home)
		if sealed {
			h.wakeJournal()
			return
		}
		if record == nil {
			select {
			case <-h.wake:
			case <-time.After(handoverTimeout):
			case <-ctx.Done():
			}
			continue
		}
		began := time.Now()
		closed, err := journal.Append(ctx, record)
		for err != nil && ctx.Err() == nil {
			h.refuseWaiters()
			cvpause.For(ctx, appendRetryDelay)
			closed, err = journal.Append(ctx, record)
		}
		if closed {
			h.handleSeal(ctx, home, incarnation)
			return
		}
		h.commit(home)
		cvpause.For(ctx, h.JournalInterval-time.Since(began))
	}
}

func (h *Homes) nextRecord(home *cvhome.Home) (record *cvwire.JournalRecord, sealed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return home.NextRecord(), home.Sealed()
}

// commit grants the claims of the appended record.
func (h *Homes) commit(home *cvhome.Home) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.journalFailing {
		h.journalFailing = false
		h.Metrics.StateChanged("journal")
		h.Logger.Info("journal accepts claims again")
	}
	for _, grant := range home.Commit() {
		h.sendReply(grant, &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED})
	}
	h.gap.waitingSince = time.Time{}
	if len(h.waiters) > 0 {
		h.gap.waitingSince = time.Now()
	}
}

func (h *Homes) sendReply(grant string, reply *cvwire.ClaimReply) {
	if waiter := h.waiters[grant]; waiter != nil {
		waiter <- reply
		delete(h.waiters, grant)
	}
}

// refuseWaiters is called after a failed append, and refuses the waiting claims once they have waited for gapOpenDelay.
// No request with their keys has run: each key was unclaimed when its claim arrived, and the holder releases the grant
// on this reply.
func (h *Homes) refuseWaiters() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.journalFailing {
		h.journalFailing = true
		h.Metrics.StateChanged("journal")
		h.Logger.Warn("journal does not accept claims")
	}
	if time.Since(h.gap.waitingSince) < gapOpenDelay {
		return
	}
	for grant, waiter := range h.waiters {
		waiter <- &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_REFUSED, Condition: "the platform's log does not take claims; the key never ran"}
		delete(h.waiters, grant)
	}
}

// handleSeal ends an incarnation whose journal another process has sealed.
func (h *Homes) handleSeal(ctx context.Context, home *cvhome.Home, incarnation string) {
	h.mu.Lock()
	home.Seal()
	h.failWaiters()
	h.mu.Unlock()
	h.Logger.WithField("incarnation", incarnation).Warn("journal was sealed by another balancer")
	h.Metrics.StateChanged("journalClosed")
	h.OnJournalSealed(ctx, incarnation)
}

// Close stops granting claims, waits until the journal holds all claims, and seals it, so that other homes can take
// over immediately. If the context ends first, the error has KindTimeout.
func (h *Homes) Close(ctx context.Context) error {
	h.mu.Lock()
	h.init()
	h.closing = true
	incarnation := h.incarnation
	h.mu.Unlock()
	if incarnation == "" {
		return nil
	}
	for ctx.Err() == nil && !h.journalled() {
		cvpause.For(ctx, retryDelay)
	}
	if ctx.Err() != nil {
		return fail("close", comfreyvale.KindTimeout, errors.New("the journal does not hold all claims"))
	}
	journal := &cvjournal.Journal{Log: h.Log, Incarnation: incarnation, Metrics: h.Metrics}
	_, err := journal.Seal(ctx, h.Process)
	return err
}

func (h *Homes) journalled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiters) == 0 && h.home.Journalled()
}
