// Package cvmembership implements a balancer's membership in the roster, the list of balancers in the platform's log.
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

// Stream is the name of the log stream that holds the changes of the roster.
const Stream = "roster"

const (
	// readWait is how long a read waits for a record.
	readWait   = 10 * time.Second
	retryDelay = 200 * time.Millisecond
	// checkInterval is the time between two checks for lost members.
	checkInterval = 100 * time.Millisecond
	// refusedTimeout is how long a member whose address refuses connections must be lost before it may be evicted.
	refusedTimeout = 300 * time.Millisecond
	// checkpointTurnsPerInterval is how many further members get a turn to write an overdue checkpoint in each further
	// interval.
	checkpointTurnsPerInterval = 4
	leaveTimeout               = 5 * time.Second
)

type fault struct{ cvfault.Fault }

// Membership joins the roster, follows its changes, evicts lost members, and leaves the roster at shutdown. It is safe
// for concurrent use.
type Membership struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// Process, VM, DataCentre and PeerAddress describe this process.
	Process, VM, DataCentre, PeerAddress string
	// SuspectAfter is how long a member must be lost, that is, unreachable, before it may be evicted.
	SuspectAfter time.Duration
	// OnViewChange is called with each new view, in order, and with this process's incarnation, which is empty while the
	// process is not a member.
	OnViewChange func(view *cvview.View, incarnation string)
	// Unlisted reports whether a member's VM is missing from the platform's VM list.
	Unlisted func(member *cvwire.Member) bool
	// Metrics counts appends and changes of state.
	Metrics *cvmetrics.Metrics
	// Logger logs changes of state.
	Logger log.Interface

	mu                sync.Mutex
	roster            *cvroster.Roster
	view              *cvview.View
	suspicion         *cvsuspicion.Suspicion
	incarnationNumber int
	leaving           bool
	evicting          map[string]bool
	lastCheckpoint    time.Time
}

// Run joins the roster, follows it and evicts lost members until the context ends. It returns nil.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.init()
	m.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for ctx.Err() == nil {
			if err := m.step(ctx); err != nil {
				cvpause.For(ctx, retryDelay)
			}
		}
		return nil
	})
	group.Go(func() error { return m.runEvictions(ctx) })
	return group.Wait()
}

func (m *Membership) init() {
	if m.roster != nil {
		return
	}
	m.roster = cvroster.New()
	m.view = cvview.New(0, nil, nil)
	m.incarnationNumber = 1
	m.suspicion = &cvsuspicion.Suspicion{Self: m.incarnation(), LostTimeout: m.SuspectAfter, RefusedTimeout: refusedTimeout}
	m.evicting = make(map[string]bool)
	m.lastCheckpoint = time.Now()
}

// incarnation returns this process's name in the roster, a new one after each eviction. The caller holds the lock.
func (m *Membership) incarnation() string {
	return fmt.Sprintf("%s#%d", m.Process, m.incarnationNumber)
}

// step performs one read and applies its records. At the end of the stream it joins the roster if this process is not a
// member.
func (m *Membership) step(ctx context.Context) error {
	wait := readWait
	if !m.joinedOrLeaving() {
		wait = 0
	}
	batch, err := m.Log.Read(ctx, Stream, m.nextOffset(), wait)
	if err != nil {
		return err
	}
	if err := m.apply(ctx, batch); err != nil {
		return err
	}
	if m.nextOffset() < batch.StreamNext() || m.joinedOrLeaving() {
		return nil
	}
	return m.join(ctx)
}

func (m *Membership) joinedOrLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving || m.roster.Member(m.incarnation()) != nil
}

func (m *Membership) nextOffset() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.NextOffset()
}

func (m *Membership) apply(ctx context.Context, batch comfreyvale.Batch) error {
	if batch.StreamFirst() > m.nextOffset() {
		return m.recover(ctx, batch)
	}
	for _, r := range batch.Records() {
		changed, err := m.applyRecord(r)
		if err != nil {
			return err
		}
		if changed {
			m.updateView()
		}
	}
	return nil
}

func (m *Membership) applyRecord(record comfreyvale.Record) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if record.Offset() < m.roster.NextOffset() {
		return false, nil
	}
	if cvroster.IsCheckpoint(record) {
		m.lastCheckpoint = time.Now()
	}
	return m.roster.Apply(record)
}

// recover restores the roster from a checkpoint if the log no longer keeps the next record. batch is the result of the
// last read.
func (m *Membership) recover(ctx context.Context, batch comfreyvale.Batch) error {
	tail := &cvtail.Tail{Log: m.Log, Stream: Stream}
	remaining, err := tail.ReadToEnd(ctx, batch)
	if err != nil {
		return err
	}
	m.mu.Lock()
	restored := m.roster.Recover(remaining)
	m.mu.Unlock()
	if !restored {
		return fault{cvfault.New("recover", comfreyvale.KindNotFound, errors.New("the roster stream holds neither the next record nor a usable checkpoint"))}
	}
	m.updateView()
	return nil
}

