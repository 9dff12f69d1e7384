package cvhomes

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
)

const (
	gapCheckInterval = 100 * time.Millisecond
	// gapOpenDelay is how long claims wait for the journal before the other homes are asked to store a gap.
	gapOpenDelay = 400 * time.Millisecond
	// gapPromiseTTL is how long another home's promise to store the gap allows grants, counted from the request.
	gapPromiseTTL     = 2 * time.Second
	gapRequestTimeout = time.Second
)

// gap is a period in which this home grants claims before its journal holds them, because the log does not accept them.
// A majority of the homes, this one included, must be at the same epoch and have promised within gapPromiseTTL to store
// the gap. If this home is lost, its successors ask the other members. If enough reply, at least one of them has stored
// the gap, and the successors treat the unknown keys that it covers as keys whose requests may have run. If too few
// reply, they treat all unknown keys in this way.
type gap struct {
	waitingSince time.Time
	open         bool
	number       int64
	epoch        int64
	promises     map[string]time.Time
	requesting   bool
}

// peerGap is another home's gap that this home has stored.
type peerGap struct {
	homes  []string
	until  time.Time
	number int64
}

// mayGrantUnjournalled reports whether claims may be granted before the journal holds them.
func (h *Homes) mayGrantUnjournalled(now time.Time) bool {
	if !h.gap.open || h.gap.epoch != h.view.Epoch() || !h.ready || h.closing {
		return false
	}
	promises := 1
	for _, home := range h.view.Homes() {
		at, promised := h.gap.promises[home]
		if home != h.incarnation && promised && now.Sub(at) < gapPromiseTTL {
			promises++
		}
	}
	return promises >= majority(len(h.view.Homes()))
}

func majority(homes int) int { return homes/2 + 1 }

// enoughReplied reports whether this home and the members that replied to its handover requests include enough homes
// that served together with an incarnation: if the incarnation granted claims in a gap, at least one of them has stored
// the gap.
func (h *Homes) enoughReplied(incarnation string) bool {
	counts := h.peerHomeCounts[incarnation]
	if homes, known := h.homeCounts[incarnation]; known {
		counts = append(slices.Clone(counts), homes)
	}
	if len(counts) == 0 {
		return false
	}
	homes := slices.Max(counts)
	return len(counts)+majority(homes) > homes
}

// updateGap opens a gap if claims wait too long or appends fail, renews its promises, and closes it when the journal
// holds all claims.
func (h *Homes) updateGap(ctx context.Context, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	late := !h.gap.waitingSince.IsZero() && now.Sub(h.gap.waitingSince) > gapOpenDelay
	switch {
	case h.incarnation == "" || !h.ready || h.closing:
		return
	case h.gap.open && h.home.Journalled() && !h.journalFailing:
		h.closeGap(ctx)
	case h.gap.open || late || h.journalFailing:
		h.openGap(ctx)
	}
}

// openGap opens the gap unless it is open, and requests new promises.
func (h *Homes) openGap(ctx context.Context) {
	if h.gap.epoch != h.view.Epoch() || h.gap.promises == nil {
		h.gap.promises = make(map[string]time.Time)
		h.gap.epoch = h.view.Epoch()
	}
	if !h.gap.open {
		h.gap.open = true
		h.lastGapNumber++
		h.gap.number = h.lastGapNumber
		h.Metrics.StateChanged("gap")
		h.Logger.WithField("epoch", h.view.Epoch()).Warn("granting claims without the journal while the other homes store the gap")
	}
	h.grantWaiting(time.Now())
	if h.gap.requesting {
		return
	}
	h.gap.requesting = true
	request := &cvwire.GapRequest{Incarnation: h.incarnation, Epoch: h.gap.epoch, Number: h.gap.number}
	go h.requestPromises(ctx, h.view, request)
}

func (h *Homes) requestPromises(ctx context.Context, view *cvview.View, request *cvwire.GapRequest) {
	ctx, cancel := context.WithTimeout(ctx, gapRequestTimeout)
	defer cancel()
	requests := 0
	done := make(chan struct{})
	for _, home := range view.Homes() {
		if home == request.GetIncarnation() {
			continue
		}
		requests++
		go func() {
			defer func() { done <- struct{}{} }()
			h.requestPromise(ctx, view, home, request)
		}()
	}
	for range requests {
		<-done
	}
	h.mu.Lock()
	h.gap.requesting = false
	h.grantWaiting(time.Now())
	h.mu.Unlock()
}

// requestPromise requests a promise from one home. The promise counts from the time of the request, not of the reply.
func (h *Homes) requestPromise(ctx context.Context, view *cvview.View, home string, request *cvwire.GapRequest) {
	at := time.Now()
	message := &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Gap{Gap: request}}
	reply, err := h.Peers.Call(ctx, view.Member(home).GetProcess(), message)
	if err != nil || !reply.GetGap().GetAccepted() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gap.open && h.gap.epoch == request.GetEpoch() && h.gap.number == request.GetNumber() {
		h.gap.promises[home] = at
	}
}

