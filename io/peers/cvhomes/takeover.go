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
	// handoverTime is how long a member may take to hand its claims over before it is asked again.
	handoverTime = time.Second
	// appendPause is the pause after a failed append.
	appendPause = 100 * time.Millisecond
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// SetView takes the next view of the roster, and this process's incarnation in it, or an empty one.
// All views must come, in order.
func (h *Homes) SetView(view *cvview.View, incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if incarnation != h.incarnation {
		h.become(incarnation)
	}
	h.view = view
	if incarnation == "" || !slices.Contains(view.Homes(), incarnation) {
		h.homes = nil
		h.ready = false
		h.round++
		return
	}
	if slices.Equal(h.homes, view.Homes()) && h.ready && len(h.unread(view)) == 0 {
		return
	}
	h.homes = view.Homes()
	h.vouches = make(map[string][]int)
	h.ready = false
	h.round++
	go h.takeOver(h.ctx, view, incarnation, h.round)
}

// unread are the departures of a view whose journals were not taken over yet.
func (h *Homes) unread(view *cvview.View) []*cvwire.Departure {
	var found []*cvwire.Departure
	for _, d := range view.Departures() {
		if !h.imported[d.GetIncarnation()] {
			found = append(found, d)
		}
	}
	return found
}

// become starts over as another incarnation. What the earlier one granted stays known.
func (h *Homes) become(incarnation string) {
	now := time.Now()
	earlier := h.home
	earlier.Seal()
	h.failWaiters()
	h.incarnation = incarnation
	h.homes = nil
	h.ready = false
	h.failing = false
	h.home = &cvhome.Home{Incarnation: incarnation, BatchLimit: batchLimit}
	h.home.Import(now, earlier.Handover(now, func(string) bool { return true }))
	h.imported = make(map[string]bool)
	h.gap = gap{}
	h.vouched = make(map[string]int)
	if incarnation != "" {
		go h.journal(h.ctx, h.home, incarnation)
	}
}

// failWaiters sends all waiting claims away; their callers ask again.
func (h *Homes) failWaiters() {
	for grant, waiter := range h.waiters {
		waiter <- &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_UNAVAILABLE, Condition: "the key's home is changing"}
		delete(h.waiters, grant)
	}
}

