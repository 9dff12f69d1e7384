// Package cvmembership is a balancer's membership in the roster that the platform's log keeps.
package cvmembership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvroster"
	"comfreyvale/core/cvsuspicion"
	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/store/cvjournal"
	"comfreyvale/io/store/cvtail"
)

// Stream is the stream that changes of the roster are appended to.
const Stream = "roster"

const (
	// pollTime is how long one read waits for news.
	pollTime = 10 * time.Second
	// retryTime is the pause after a failed read or append.
	retryTime = 200 * time.Millisecond
	// watchTime is the time between two looks at lost members.
	watchTime = 100 * time.Millisecond
	// refusedAfter is how long a member whose address refuses connections must be lost.
	refusedAfter = 300 * time.Millisecond
	// checkpointSteps is how many further members try to write a checkpoint within one more interval.
	checkpointSteps = 4
	// leaveTime is how long leaving the roster in order is tried.
	leaveTime = 5 * time.Second
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Membership joins the roster, follows it, takes out members that are lost, and leaves in order.
type Membership struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// Process, VM, DataCentre and PeerAddress describe this process.
	Process, VM, DataCentre, PeerAddress string
	// SuspectAfter is how long a member must be lost.
	SuspectAfter time.Duration
	// OnViewChange is told of each new view in order, and of this process's incarnation in it, or an empty one while it is in none.
	OnViewChange func(view *cvview.View, incarnation string)
	// Unlisted says whether the platform no longer lists a member's VM.
	Unlisted func(member *cvwire.Member) bool
	// Metrics counts.
	Metrics *cvmetrics.Metrics
	// Logger takes lines for changes of state.
	Logger log.Interface

	mu        sync.Mutex
	roster    *cvroster.Roster
	view      *cvview.View
	suspicion *cvsuspicion.Suspicion
	number    int
	leaving   bool
	evicting  map[string]bool
	checked   time.Time
}

// Run follows the roster until the context ends.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.init()
	m.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for ctx.Err() == nil {
			if err := m.step(ctx); err != nil {
				cvpause.For(ctx, retryTime)
			}
		}
		return nil
	})
	group.Go(func() error { return m.watch(ctx) })
	return group.Wait()
}

func (m *Membership) init() {
	if m.roster != nil {
		return
	}
	m.roster = cvroster.New()
	m.view = cvview.New(0, nil, nil)
	m.number = 1
	m.suspicion = &cvsuspicion.Suspicion{Self: m.incarnation(), LostTimeout: m.SuspectAfter, RefusedTimeout: refusedAfter}
	m.evicting = make(map[string]bool)
	m.checked = time.Now()
}

// incarnation is this process's name in the roster; each eviction makes a new one.
func (m *Membership) incarnation() string { return fmt.Sprintf("%s#%d", m.Process, m.number) }

// step reads once, applies what came, and joins when the head is reached and this process is no member.
func (m *Membership) step(ctx context.Context) error {
	wait := pollTime
	if !m.joined() {
		wait = 0
	}
	batch, err := m.Log.Read(ctx, Stream, m.through(), wait)
	if err != nil {
		return err
	}
	if err := m.apply(ctx, batch); err != nil {
		return err
	}
	if m.through() < batch.StreamNext() || m.joined() {
		return nil
	}
	return m.join(ctx)
}

func (m *Membership) joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving || m.roster.Member(m.incarnation()) != nil
}

func (m *Membership) through() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.NextOffset()
}

func (m *Membership) apply(ctx context.Context, batch comfreyvale.Batch) error {
	if batch.StreamFirst() > m.through() {
		return m.recover(ctx, batch)
	}
	for _, r := range batch.Records() {
		changed, err := m.applyOne(r)
		if err != nil {
			return err
		}
		if changed {
			m.announce()
		}
	}
	return nil
}

func (m *Membership) applyOne(record comfreyvale.Record) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if record.Offset() < m.roster.NextOffset() {
		return false, nil
	}
	if cvroster.IsCheckpoint(record) {
		m.checked = time.Now()
	}
	return m.roster.Apply(record)
}

// recover continues after records that the log no longer keeps.
func (m *Membership) recover(ctx context.Context, batch comfreyvale.Batch) error {
	tail := &cvtail.Tail{Log: m.Log, Stream: Stream}
	kept, err := tail.ReadToEnd(ctx, batch)
	if err != nil {
		return err
	}
	m.mu.Lock()
	taken := m.roster.Recover(kept)
	m.mu.Unlock()
	if !taken {
		return fault{cvfault.New("recover", comfreyvale.KindNotFound, errors.New("the log holds neither the next record nor a checkpoint after it"))}
	}
	m.announce()
	return nil
}

// announce tells of the new view. An evicted process takes the next incarnation.
func (m *Membership) announce() {
	m.mu.Lock()
	if m.roster.Departed(m.incarnation()) && !m.leaving {
		m.Logger.WithField("incarnation", m.incarnation()).Warn("evicted from the roster")
		m.Metrics.StateChanged("evicted")
		m.number++
		m.suspicion.Self = m.incarnation()
	}
	m.view = m.roster.View(time.Now())
	view := m.view
	incarnation := ""
	if m.roster.Member(m.incarnation()) != nil {
		incarnation = m.incarnation()
	}
	m.mu.Unlock()
	m.Metrics.SetMembers(len(view.Members()))
	m.Metrics.StateChanged("roster")
	m.Logger.WithFields(log.Fields{"epoch": view.Epoch(), "members": len(view.Members())}).Info("roster changed")
	m.OnViewChange(view, incarnation)
}

