// Package cvfollower is the reader that keeps a balancer's configuration at the head of the log.
package cvfollower

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvconfiguration"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvreader"
	"comfreyvale/core/cvverdict"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/store/cvtail"
)

// Stream is the stream that publications are appended to.
const Stream = "configuration"

const (
	// pollTime is how long one read waits for news.
	pollTime = 10 * time.Second
	// retryTime is the pause after a failed read.
	retryTime = 200 * time.Millisecond
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Follower applies the configuration stream as it grows.
type Follower struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// OnChange is told of each configuration that comes into force, in order.
	OnChange func(*cvconfiguration.Configuration)
	// Metrics counts.
	Metrics *cvmetrics.Metrics
	// Logger takes lines for changes of state.
	Logger log.Interface

	mu        sync.Mutex
	reader    *cvreader.Reader
	confirmed bool
	told      int64
	failing   time.Time
	logged    string
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.track(time.Now(), err)
		if err != nil {
			f.note("unreachable", err.Error())
			cvpause.For(ctx, retryTime)
		}
	}
	return nil
}

// track notes since when the log fails.
func (f *Follower) track(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.failing = time.Time{}
		return
	}
	if f.failing.IsZero() {
		f.failing = now
	}
}

// FailingFor is how long the log has failed to answer, or 0.
func (f *Follower) FailingFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing.IsZero() {
		return 0
	}
	return now.Sub(f.failing)
}

// step reads once and applies what came.
func (f *Follower) step(ctx context.Context) error {
	wait := pollTime
	if !f.Confirmed() {
		wait = 0
	}
	batch, err := f.Log.Read(ctx, Stream, f.NextOffset(), wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if batch.StreamFirst() > f.reader.NextOffset() {
		return f.recover(ctx, batch)
	}
	for _, r := range batch.Records() {
		f.apply(r)
	}
	f.confirm(batch)
	return nil
}

// confirm notes that the reader has reached the head of the log.
func (f *Follower) confirm(batch comfreyvale.Batch) {
	if f.reader.NextOffset() < batch.StreamNext() {
		return
	}
	if !f.confirmed {
		f.confirmed = true
		f.note("confirmed", "")
		f.inForce()
	}
	f.note("reading", "")
}

func (f *Follower) apply(record comfreyvale.Record) {
	if record.Offset() < f.reader.NextOffset() {
		return
	}
	verdict, err := f.reader.Apply(record)
	if err != nil {
		f.Logger.WithError(err).Error("configuration record out of order")
		return
	}
	f.report(record.Offset(), verdict)
}

func (f *Follower) report(offset int64, verdict cvverdict.Verdict) {
	if verdict.Accepted() {
		f.inForce()
		return
	}
	if verdict.Result() == cvverdict.Ignored {
		return
	}
	f.Metrics.StateChanged("publicationRejected")
	f.Logger.WithFields(log.Fields{"offset": offset, "result": verdict.Result(), "reason": verdict.Reason()}).Warn("publication rejected")
}

// inForce tells of the reader's configuration. Until the head of the log was reached once, nothing is in force: what
// the reader holds so far may be older than what other balancers have.
func (f *Follower) inForce() {
	if !f.confirmed || f.reader.Generation() == f.told {
		return
	}
	f.told = f.reader.Generation()
	f.Metrics.SetGeneration(f.reader.Generation())
	f.Metrics.StateChanged("configuration")
	f.Logger.WithField("generation", f.reader.Generation()).Info("configuration in force")
	f.OnChange(f.reader.Configuration())
}

// recover continues after records that the log no longer keeps, from a checkpoint that it still holds.
func (f *Follower) recover(ctx context.Context, batch comfreyvale.Batch) error {
	tail := &cvtail.Tail{Log: f.Log, Stream: Stream}
	kept, err := tail.ReadToEnd(ctx, batch)
	if err != nil {
		return err
	}
	taken, err := f.reader.Recover(kept)
	if err != nil {
		return err
	}
	if !taken {
		return fail("recover", comfreyvale.KindNotFound, errors.New("the log holds neither the next record nor a checkpoint after it"))
	}
	f.inForce()
	return nil
}

// note logs a change of the follower's own state.
func (f *Follower) note(state, reason string) {
	if f.logged == state {
		return
	}
	f.logged = state
	f.Metrics.StateChanged("configurationLog")
	f.Logger.WithFields(log.Fields{"state": state, "reason": reason}).Info("configuration log")
}

func (f *Follower) init() {
	if f.reader == nil {
		f.reader = cvreader.New()
	}
}

// RestoreCheckpoint takes over a peer's state where it reaches further than this one.
func (f *Follower) RestoreCheckpoint(checkpoint *cvwire.Checkpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	before := f.reader.Generation()
	taken, err := f.reader.Restore(checkpoint)
	if err != nil {
		f.Logger.WithError(err).Error("a peer's configuration cannot be read")
		return
	}
	if taken && f.reader.Generation() != before {
		f.inForce()
	}
}

// Checkpoint is the whole state, for peers and the log.
func (f *Follower) Checkpoint() *cvwire.Checkpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.reader.Checkpoint()
}

// WriteCheckpoint appends the whole configuration, so that newcomers need no older records.
func (f *Follower) WriteCheckpoint(ctx context.Context) error {
	checkpoint := f.Checkpoint()
	if checkpoint.GetGeneration() == 0 {
		return nil
	}
	record := &cvwire.ConfigurationRecord{Record: &cvwire.ConfigurationRecord_Checkpoint{Checkpoint: checkpoint}}
	body, err := proto.Marshal(record)
	if err != nil {
		return fail("checkpoint", comfreyvale.KindInvalid, err)
	}
	_, err = f.Log.Append(ctx, Stream, body)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	f.Metrics.LogAppended(Stream, result)
	return err
}

// NextOffset is the next offset to apply.
func (f *Follower) NextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.reader.NextOffset()
}

// Generation is the offset of the last accepted publication.
func (f *Follower) Generation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.reader.Generation()
}

// Confirmed says whether the head of the log was reached since the start.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}
