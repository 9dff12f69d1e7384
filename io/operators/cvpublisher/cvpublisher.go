// Package cvpublisher implements the publication of service files through the configuration stream of the log.
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
	maxAppendAttempts   = 20
	appendRetryInterval = 500 * time.Millisecond
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Publisher publishes service files. It is not safe for concurrent use.
type Publisher struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// FetchCheckpoint returns the configuration in force, for a log that holds neither all needed records nor a
	// checkpoint. It may be nil.
	FetchCheckpoint func(ctx context.Context) (*cvwire.Checkpoint, error)
	// ID identifies the publication. Balancers accept an ID at most once.
	ID string
	// Author is the name of the person or program that publishes.
	Author string
	// Revision identifies the version of the files, for example a commit.
	Revision string
	// Out receives the changes and conflicts.
	Out io.Writer

	reader *cvreader.Reader
}

// Prepare returns a publication of the removed services and of the files that differ from the configuration in force.
// It sets Base in these files and writes the changes to Out. A publication without files would change nothing.
func (p *Publisher) Prepare(ctx context.Context, now time.Time, files []*cvwire.ServiceFile, removed []string) (*cvwire.Publication, error) {
	if err := p.catchUp(ctx); err != nil {
		return nil, err
	}
	publication := &cvwire.Publication{Id: p.ID, Author: p.Author, Revision: p.Revision, AtUnixMs: now.UnixMilli()}
	for _, f := range files {
		current := p.reader.File(f.GetService())
		same := current != nil && !current.GetFile().GetRemoved() && string(current.GetFile().GetContent()) == string(f.GetContent())
		if same {
			continue
		}
		f.Base = p.reader.Base(f.GetService())
		publication.Files = append(publication.Files, f)
	}
	for _, s := range removed {
		current := p.reader.File(s)
		if current == nil || current.GetFile().GetRemoved() {
			return nil, fail("prepare", comfreyvale.KindNotFound, errors.Errorf("service %s is not in force", s))
		}
		publication.Files = append(publication.Files, &cvwire.ServiceFile{Service: s, Path: current.GetFile().GetPath(), Base: current.GetOffset(), Removed: true})
	}
	p.writeChanges(publication)
	return publication, p.validate(publication)
}