func (m *Membership) join(ctx context.Context) error {
	m.mu.Lock()
	self := &cvwire.Member{Incarnation: m.incarnation(), Process: m.Process, Vm: m.VM, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress}
	m.mu.Unlock()
	return m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Join{Join: self}})
}

// append adds a record; one that is there twice counts once.
func (m *Membership) append(ctx context.Context, record *cvwire.RosterRecord) error {
	record.AtUnixMs = time.Now().UnixMilli()
	body, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	_, err = m.Log.Append(ctx, Stream, body)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.Metrics.LogAppended(Stream, result)
	return err
}

// EvictSelf takes this process's own incarnation out, whose journal was closed by another process; it joins anew.
func (m *Membership) EvictSelf(ctx context.Context, incarnation string) {
	for ctx.Err() == nil && m.View().Member(incarnation) != nil {
		if m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Evict{Evict: incarnation}}) == nil {
			m.awaitGone(ctx, incarnation)
		}
		cvpause.For(ctx, retryTime)
	}
}

// View is the roster as this process knows it.
func (m *Membership) View() *cvview.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.view
}

// Incarnation is this process's name in the roster.
func (m *Membership) Incarnation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.incarnation()
}

// RecordLink takes the news that the link to a process came or went.
func (m *Membership) RecordLink(process string, up, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	member := m.view.MemberByProcess(process)
	if member == nil {
		return
	}
	if up {
		m.suspicion.MarkReachable(member.GetIncarnation())
		return
	}
	m.suspicion.MarkUnreachable(time.Now(), member.GetIncarnation(), refused)
}

// Lost are the members that this process has lost for long enough.
func (m *Membership) Lost() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.suspicion.Lost(time.Now())
}

// RecordReport takes a peer's word on whom it lost.
func (m *Membership) RecordReport(incarnation string, lost []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	m.suspicion.RecordReport(time.Now(), incarnation, lost)
}

// watch takes out members that most have lost.
func (m *Membership) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchTime)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, incarnation := range m.due(now) {
				go m.evict(ctx, incarnation)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// due are the members to take out whose eviction is not under way.
func (m *Membership) due(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || m.view.Member(m.incarnation()) == nil {
		return nil
	}
	unlisted := func(incarnation string) bool { return m.Unlisted(m.view.Member(incarnation)) }
	var found []string
	for _, incarnation := range m.suspicion.Evictions(now, m.view.Incarnations(), unlisted) {
		if !m.evicting[incarnation] {
			m.evicting[incarnation] = true
			found = append(found, incarnation)
		}
	}
	return found
}

// evict closes a lost member's journal and takes it out of the roster, in this order.
func (m *Membership) evict(ctx context.Context, incarnation string) {
	defer func() {
		m.mu.Lock()
		delete(m.evicting, incarnation)
		m.mu.Unlock()
	}()
	journal := &cvjournal.Journal{Log: m.Log, Incarnation: incarnation, Metrics: m.Metrics}
	if _, err := journal.Seal(ctx, m.Process); err != nil {
		cvpause.For(ctx, retryTime)
		return
	}
	if err := m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Evict{Evict: incarnation}}); err != nil {
		cvpause.For(ctx, retryTime)
		return
	}
	m.Metrics.StateChanged("evict")
	m.Logger.WithField("incarnation", incarnation).Warn("balancer evicted from the roster")
	m.awaitGone(ctx, incarnation)
}

// awaitGone waits until the own view shows that a member is out, so that it is not taken out again.
func (m *Membership) awaitGone(ctx context.Context, incarnation string) {
	for range 20 {
		if m.View().Member(incarnation) == nil {
			return
		}
		cvpause.For(ctx, watchTime)
	}
}

// Leave leaves the roster in order; the journal must be closed before. Without the log it gives up after a time.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.init()
	m.leaving = true
	incarnation := m.incarnation()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	for {
		err := m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Leave{Leave: incarnation}})
		if err == nil || ctx.Err() != nil {
			return err
		}
		cvpause.For(ctx, retryTime)
	}
}

// CheckpointDue says whether this member should write a checkpoint: the first member when none came for the interval,
// each further one later, so that one member that cannot write does not keep the others from it.
func (m *Membership) CheckpointDue(now time.Time, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	rank := slices.Index(m.view.Incarnations(), m.incarnation())
	if rank < 0 || m.leaving {
		return false
	}
	return now.Sub(m.checked) >= interval+time.Duration(rank)*interval/checkpointSteps
}

// WriteCheckpoint appends the whole roster, so that newcomers need no older records.
func (m *Membership) WriteCheckpoint(ctx context.Context) error {
	m.mu.Lock()
	checkpoint := m.roster.Checkpoint(time.Now())
	m.mu.Unlock()
	return m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Checkpoint{Checkpoint: checkpoint}})
}
