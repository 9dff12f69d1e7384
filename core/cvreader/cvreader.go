// Package cvreader implements the rules by which all balancers derive the same configuration from the log.
package cvreader

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvcheckpoint"
	"comfreyvale/core/cvconfiguration"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvservice"
	"comfreyvale/core/cvverdict"
	"comfreyvale/core/cvwire"
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Reader applies the records of the configuration stream in offset order. Its state depends only on the records before
// NextOffset, so all balancers derive the same configuration. It is not safe for concurrent use.
type Reader struct {
	nextOffset int64
	generation int64
	files      map[string]*cvwire.AcceptedFile
	services   map[string]*cvservice.Service
	current    *cvconfiguration.Configuration
}

// New returns a reader without configuration, whose next record is the first of the stream.
func New() *Reader {
	return &Reader{
		nextOffset: 1,
		files:      make(map[string]*cvwire.AcceptedFile),
		services:   make(map[string]*cvservice.Service),
		current:    cvconfiguration.New(0, nil),
	}
}

// NextOffset returns the offset of the next record to apply.
func (r *Reader) NextOffset() int64 { return r.nextOffset }

// Generation returns the offset of the last accepted publication, or 0 for none.
func (r *Reader) Generation() int64 { return r.generation }

// Configuration returns the configuration in force.
func (r *Reader) Configuration() *cvconfiguration.Configuration { return r.current }

// Base returns the offset of the last accepted publication of a service, or 0. The next publication must name it as
// base.
func (r *Reader) Base(service string) int64 { return r.files[service].GetOffset() }

// File returns the last accepted file of a service, or nil. For a removed service, it is the removal.
func (r *Reader) File(service string) *cvwire.AcceptedFile { return r.files[service] }

// Files returns all accepted files, including removals, sorted by service name.
func (r *Reader) Files() []*cvwire.AcceptedFile {
	files := make([]*cvwire.AcceptedFile, 0, len(r.files))
	for _, s := range slices.Sorted(maps.Keys(r.files)) {
		files = append(files, r.files[s])
	}
	return files
}

// Apply applies the next record and returns the verdict on it. A record with another offset than NextOffset is an error
// of KindInvalid and changes nothing.
func (r *Reader) Apply(record comfreyvale.Record) (cvverdict.Verdict, error) {
	if record.Offset() != r.nextOffset {
		return cvverdict.Verdict{}, fail("apply", comfreyvale.KindInvalid, errors.Errorf("cannot apply record at offset %d, expected offset %d", record.Offset(), r.nextOffset))
	}
	r.nextOffset++
	var message cvwire.ConfigurationRecord
	if err := proto.Unmarshal(record.Body(), &message); err != nil {
		return cvverdict.New("", cvverdict.Invalid, "the record cannot be decoded"), nil
	}
	p := message.GetPublication()
	if p == nil {
		return cvverdict.New("", cvverdict.Ignored, "the record is not a publication"), nil
	}
	return r.publish(record.Offset(), p), nil
}

// publish puts a publication in force, unless a file conflicts or is invalid, or two services overlap.
func (r *Reader) publish(offset int64, p *cvwire.Publication) cvverdict.Verdict {
	if reason := r.conflict(p); reason != "" {
		return cvverdict.New(p.GetId(), cvverdict.Conflict, reason)
	}
	services, err := r.servicesAfter(p)
	if err != nil {
		return cvverdict.New(p.GetId(), cvverdict.Invalid, err.Error())
	}
	next := cvconfiguration.New(offset, slices.Collect(maps.Values(services)))
	if a, b, found := next.Overlap(); found {
		return cvverdict.New(p.GetId(), cvverdict.Invalid, fmt.Sprintf("services %s and %s match the same host and path prefix", a.Name(), b.Name()))
	}
	for _, f := range p.GetFiles() {
		r.files[f.GetService()] = &cvwire.AcceptedFile{File: f, Offset: offset, Publication: p.GetId(), Author: p.GetAuthor(), Revision: p.GetRevision()}
	}
	r.services = services
	r.generation = offset
	r.current = next
	return cvverdict.New(p.GetId(), cvverdict.Accepted, "")
}

