// Package cvhomes routes claims of idempotency keys to the keys' homes, and implements the home in this balancer.
package cvhomes

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvhome"
	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/peers/cvpeers"
)

const (
	// retryDelay is the delay between two requests to a home or member that is not ready.
	retryDelay = 10 * time.Millisecond
	// batchLimit is the maximum number of claims in a journal record.
	batchLimit = 2000
)

// Homes routes claims to the keys' homes, and decides the claims whose home is this balancer: routing.go has the first
// part, deciding.go the second, takeover.go what happens when homes change, and gaps.go how claims are granted while the
// log takes none. It is safe for concurrent use.
type Homes struct {
	// Process is the name of this process.
	Process string
	// Log stores the journals.
	Log comfreyvale.Log
	// Peers sends requests to the other balancers.
	Peers *cvpeers.Peers
	// JournalInterval is the minimum time between two journal appends.
	JournalInterval time.Duration
	// LongestWindow returns the longest claim window of all services in the current configuration.
	LongestWindow func() time.Duration
	// OnJournalSealed is called when another process has sealed the journal of an incarnation of this process.
	OnJournalSealed func(ctx context.Context, incarnation string)
	// Metrics records state changes.
	Metrics *cvmetrics.Metrics
	// Logger logs state changes.
	Logger log.Interface

	mu sync.Mutex
	// ctx is canceled when Run returns. Takeovers and journals that SetView starts before Run use it too.
	ctx    context.Context
	cancel context.CancelFunc
	view   *cvview.View
	// incarnation is this process's name in the view, or "" if it is not a member.
	incarnation string
	// homes holds the homes at the start of the latest takeover.
	homes []string
	home  *cvhome.Home
	// issued holds the claims of the keys that this process generated.
	issued cvhome.Home
	// waiters receive the decisions of claims that wait for the journal, by grant.
	waiters map[string]chan *cvwire.ClaimReply
	// imported holds the departed incarnations whose journals were imported.
	imported map[string]bool
	// round is the number of the current takeover; takeovers of earlier rounds stop.
	round int
	// ready is set once the latest takeover has ended, closing once this process stops granting claims, and
	// journalFailing while appends to the journal fail.
	ready          bool
	closing        bool
	journalFailing bool
	// wake tells the journal's goroutine that claims or releases wait.
	wake          chan struct{}
	gap           gap
	lastGapNumber int64
	peerGaps      map[string]peerGap
	// homeCounts maps each incarnation that was a home together with this one to the largest number of homes in any such
	// view. peerHomeCounts maps incarnations to the same counts of other members, which their handovers contain.
	homeCounts     map[string]int
	peerHomeCounts map[string][]int
}

// Run opens, renews and closes gaps until the context ends. It then also ends the goroutines that SetView started.
func (h *Homes) Run(ctx context.Context) error {
	h.mu.Lock()
	h.init()
	h.mu.Unlock()
	defer h.cancel()
	ticker := time.NewTicker(gapCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			h.updateGap(ctx, now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *Homes) init() {
	if h.waiters != nil {
		return
	}
	h.waiters = make(map[string]chan *cvwire.ClaimReply)
	h.imported = make(map[string]bool)
	h.peerGaps = make(map[string]peerGap)
	h.homeCounts = make(map[string]int)
	h.peerHomeCounts = make(map[string][]int)
	h.view = cvview.New(0, nil, nil)
	h.home = &cvhome.Home{}
	h.wake = make(chan struct{}, 1)
	h.ctx, h.cancel = context.WithCancel(context.Background())
}

// Expire removes the claims and gaps whose windows have passed.
func (h *Homes) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.home.Expire(now)
	h.issued.Expire(now)
	h.expireGaps(now)
}

// Len returns the number of claims that this home stores.
func (h *Homes) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	return h.home.Len() + h.issued.Len()
}

// String returns the name of the implementation.
func (h *Homes) String() string { return "homes by rendezvous, journalled" }