// validate returns an error if balancers would not accept the publication.
func (p *Publisher) validate(publication *cvwire.Publication) error {
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

func (p *Publisher) catchUp(ctx context.Context) error {
	if p.reader == nil {
		p.reader = cvreader.New()
	}
	_, err := p.applyNewRecords(ctx)
	return err
}

// applyNewRecords applies the records up to the end of the stream and returns the first verdict on this publication, or
// a zero Verdict if there is none.
func (p *Publisher) applyNewRecords(ctx context.Context) (cvverdict.Verdict, error) {
	var own cvverdict.Verdict
	for {
		batch, err := p.Log.Read(ctx, cvfollower.Stream, p.reader.NextOffset(), 0)
		if err != nil {
			return own, err
		}
		if batch.StreamFirst() > p.reader.NextOffset() {
			if err := p.restoreCheckpoint(ctx, batch); err != nil {
				return own, err
			}
			continue
		}
		for _, r := range batch.Records() {
			verdict, err := p.reader.Apply(r)
			if err != nil {
				return own, err
			}
			if verdict.Publication() == p.ID && own.Publication() == "" {
				own = verdict
			}
		}
		if p.reader.NextOffset() >= batch.StreamNext() {
			return own, nil
		}
	}
}

// restoreCheckpoint restores the reader from a checkpoint in the log. If the log has none, it calls FetchCheckpoint.
func (p *Publisher) restoreCheckpoint(ctx context.Context, batch comfreyvale.Batch) error {
	tail := &cvtail.Tail{Log: p.Log, Stream: cvfollower.Stream}
	records, err := tail.ReadToEnd(ctx, batch)
	if err != nil {
		return err
	}
	restored, err := p.reader.Recover(records)
	if err != nil || restored {
		return err
	}
	if p.FetchCheckpoint == nil {
		return fail("read", comfreyvale.KindNotFound, errors.New("the log no longer holds all records of the configuration, and there is no balancer to ask for a checkpoint"))
	}
	checkpoint, err := p.FetchCheckpoint(ctx)
	if err != nil {
		return err
	}
	if checkpoint.GetThrough() < batch.StreamFirst() {
		return fail("read", comfreyvale.KindNotFound, errors.New("the checkpoint of the balancer does not reach the first record of the log"))
	}
	_, err = p.reader.Restore(checkpoint)
	return err
}

// Publish appends the publication to the log and returns its offset once it is accepted. After a lost reply it reads
// the log before it appends again; readers accept only the first copy. The error has KindConflict if the publication
// was not accepted, for example because another publication of the same service came first, and KindUncertain if the
// outcome is unknown.
func (p *Publisher) Publish(ctx context.Context, publication *cvwire.Publication) (int64, error) {
	body, err := encode(publication)
	if err != nil {
		return 0, err
	}
	for range maxAppendAttempts {
		_, appendErr := p.Log.Append(ctx, cvfollower.Stream, body)
		verdict, err := p.applyNewRecords(ctx)
		if verdict.Publication() == p.ID {
			return p.resolve(publication, verdict)
		}
		if appendErr == nil && err == nil {
			return 0, fail("publish", comfreyvale.KindUnavailable, errors.New("the log accepted the record, but reads do not return it"))
		}
		select {
		case <-time.After(appendRetryInterval):
		case <-ctx.Done():
			return 0, fail("publish", comfreyvale.KindUncertain, ctx.Err())
		}
	}
	return 0, fail("publish", comfreyvale.KindUncertain, errors.New("the log did not respond; publish again with the same -id to learn the outcome"))
}

// resolve returns the result of Publish for a verdict and writes conflicts to Out.
func (p *Publisher) resolve(publication *cvwire.Publication, verdict cvverdict.Verdict) (int64, error) {
	if verdict.Accepted() {
		return p.reader.Base(publication.GetFiles()[0].GetService()), nil
	}
	for _, f := range publication.GetFiles() {
		p.writeConflict(f)
	}
	return 0, fail("publish", comfreyvale.KindConflict, errors.New(verdict.Reason()))
}

func (p *Publisher) writeChanges(publication *cvwire.Publication) {
	for _, f := range publication.GetFiles() {
		current := p.reader.File(f.GetService())
		switch {
		case f.GetRemoved():
			fmt.Fprintf(p.Out, "service %s: removed; its callers will be refused\n", f.GetService())
		case current == nil || current.GetFile().GetRemoved():
			fmt.Fprintf(p.Out, "service %s: new, from %s\n", f.GetService(), f.GetPath())
		default:
			fmt.Fprintf(p.Out, "service %s: changed, from revision %s to %s\n", f.GetService(), current.GetRevision(), publication.GetRevision())
			p.writeDiff(current.GetFile(), f)
		}
	}
}

func (p *Publisher) writeDiff(before, after *cvwire.ServiceFile) {
	d := cvdiff.New(string(before.GetContent()), string(after.GetContent()))
	fmt.Fprintf(p.Out, "  %s\n", strings.Join(d.Lines(), "\n  "))
}

// writeConflict writes the difference between the file in force and f, unless the file in force is the base of f.
func (p *Publisher) writeConflict(f *cvwire.ServiceFile) {
	current := p.reader.File(f.GetService())
	if current == nil || current.GetOffset() == f.GetBase() {
		return
	}
	fmt.Fprintf(p.Out, "service %s: %s published revision %s first; from theirs to yours:\n", f.GetService(), current.GetAuthor(), current.GetRevision())
	p.writeDiff(current.GetFile(), f)
}