// updateView passes the roster's new view to OnViewChange. A process that was evicted gets its next incarnation.
func (m *Membership) updateView() {
	m.mu.Lock()
	if m.roster.Departed(m.incarnation()) && !m.leaving {
		m.Logger.WithField("incarnation", m.incarnation()).Warn("this balancer was evicted from the roster")
		m.Metrics.StateChanged("evicted")
		m.incarnationNumber++
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

// append appends a record to the stream. A record that is appended twice takes effect once.
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

// EvictSelf removes an incarnation of this process from the roster after another process sealed its journal. It retries
// until the incarnation is removed or the context ends. Run then joins again with a new incarnation.
func (m *Membership) EvictSelf(ctx context.Context, incarnation string) {
	for ctx.Err() == nil && m.View().Member(incarnation) != nil {
		if m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Evict{Evict: incarnation}}) == nil {
			m.awaitRemoval(ctx, incarnation)
		}
		cvpause.For(ctx, retryDelay)
	}
}

// View returns the roster as this process knows it.
func (m *Membership) View() *cvview.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.view
}

// Incarnation returns this process's name in the roster.
func (m *Membership) Incarnation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.incarnation()
}

// RecordLink records whether the link to a process is up and, if not, whether the process's address refuses
// connections.
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

// Lost returns the sorted incarnations of the members that this process has lost for long enough to evict them.
func (m *Membership) Lost() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.suspicion.Lost(time.Now())
}

// RecordReport records a peer's list of lost members.
func (m *Membership) RecordReport(incarnation string, lost []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	m.suspicion.RecordReport(time.Now(), incarnation, lost)
}

// runEvictions evicts members that most members have lost, or whose VM is no longer listed, until the context ends.
func (m *Membership) runEvictions(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, incarnation := range m.dueEvictions(now) {
				go m.evict(ctx, incarnation)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// dueEvictions returns the members to evict now, and marks them as being evicted.
func (m *Membership) dueEvictions(now time.Time) []string {
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

// evict seals a lost member's journal before it removes the member from the roster.
func (m *Membership) evict(ctx context.Context, incarnation string) {
	defer func() {
		m.mu.Lock()
		delete(m.evicting, incarnation)
		m.mu.Unlock()
	}()
	journal := &cvjournal.Journal{Log: m.Log, Incarnation: incarnation, Metrics: m.Metrics}
	if _, err := journal.Seal(ctx, m.Process); err != nil {
		cvpause.For(ctx, retryDelay)
		return
	}
	if err := m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Evict{Evict: incarnation}}); err != nil {
		cvpause.For(ctx, retryDelay)
		return
	}
	m.Metrics.StateChanged("evict")
	m.Logger.WithField("incarnation", incarnation).Warn("evicted a lost balancer from the roster")
	m.awaitRemoval(ctx, incarnation)
}

// awaitRemoval waits until this process's view no longer holds a member, so that the member is not evicted a second
// time. It gives up after 20 checks.
func (m *Membership) awaitRemoval(ctx context.Context, incarnation string) {
	for range 20 {
		if m.View().Member(incarnation) == nil {
			return
		}
		cvpause.For(ctx, checkInterval)
	}
}

// Leave removes this process from the roster at shutdown. The process's journal must be sealed first. If appends to the
// log fail, it retries for leaveTimeout and returns the last error.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.init()
	m.leaving = true
	incarnation := m.incarnation()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		err := m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Leave{Leave: incarnation}})
		if err == nil || ctx.Err() != nil {
			return err
		}
		cvpause.For(ctx, retryDelay)
	}
}

// CheckpointDue reports whether this member should write a checkpoint now. The first member's turn comes one interval
// after the last checkpoint. The others' turns follow one by one, so that checkpoints are also written when some
// members cannot write.
func (m *Membership) CheckpointDue(now time.Time, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	rank := slices.Index(m.view.Incarnations(), m.incarnation())
	if rank < 0 || m.leaving {
		return false
	}
	return now.Sub(m.lastCheckpoint) >= interval+time.Duration(rank)*interval/checkpointTurnsPerInterval
}

// WriteCheckpoint appends a checkpoint of the roster to the stream, so that new members need no older records.
func (m *Membership) WriteCheckpoint(ctx context.Context) error {
	m.mu.Lock()
	checkpoint := m.roster.Checkpoint(time.Now())
	m.mu.Unlock()
	return m.append(ctx, &cvwire.RosterRecord{Change: &cvwire.RosterRecord_Checkpoint{Checkpoint: checkpoint}})
}
