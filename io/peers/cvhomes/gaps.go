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
	// gapTime is the time between two looks at whether the journal keeps up.
	gapTime = 100 * time.Millisecond
	// gapPatience is how long claims wait for the journal before the other homes are asked to remember a gap.
	gapPatience = 400 * time.Millisecond
	// gapLife is how long another home's word to remember the gap allows grants, from when it was asked.
	gapLife = 2 * time.Second
	// gapAskTime is how long another home may take to give its word.
	gapAskTime = time.Second
)

// gap is this home's time of granting claims that its journal does not hold yet, while the log does not take them.
// Most homes, this one included, must be at the same epoch and have given their word to remember the gap, lately.
// If this home is lost, its successors hear from so many that one of them remembers, and then treat unknown keys of
// its range as keys that may have run; a successor that hears from too few treats them so in any case.
type gap struct {
	waitingSince time.Time
	open         bool
	number       int64
	epoch        int64
	words        map[string]time.Time
	asking       bool
}

// otherGap is a gap of another home that this one remembers.
type otherGap struct {
	homes  []string
	until  time.Time
	number int64
}

// gapUsable says whether claims may be granted without the journal now.
func (h *Homes) gapUsable(now time.Time) bool {
	if !h.gap.open || h.gap.epoch != h.view.Epoch() || !h.ready || h.closing {
		return false
	}
	words := 1
	for _, home := range h.view.Homes() {
		word, given := h.gap.words[home]
		if home != h.incarnation && given && now.Sub(word) < gapLife {
			words++
		}
	}
	return words >= majority(len(h.view.Homes()))
}

// majority is more than half.
func majority(homes int) int { return homes/2 + 1 }

// vouchedFor says whether so many homes beside an incarnation have spoken that one of them would know of its gap.
func (h *Homes) vouchedFor(incarnation string) bool {
	vouches := h.vouches[incarnation]
	if homes, own := h.vouched[incarnation]; own {
		vouches = append(slices.Clone(vouches), homes)
	}
	if len(vouches) == 0 {
		return false
	}
	homes := slices.Max(vouches)
	return len(vouches)+majority(homes) > homes
}

// keepGap opens a gap when claims wait too long, renews it, and closes it when the journal holds all claims.
func (h *Homes) keepGap(ctx context.Context, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	late := !h.gap.waitingSince.IsZero() && now.Sub(h.gap.waitingSince) > gapPatience
	switch {
	case h.incarnation == "" || !h.ready || h.closing:
		return
	case h.gap.open && h.home.Journalled() && !h.failing:
		h.closeGap(ctx)
	case h.gap.open || late || h.failing:
		h.openGap(ctx)
	}
}

// openGap asks all other homes for their word.
func (h *Homes) openGap(ctx context.Context) {
	if h.gap.epoch != h.view.Epoch() || h.gap.words == nil {
		h.gap.words = make(map[string]time.Time)
		h.gap.epoch = h.view.Epoch()
	}
	if !h.gap.open {
		h.gap.open = true
		h.gapNumber++
		h.gap.number = h.gapNumber
		h.Metrics.Changed("gap")
		h.Logger.WithField("epoch", h.view.Epoch()).Warn("granting without the journal, by the other homes' word")
	}
	h.grantWaiting(time.Now())
	if h.gap.asking {
		return
	}
	h.gap.asking = true
	request := &cvwire.GapRequest{Incarnation: h.incarnation, Epoch: h.gap.epoch, Number: h.gap.number}
	go h.askWords(ctx, h.view, request)
}

// askWords asks each other home; a word counts from when it was asked for.
func (h *Homes) askWords(ctx context.Context, view *cvview.View, request *cvwire.GapRequest) {
	ctx, cancel := context.WithTimeout(ctx, gapAskTime)
	defer cancel()
	asked := 0
	answers := make(chan struct{})
	for _, home := range view.Homes() {
		if home == request.GetIncarnation() {
			continue
		}
		asked++
		go func() {
			defer func() { answers <- struct{}{} }()
			h.askWord(ctx, view, home, request)
		}()
	}
	for range asked {
		<-answers
	}
	h.mu.Lock()
	h.gap.asking = false
	h.grantWaiting(time.Now())
	h.mu.Unlock()
}

func (h *Homes) askWord(ctx context.Context, view *cvview.View, home string, request *cvwire.GapRequest) {
	at := time.Now()
	message := &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Gap{Gap: request}}
	reply, err := h.Peers.Call(ctx, view.Member(home).GetProcess(), message)
	if err != nil || !reply.GetGap().GetAccepted() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gap.open && h.gap.epoch == request.GetEpoch() && h.gap.number == request.GetNumber() {
		h.gap.words[home] = at
	}
}

