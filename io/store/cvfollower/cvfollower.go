// Package cvfollower implements the reader that keeps a balancer's configuration up to date with the platform's log.
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

// Stream is the name of the log stream that holds the publications of the configuration.
const Stream = "configuration"

const (
	// readWait is how long a read waits for a record.
	readWait   = 10 * time.Second
	retryDelay = 200 * time.Millisecond
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Follower applies the records of the configuration stream. It is safe for concurrent use.
type Follower struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// OnChange is called with each configuration that comes into force, in order. It must not call the follower.
	OnChange func(*cvconfiguration.Configuration)
	// Metrics counts appends and state changes, and holds the generation in force.
	Metrics *cvmetrics.Metrics
	// Logger logs changes of state.
	Logger log.Interface

	mu               sync.Mutex
	reader           *cvreader.Reader
	confirmed        bool
	activeGeneration int64
	failingSince     time.Time
	loggedState      string
}

// Run follows the stream until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.trackFailure(time.Now(), err)
		if err != nil {
			f.logState("unreachable", err.Error())
			cvpause.For(ctx, retryDelay)
		}
	}
	return nil
}

// trackFailure records since when reads have failed.
func (f *Follower) trackFailure(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.failingSince = time.Time{}
		return
	}
	if f.failingSince.IsZero() {
		f.failingSince = now
	}
}

// FailingFor returns how long reads of the log have been failing, or 0 if the last one succeeded.
func (f *Follower) FailingFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return 0
	}
	return now.Sub(f.failingSince)
}

func (f *Follower) step(ctx context.Context) error {
	wait := readWait
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

// confirm marks the configuration as confirmed once the reader has reached the end of the stream.
func (f *Follower) confirm(batch comfreyvale.Batch) {
	if f.reader.NextOffset() < batch.StreamNext() {
		return
	}
	if !f.confirmed {
		f.confirmed = true
		f.logState("confirmed", "")
		f.activate()
	}
	f.logState("reading", "")
}

func (f *Follower) apply(record comfreyvale.Record) {
	if record.Offset() < f.reader.NextOffset() {
		return
	}
	verdict, err := f.reader.Apply(record)
	if err != nil {
		f.Logger.WithError(err).Error("cannot apply a configuration record")
		return
	}
	f.recordVerdict(record.Offset(), verdict)
}

func (f *Follower) recordVerdict(offset int64, verdict cvverdict.Verdict) {
	if verdict.Accepted() {
		f.activate()
		return
	}
	if verdict.Result() == cvverdict.Ignored {
		return
	}
	f.Metrics.StateChanged("publicationRejected")
	f.Logger.WithFields(log.Fields{"offset": offset, "result": verdict.Result(), "reason": verdict.Reason()}).Warn("publication rejected")
}

// activate passes a new configuration to OnChange. None is in force until the reader has first reached the end of the
// stream, because its configuration may be older than that of other balancers.
func (f *Follower) activate() {
	if !f.confirmed || f.reader.Generation() == f.activeGeneration {
		return
	}
	f.activeGeneration = f.reader.Generation()
	f.Metrics.SetGeneration(f.reader.Generation())
	f.Metrics.StateChanged("configuration")
	f.Logger.WithField("generation", f.reader.Generation()).Info("configuration in force")
	f.OnChange(f.reader.Configuration())
}

// recover restores the reader from a checkpoint if the log no longer keeps the next record. batch is the result of the
// last read.
func (f *Follower) recover(ctx context.Context, batch comfreyvale.Batch) error {
	tail := &cvtail.Tail{Log: f.Log, Stream: Stream}
	remaining, err := tail.ReadToEnd(ctx, batch)
	if err != nil {
		return err
	}
	restored, err := f.reader.Recover(remaining)
	if err != nil {
		return err
	}
	if !restored {
		return fail("recover", comfreyvale.KindNotFound, errors.New("the configuration stream holds neither the next record nor a usable checkpoint"))
	}
	f.activate()
	return nil
}

// logState logs the state if it has changed.
func (f *Follower) logState(state, reason string) {
	if f.loggedState == state {
		return
	}
	f.loggedState = state
	f.Metrics.StateChanged("configurationLog")
	f.Logger.WithFields(log.Fields{"state": state, "reason": reason}).Info("configuration log state changed")
}

func (f *Follower) init() {
	if f.reader == nil {
		f.reader = cvreader.New()
	}
}

// RestoreCheckpoint replaces the state by a peer's checkpoint if that covers more records and its generation is not
// older.
func (f *Follower) RestoreCheckpoint(checkpoint *cvwire.Checkpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	before := f.reader.Generation()
	restored, err := f.reader.Restore(checkpoint)
	if err != nil {
		f.Logger.WithError(err).Error("cannot restore the configuration from a peer's checkpoint")
		return
	}
	if restored && f.reader.Generation() != before {
		f.activate()
	}
}

// Checkpoint returns the complete state, for peers and the log.
func (f *Follower) Checkpoint() *cvwire.Checkpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.reader.Checkpoint()
}

// WriteCheckpoint appends a checkpoint to the stream, so that new balancers need no older records. It does nothing if
// no publication has been accepted.
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

// NextOffset returns the offset of the next record to apply.
func (f *Follower) NextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.reader.NextOffset()
}

// Generation returns the offset of the last accepted publication, or 0 for none.
func (f *Follower) Generation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.reader.Generation()
}

// Confirmed reports whether the follower has reached the end of the stream since its start.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}
