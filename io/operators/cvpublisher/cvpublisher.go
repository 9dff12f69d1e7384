// Package cvpublisher is the step that turns service files into one accepted publication.
package cvpublisher

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvdiff"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvreader"
	"comfreyvale/core/cvverdict"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/store/cvfollower"
	"comfreyvale/io/store/cvtail"
)

const (
	// appendTries is how often an append without an answer is sent again.
	appendTries = 20
	// appendPause is the time between two tries.
	appendPause = 500 * time.Millisecond
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Publisher publishes service files.
type Publisher struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// FetchCheckpoint returns the configuration in force where the log no longer holds its beginning; nil for none.
	FetchCheckpoint func(ctx context.Context) (*cvwire.Checkpoint, error)
	// ID names the publication; the same id is never in force twice.
	ID string
	// Author is who publishes.
	Author string
	// Revision names the state of the files, like a commit.
	Revision string
	// Out takes the difference and the result in words.
	Out io.Writer

	reader *cvreader.Reader
}

// Prepare reads what is in force and returns the publication of the files that differ from it.
// A publication without files says that nothing would change.
func (p *Publisher) Prepare(ctx context.Context, now time.Time, files []*cvwire.ServiceFile, removed []string) (*cvwire.Publication, error) {
	if err := p.catchUp(ctx); err != nil {
		return nil, err
	}
	publication := &cvwire.Publication{Id: p.ID, Author: p.Author, Revision: p.Revision, AtUnixMs: now.UnixMilli()}
	for _, f := range files {
		held := p.reader.File(f.GetService())
		same := held != nil && !held.GetFile().GetRemoved() && string(held.GetFile().GetContent()) == string(f.GetContent())
		if same {
			continue
		}
		f.Base = p.reader.Base(f.GetService())
		publication.Files = append(publication.Files, f)
	}
	for _, s := range removed {
		held := p.reader.File(s)
		if held == nil || held.GetFile().GetRemoved() {
			return nil, fail("prepare", comfreyvale.KindNotFound, errors.Errorf("service %s is not in force", s))
		}
		publication.Files = append(publication.Files, &cvwire.ServiceFile{Service: s, Path: held.GetFile().GetPath(), Base: held.GetOffset(), Removed: true})
	}
	p.describe(publication)
	return publication, p.check(publication)
}

// check applies the publication to a copy of what is in force.
func (p *Publisher) check(publication *cvwire.Publication) error {
	if len(publication.GetFiles()) == 0 {
		return nil
	}
	trial := cvreader.New()
	if _, err := trial.Restore(p.reader.Checkpoint()); err != nil {
		return err
	}
	body, err := encode(publication)
	if err != nil {
		return err
	}
	verdict, err := trial.Apply(comfreyvale.NewRecord(trial.NextOffset(), body))
	if err != nil {
		return err
	}
	if !verdict.Accepted() {
		return fail("check", comfreyvale.KindInvalid, errors.New(verdict.Reason()))
	}
	return nil
}

func encode(publication *cvwire.Publication) ([]byte, error) {
	record := &cvwire.ConfigurationRecord{Record: &cvwire.ConfigurationRecord_Publication{Publication: publication}}
	body, err := proto.Marshal(record)
	if err != nil {
		return nil, fail("encode", comfreyvale.KindInvalid, err)
	}
	return body, nil
}

// catchUp reads the stream to its head.
func (p *Publisher) catchUp(ctx context.Context) error {
	if p.reader == nil {
		p.reader = cvreader.New()
	}
	_, err := p.follow(ctx)
	return err
}

// follow applies all further records, and returns the verdict on this publication if it was among them.
func (p *Publisher) follow(ctx context.Context) (cvverdict.Verdict, error) {
	var found cvverdict.Verdict
	for {
		batch, err := p.Log.Read(ctx, cvfollower.Stream, p.reader.NextOffset(), 0)
		if err != nil {
			return found, err
		}
		if batch.StreamFirst() > p.reader.NextOffset() {
			if err := p.recover(ctx, batch); err != nil {
				return found, err
			}
			continue
		}
		for _, r := range batch.Records() {
			verdict, err := p.reader.Apply(r)
			if err != nil {
				return found, err
			}
			if verdict.Publication() == p.ID && found.Publication() == "" {
				found = verdict
			}
		}
		if p.reader.NextOffset() >= batch.StreamNext() {
			return found, nil
		}
	}
}