// grantWaiting grants the claims that wait for the journal, if that is allowed now.
func (h *Homes) grantWaiting(now time.Time) {
	if !h.gapUsable(now) {
		return
	}
	for grant := range h.waiters {
		if h.home.GrantUnjournalled(grant) {
			h.reply(grant, &cvwire.ClaimReply{Verdict: cvwire.ClaimReply_GRANTED})
		}
	}
}

// closeGap tells the other homes that the journal holds all claims.
func (h *Homes) closeGap(ctx context.Context) {
	request := &cvwire.GapRequest{Incarnation: h.incarnation, Epoch: h.view.Epoch(), Closed: true, Number: h.gap.number}
	h.gap = gap{}
	h.Metrics.Changed("gap")
	h.Logger.Info("journal holds all claims again")
	view := h.view
	go func() {
		ctx, cancel := context.WithTimeout(ctx, gapAskTime)
		defer cancel()
		for _, home := range view.Homes() {
			if home != request.GetIncarnation() {
				message := &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Gap{Gap: request}}
				// A home that misses this remembers the gap for longer than it must.
				_, _ = h.Peers.Call(ctx, view.Member(home).GetProcess(), message)
			}
		}
	}()
}

// remember gives the word to remember another home's gap, at the same epoch only.
func (h *Homes) remember(now time.Time, request *cvwire.GapRequest) *cvwire.GapReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if request.GetClosed() {
		if h.gaps[request.GetIncarnation()].number <= request.GetNumber() {
			delete(h.gaps, request.GetIncarnation())
		}
		return &cvwire.GapReply{Accepted: true}
	}
	if request.GetEpoch() != h.view.Epoch() || h.view.Member(request.GetIncarnation()) == nil {
		return &cvwire.GapReply{}
	}
	h.gaps[request.GetIncarnation()] = otherGap{homes: h.view.Homes(), until: now.Add(gapLife + h.LongestWindow()), number: request.GetNumber()}
	return &cvwire.GapReply{Accepted: true}
}

// openGaps are the gaps that this home remembers, its own included.
func (h *Homes) openGaps(now time.Time) []*cvwire.Gap {
	var found []*cvwire.Gap
	for incarnation, g := range h.gaps {
		if now.Before(g.until) {
			found = append(found, &cvwire.Gap{Incarnation: incarnation, Homes: g.homes, RemainingMs: g.until.Sub(now).Milliseconds()})
		}
	}
	if h.gap.open {
		remaining := gapLife + h.LongestWindow()
		found = append(found, &cvwire.Gap{Incarnation: h.incarnation, Homes: h.view.Homes(), RemainingMs: remaining.Milliseconds()})
	}
	return found
}

// hearGaps takes over what another home remembers.
func (h *Homes) hearGaps(now time.Time, reply *cvwire.HandoverReply) {
	for _, g := range reply.GetGaps() {
		until := now.Add(time.Duration(g.GetRemainingMs()) * time.Millisecond)
		if until.After(h.gaps[g.GetIncarnation()].until) {
			h.gaps[g.GetIncarnation()] = otherGap{homes: g.GetHomes(), until: until}
		}
	}
	for _, v := range reply.GetVouched() {
		h.vouches[v.GetIncarnation()] = append(h.vouches[v.GetIncarnation()], int(v.GetHomes()))
	}
}

// coverGaps makes keys unknown that departed homes may have granted without any journal holding them.
// A process that is a member again has handed its claims over itself.
func (h *Homes) coverGaps(now time.Time, view *cvview.View) {
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
		g, open := h.gaps[incarnation]
		if !open && !h.vouchedFor(incarnation) {
			g = otherGap{until: time.UnixMilli(d.GetAtUnixMs()).Add(gapLife + h.LongestWindow())}
		}
		if now.Before(g.until) {
			h.Logger.WithFields(log.Fields{"incarnation": incarnation, "until": g.until}).Warn("claims of a lost home are not known")
			h.home.AddGap(incarnation, g.until, "balancer "+incarnation+" was lost while the platform's log did not take its claims", g.covers(incarnation))
		}
	}
}

// expireGaps forgets the gaps whose time has passed.
func (h *Homes) expireGaps(now time.Time) {
	for incarnation, g := range h.gaps {
		if !now.Before(g.until) {
			delete(h.gaps, incarnation)
		}
	}
}

// covers says which keys had the incarnation as home; without the homes of its epoch, all may have.
func (g otherGap) covers(incarnation string) func(key string) bool {
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