func (h *Homes) grantWaiting(now time.Time) {
	if !h.mayGrantUnjournalled(now) {
		return
	}
	for grant := range h.waiters {
		if h.home.GrantUnjournalled(grant) {
			h.sendReply(grant, &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED})
		}
	}
}

func (h *Homes) closeGap(ctx context.Context) {
	request := &cvwire.GapRequest{Incarnation: h.incarnation, Epoch: h.view.Epoch(), Closed: true, Number: h.gap.number}
	h.gap = gap{}
	h.Metrics.StateChanged("gap")
	h.Logger.Info("journal holds all claims again")
	view := h.view
	go func() {
		ctx, cancel := context.WithTimeout(ctx, gapRequestTimeout)
		defer cancel()
		for _, home := range view.Homes() {
			if home != request.GetIncarnation() {
				message := &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Gap{Gap: request}}
				// A home that misses the message only stores the gap for longer than necessary.
				_, _ = h.Peers.Call(ctx, view.Member(home).GetProcess(), message)
			}
		}
	}()
}

// acceptGap stores another home's gap, or removes it if that home has closed it. It rejects gaps of unknown
// incarnations and of other epochs. Accepting is the promise to store the gap.
func (h *Homes) acceptGap(now time.Time, request *cvwire.GapRequest) *cvwire.GapReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if request.GetClosed() {
		if h.peerGaps[request.GetIncarnation()].number <= request.GetNumber() {
			delete(h.peerGaps, request.GetIncarnation())
		}
		return &cvwire.GapReply{Accepted: true}
	}
	if request.GetEpoch() != h.view.Epoch() || h.view.Member(request.GetIncarnation()) == nil {
		return &cvwire.GapReply{}
	}
	h.peerGaps[request.GetIncarnation()] = peerGap{homes: h.view.Homes(), until: now.Add(gapPromiseTTL + h.LongestWindow()), number: request.GetNumber()}
	return &cvwire.GapReply{Accepted: true}
}

// currentGaps returns the stored gaps and this home's open gap.
func (h *Homes) currentGaps(now time.Time) []*cvwire.Gap {
	var found []*cvwire.Gap
	for incarnation, g := range h.peerGaps {
		if now.Before(g.until) {
			found = append(found, &cvwire.Gap{Incarnation: incarnation, Homes: g.homes, RemainingMs: g.until.Sub(now).Milliseconds()})
		}
	}
	if h.gap.open {
		remaining := gapPromiseTTL + h.LongestWindow()
		found = append(found, &cvwire.Gap{Incarnation: h.incarnation, Homes: h.view.Homes(), RemainingMs: remaining.Milliseconds()})
	}
	return found
}

// importGaps stores the gaps and home counts of a handover.
func (h *Homes) importGaps(now time.Time, reply *cvwire.HandoverReply) {
	for _, g := range reply.GetGaps() {
		until := now.Add(time.Duration(g.GetRemainingMs()) * time.Millisecond)
		if until.After(h.peerGaps[g.GetIncarnation()].until) {
			h.peerGaps[g.GetIncarnation()] = peerGap{homes: g.GetHomes(), until: until}
		}
	}
	for _, v := range reply.GetVouched() {
		h.peerHomeCounts[v.GetIncarnation()] = append(h.peerHomeCounts[v.GetIncarnation()], int(v.GetHomes()))
	}
}

// addLostGaps adds gaps for the keys that lost homes may have granted outside their journals. A process that has joined
// again needs none, because it has handed its claims over.
func (h *Homes) addLostGaps(now time.Time, view *cvview.View) {
	for _, d := range view.Departures() {
		incarnation := d.GetIncarnation()
		process, _, _ := strings.Cut(incarnation, "#")
		if d.GetClean() || view.MemberByProcess(process) != nil {
			h.home.RemoveGap(incarnation)
			continue
		}
		if h.imported[incarnation] {
			continue
		}
		g, stored := h.peerGaps[incarnation]
		if !stored && !h.enoughReplied(incarnation) {
			g = peerGap{until: time.UnixMilli(d.GetAtUnixMs()).Add(gapPromiseTTL + h.LongestWindow())}
		}
		if now.Before(g.until) {
			h.Logger.WithFields(log.Fields{"incarnation": incarnation, "until": g.until}).Warn("claims of a lost home are unknown")
			h.home.AddGap(incarnation, g.until, "balancer "+incarnation+" was lost while the platform's log did not take its claims", g.covers(incarnation))
		}
	}
}

func (h *Homes) expireGaps(now time.Time) {
	for incarnation, g := range h.peerGaps {
		if !now.Before(g.until) {
			delete(h.peerGaps, incarnation)
		}
	}
}

// covers returns a function that reports whether a key's home was the incarnation. It returns true for all keys if the
// homes of the gap's epoch are unknown.
func (g peerGap) covers(incarnation string) func(key string) bool {
	if len(g.homes) == 0 {
		return func(string) bool { return true }
	}
	members := make([]*cvwire.Member, 0, len(g.homes))
	for _, home := range g.homes {
		members = append(members, &cvwire.Member{Incarnation: home})
	}
	view := cvview.New(0, members, nil)
	return func(key string) bool { return view.Home(key) == incarnation }
}