// recover takes a checkpoint from the log, or else from a balancer.
func (p *Publisher) recover(ctx context.Context, batch comfreyvale.Batch) error {
	tail := &cvtail.Tail{Log: p.Log, Stream: cvfollower.Stream}
	kept, err := tail.ReadToEnd(ctx, batch)
	if err != nil {
		return err
	}
	taken, err := p.reader.Recover(kept)
	if err != nil || taken {
		return err
	}
	if p.FetchCheckpoint == nil {
		return fail("read", comfreyvale.KindNotFound, errors.New("the log no longer holds the whole configuration, and no balancer was named to ask"))
	}
	checkpoint, err := p.FetchCheckpoint(ctx)
	if err != nil {
		return err
	}
	if checkpoint.GetThrough() < batch.StreamFirst() {
		return fail("read", comfreyvale.KindNotFound, errors.New("the balancer asked is behind the log"))
	}
	_, err = p.reader.Restore(checkpoint)
	return err
}

// Publish appends the publication and learns whether it is in force. A lost answer is resolved by reading the log;
// the same publication may then stand in the log twice, but only the first can count.
// It returns the offset in force. The error has KindConflict when another publication came first.
func (p *Publisher) Publish(ctx context.Context, publication *cvwire.Publication) (int64, error) {
	body, err := encode(publication)
	if err != nil {
		return 0, err
	}
	for range appendTries {
		_, appendErr := p.Log.Append(ctx, cvfollower.Stream, body)
		verdict, err := p.follow(ctx)
		if verdict.Publication() == p.ID {
			return p.settle(publication, verdict)
		}
		if appendErr == nil && err == nil {
			return 0, fail("publish", comfreyvale.KindUnavailable, errors.New("the log took the record, but does not show it"))
		}
		select {
		case <-time.After(appendPause):
		case <-ctx.Done():
			return 0, fail("publish", comfreyvale.KindUncertain, ctx.Err())
		}
	}
	return 0, fail("publish", comfreyvale.KindUncertain, errors.New("the log did not answer; publish again with the same -id to learn what became of it"))
}

func (p *Publisher) settle(publication *cvwire.Publication, verdict cvverdict.Verdict) (int64, error) {
	if verdict.Accepted() {
		return p.reader.Base(publication.GetFiles()[0].GetService()), nil
	}
	for _, f := range publication.GetFiles() {
		p.describeConflict(f)
	}
	return 0, fail("publish", comfreyvale.KindConflict, errors.New(verdict.Reason()))
}

// describe writes what the publication changes.
func (p *Publisher) describe(publication *cvwire.Publication) {
	for _, f := range publication.GetFiles() {
		held := p.reader.File(f.GetService())
		switch {
		case f.GetRemoved():
			fmt.Fprintf(p.Out, "service %s: removed; its callers will be refused\n", f.GetService())
		case held == nil || held.GetFile().GetRemoved():
			fmt.Fprintf(p.Out, "service %s: new, from %s\n", f.GetService(), f.GetPath())
		default:
			fmt.Fprintf(p.Out, "service %s: changed, from revision %s to %s\n", f.GetService(), held.GetRevision(), publication.GetRevision())
			p.writeDiff(held.GetFile(), f)
		}
	}
}

func (p *Publisher) writeDiff(before, after *cvwire.ServiceFile) {
	d := cvdiff.New(string(before.GetContent()), string(after.GetContent()))
	fmt.Fprintf(p.Out, "  %s\n", strings.Join(d.Lines(), "\n  "))
}

// describeConflict shows what is in force now beside the file that was not accepted.
func (p *Publisher) describeConflict(f *cvwire.ServiceFile) {
	held := p.reader.File(f.GetService())
	if held == nil || held.GetOffset() == f.GetBase() {
		return
	}
	fmt.Fprintf(p.Out, "service %s: %s published revision %s first; from theirs to yours:\n", f.GetService(), held.GetAuthor(), held.GetRevision())
	p.writeDiff(held.GetFile(), f)
}