// takeOver gathers the claims of all earlier homes: from the journals of those that are gone, and from those that live.
// Until it is done, no key is granted here.
func (h *Homes) takeOver(ctx context.Context, view *cvview.View, incarnation string, round int) {
	began := time.Now()
	h.mu.Lock()
	unread := h.unread(view)
	h.mu.Unlock()
	for _, d := range unread {
		h.readJournal(ctx, d, round)
	}
	for _, m := range view.Members() {
		if m.GetIncarnation() != incarnation {
			h.askHandover(ctx, m, view.Epoch(), incarnation, round)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.round != round || ctx.Err() != nil {
		return
	}
	h.coverGaps(time.Now(), view)
	for _, home := range view.Homes() {
		h.vouched[home] = max(h.vouched[home], len(view.Homes()))
	}
	for _, d := range unread {
		h.imported[d.GetIncarnation()] = true
	}
	h.ready = true
	h.Metrics.Changed("takeOver")
	h.Logger.WithFields(log.Fields{"epoch": view.Epoch(), "claims": h.home.Len(), "took": time.Since(began).String()}).Info("home ready")
}

func (h *Homes) current(ctx context.Context, round int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.round == round && ctx.Err() == nil
}

// readJournal takes over the claims of an incarnation that is gone, once.
func (h *Homes) readJournal(ctx context.Context, departure *cvwire.Departure, round int) {
	incarnation := departure.GetIncarnation()
	for h.current(ctx, round) {
		journal := &cvjournal.Journal{Log: h.Log, Incarnation: incarnation, Metrics: h.Metrics}
		sealed, err := journal.Seal(ctx, h.Process)
		if err != nil {
			cvpause.For(ctx, appendPause)
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

// askHandover takes over the claims of a living member. The member's roster must be at the same epoch.
func (h *Homes) askHandover(ctx context.Context, member *cvwire.Member, epoch int64, incarnation string, round int) {
	request := &cvwire.HandoverRequest{Incarnation: incarnation, Epoch: epoch}
	for h.current(ctx, round) {
		callCtx, cancel := context.WithTimeout(ctx, handoverTime)
		reply, err := h.Peers.Call(callCtx, member.GetProcess(), &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Handover{Handover: request}})
		cancel()
		if err != nil || reply.GetHandover().GetEpoch() != epoch {
			cvpause.For(ctx, retryTime)
			continue
		}
		h.mu.Lock()
		if h.round == round {
			h.home.Import(time.Now(), reply.GetHandover().GetClaims())
			h.hearGaps(time.Now(), reply.GetHandover())
		}
		h.mu.Unlock()
		return
	}
}

// journal writes an incarnation's claims to its journal, a batch at a time, until the journal is closed.
func (h *Homes) journal(ctx context.Context, home *cvhome.Home, incarnation string) {
	journal := &cvjournal.Journal{Log: h.Log, Incarnation: incarnation, Metrics: h.Metrics}
	for ctx.Err() == nil {
		record, sealed := h.batch(home)
		if sealed {
			h.signal()
			return
		}
		if record == nil {
			select {
			case <-h.wake:
			case <-time.After(handoverTime):
			case <-ctx.Done():
			}
			continue
		}
		began := time.Now()
		closed, err := journal.Append(ctx, record)
		for err != nil && ctx.Err() == nil {
			h.refuseWaiters()
			cvpause.For(ctx, appendPause)
			closed, err = journal.Append(ctx, record)
		}
		if closed {
			h.closed(ctx, home, incarnation)
			return
		}
		h.committed(home)
		cvpause.For(ctx, h.JournalInterval-time.Since(began))
	}
}

func (h *Homes) batch(home *cvhome.Home) (record *cvwire.JournalRecord, sealed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return home.NextRecord(), home.Sealed()
}

// committed grants the claims that the journal now holds.
func (h *Homes) committed(home *cvhome.Home) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing {
		h.failing = false
		h.Metrics.Changed("journal")
		h.Logger.Info("journal takes claims again")
	}
	for _, grant := range home.Commit() {
		h.reply(grant, &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED})
	}
	h.gap.waitingSince = time.Time{}
	if len(h.waiters) > 0 {
		h.gap.waitingSince = time.Now()
	}
}

func (h *Homes) reply(grant string, reply *cvwire.ClaimReply) {
	if waiter := h.waiters[grant]; waiter != nil {
		waiter <- reply
		delete(h.waiters, grant)
	}
}

// refuseWaiters sends waiting claims away while the log does not answer. Their keys never ran: each was free when it
// was entered here, and its holder gives the grant up on this answer.
func (h *Homes) refuseWaiters() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		h.failing = true
		h.Metrics.Changed("journal")
		h.Logger.Warn("journal does not take claims")
	}
	if time.Since(h.gap.waitingSince) < gapPatience {
		return
	}
	for grant, waiter := range h.waiters {
		waiter <- &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_REFUSED, Condition: "the platform's log does not take claims; the key never ran"}
		delete(h.waiters, grant)
	}
}

// closed ends an incarnation whose journal another process has closed.
func (h *Homes) closed(ctx context.Context, home *cvhome.Home, incarnation string) {
	h.mu.Lock()
	home.Seal()
	h.failWaiters()
	h.mu.Unlock()
	h.Logger.WithField("incarnation", incarnation).Warn("journal was closed by another balancer")
	h.Metrics.Changed("journalClosed")
	h.Resign(ctx, incarnation)
}

// Close stops granting, writes what waits, and closes the own journal, so that others take the keys over at once.
func (h *Homes) Close(ctx context.Context) error {
	h.mu.Lock()
	h.init()
	h.closing = true
	incarnation := h.incarnation
	h.mu.Unlock()
	if incarnation == "" {
		return nil
	}
	for ctx.Err() == nil && !h.drained() {
		cvpause.For(ctx, retryTime)
	}
	if ctx.Err() != nil {
		return fail("close", comfreyvale.KindTimeout, errors.New("the journal does not hold all claims"))
	}
	journal := &cvjournal.Journal{Log: h.Log, Incarnation: incarnation, Metrics: h.Metrics}
	_, err := journal.Seal(ctx, h.Process)
	return err
}

func (h *Homes) drained() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiters) == 0 && h.home.Journalled()
}