// conflict returns why a publication conflicts with the files in force, or "". Each service must appear once, and its
// base must be the offset of its last accepted publication.
func (r *Reader) conflict(p *cvwire.Publication) string {
	seen := make(map[string]bool)
	for _, f := range p.GetFiles() {
		if seen[f.GetService()] {
			return fmt.Sprintf("service %s appears twice in the publication", f.GetService())
		}
		seen[f.GetService()] = true
		accepted := r.files[f.GetService()]
		if accepted.GetOffset() != f.GetBase() {
			return fmt.Sprintf("service %s is based on publication %d, but publication %d by %s (revision %s) is in force",
				f.GetService(), f.GetBase(), accepted.GetOffset(), accepted.GetAuthor(), accepted.GetRevision())
		}
	}
	return ""
}

func (r *Reader) servicesAfter(p *cvwire.Publication) (map[string]*cvservice.Service, error) {
	services := maps.Clone(r.services)
	for _, f := range p.GetFiles() {
		delete(services, f.GetService())
		if f.GetRemoved() {
			continue
		}
		s, err := parse(f, p.GetRevision(), p.GetAuthor())
		if err != nil {
			return nil, err
		}
		services[f.GetService()] = s
	}
	return services, nil
}

func parse(f *cvwire.ServiceFile, revision, author string) (*cvservice.Service, error) {
	s, err := cvservice.Parse(f.GetPath(), f.GetContent())
	if err != nil {
		return nil, err
	}
	if s.Name() != f.GetService() {
		return nil, fail("parse", comfreyvale.KindInvalid, errors.Errorf("%s names service %s, not %s", f.GetPath(), s.Name(), f.GetService()))
	}
	return s.WithRevision(revision, author), nil
}

// Checkpoint returns the complete state, for Restore.
func (r *Reader) Checkpoint() *cvwire.Checkpoint {
	return &cvwire.Checkpoint{Through: r.nextOffset, Generation: r.generation, Files: r.Files()}
}

// Restore replaces the state by that of a checkpoint. It returns false and changes nothing if the checkpoint covers no
// more records than this reader has applied, or has an older generation. A checkpoint with an invalid file is an error
// of KindInvalid and changes nothing.
func (r *Reader) Restore(c *cvwire.Checkpoint) (bool, error) {
	if c.GetThrough() <= r.nextOffset || c.GetGeneration() < r.generation {
		return false, nil
	}
	files := make(map[string]*cvwire.AcceptedFile)
	services := make(map[string]*cvservice.Service)
	for _, a := range c.GetFiles() {
		name := a.GetFile().GetService()
		files[name] = a
		if a.GetFile().GetRemoved() {
			continue
		}
		s, err := parse(a.GetFile(), a.GetRevision(), a.GetAuthor())
		if err != nil {
			return false, fail("restore", comfreyvale.KindInvalid, err)
		}
		services[name] = s
	}
	r.files = files
	r.services = services
	r.nextOffset = c.GetThrough()
	r.generation = c.GetGeneration()
	r.current = cvconfiguration.New(r.generation, slices.Collect(maps.Values(services)))
	return true, nil
}

// Recover restores the newest usable checkpoint in a batch, for a reader whose next record the stream no longer keeps.
// It returns false if there is none, and otherwise the results of Restore.
func (r *Reader) Recover(batch comfreyvale.Batch) (bool, error) {
	selector := cvcheckpoint.Selector[*cvwire.Checkpoint]{Decode: decodeCheckpoint}
	best, found := selector.Choose(batch)
	if !found {
		return false, nil
	}
	return r.Restore(best)
}

// decodeCheckpoint returns a record's checkpoint and the first offset that it does not cover, or 0 without a
// checkpoint.
func decodeCheckpoint(body []byte) (*cvwire.Checkpoint, int64) {
	var message cvwire.ConfigurationRecord
	if proto.Unmarshal(body, &message) != nil {
		return nil, 0
	}
	return message.GetCheckpoint(), message.GetCheckpoint().GetThrough()
}
