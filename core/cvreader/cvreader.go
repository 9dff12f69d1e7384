// Package cvreader is the rule by which every balancer turns the configuration stream into the same configuration.
package cvreader

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvconfiguration"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvrecovery"
	"comfreyvale/core/cvservice"
	"comfreyvale/core/cvverdict"
	"comfreyvale/core/cvwire"
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Reader applies the records of the configuration stream in offset order.
// Its state depends on the records before Through alone, so two readers with the same Through agree.
type Reader struct {
	through    int64
	generation int64
	files      map[string]*cvwire.AcceptedFile
	services   map[string]*cvservice.Service
	current    *cvconfiguration.Configuration
}

// New returns a reader of a stream's first record.
func New() *Reader {
	return &Reader{
		through:  1,
		files:    make(map[string]*cvwire.AcceptedFile),
		services: make(map[string]*cvservice.Service),
		current:  cvconfiguration.New(0, nil),
	}
}

// NextOffset is the offset of the next record to apply.
func (r *Reader) NextOffset() int64 { return r.through }

// Generation is the offset of the last accepted publication.
func (r *Reader) Generation() int64 { return r.generation }

// Configuration is what is in force.
func (r *Reader) Configuration() *cvconfiguration.Configuration { return r.current }

// Base is the offset of the last accepted publication of a service, or 0 for none.
func (r *Reader) Base(service string) int64 { return r.files[service].GetOffset() }

// File returns the accepted file of a service, or nil when it has none.
func (r *Reader) File(service string) *cvwire.AcceptedFile { return r.files[service] }

// Files returns all accepted files in the order of their services, removed services included.
func (r *Reader) Files() []*cvwire.AcceptedFile {
	files := make([]*cvwire.AcceptedFile, 0, len(r.files))
	for _, s := range slices.Sorted(maps.Keys(r.files)) {
		files = append(files, r.files[s])
	}
	return files
}

// Apply takes the next record. A record that is not the next is an error of KindInvalid and changes nothing.
func (r *Reader) Apply(record comfreyvale.Record) (cvverdict.Verdict, error) {
	if record.Offset() != r.through {
		return cvverdict.Verdict{}, fail("apply", comfreyvale.KindInvalid, errors.Errorf("record %d came, %d is next", record.Offset(), r.through))
	}
	r.through++
	var message cvwire.ConfigurationRecord
	if err := proto.Unmarshal(record.Body(), &message); err != nil {
		return cvverdict.New("", cvverdict.Invalid, "the record cannot be read"), nil
	}
	p := message.GetPublication()
	if p == nil {
		return cvverdict.New("", cvverdict.Ignored, "the record is no publication"), nil
	}
	return r.publish(record.Offset(), p), nil
}

// publish accepts a publication if it was made from what is in force for every service that it touches.
func (r *Reader) publish(offset int64, p *cvwire.Publication) cvverdict.Verdict {
	if reason := r.conflict(p); reason != "" {
		return cvverdict.New(p.GetId(), cvverdict.Conflict, reason)
	}
	services, err := r.with(p)
	if err != nil {
		return cvverdict.New(p.GetId(), cvverdict.Invalid, err.Error())
	}
	next := cvconfiguration.New(offset, slices.Collect(maps.Values(services)))
	if a, b, found := next.Overlap(); found {
		return cvverdict.New(p.GetId(), cvverdict.Invalid, fmt.Sprintf("services %s and %s take the same calls", a.Name(), b.Name()))
	}
	for _, f := range p.GetFiles() {
		r.files[f.GetService()] = &cvwire.AcceptedFile{File: f, Offset: offset, Publication: p.GetId(), Author: p.GetAuthor(), Revision: p.GetRevision()}
	}
	r.services = services
	r.generation = offset
	r.current = next
	return cvverdict.New(p.GetId(), cvverdict.Accepted, "")
}

func (r *Reader) conflict(p *cvwire.Publication) string {
	seen := make(map[string]bool)
	for _, f := range p.GetFiles() {
		if seen[f.GetService()] {
			return fmt.Sprintf("service %s stands twice in the publication", f.GetService())
		}
		seen[f.GetService()] = true
		held := r.files[f.GetService()]
		if held.GetOffset() != f.GetBase() {
			return fmt.Sprintf("service %s was made from publication %d, but %d by %s (revision %s) is in force",
				f.GetService(), f.GetBase(), held.GetOffset(), held.GetAuthor(), held.GetRevision())
		}
	}
	return ""
}

// with returns the services as they would be after a publication.
func (r *Reader) with(p *cvwire.Publication) (map[string]*cvservice.Service, error) {
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

// Checkpoint returns the whole state, from which Restore makes the same reader.
func (r *Reader) Checkpoint() *cvwire.Checkpoint {
	return &cvwire.Checkpoint{Through: r.through, Generation: r.generation, Files: r.Files()}
}

// Restore takes over a checkpoint that reaches further than this reader; an older one changes nothing.
// It returns whether the checkpoint was taken.
func (r *Reader) Restore(c *cvwire.Checkpoint) (bool, error) {
	if c.GetThrough() <= r.through || c.GetGeneration() < r.generation {
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
	r.through = c.GetThrough()
	r.generation = c.GetGeneration()
	r.current = cvconfiguration.New(r.generation, slices.Collect(maps.Values(services)))
	return true, nil
}

// Recover continues after records that the stream no longer keeps, from a checkpoint among those kept.
// It returns whether there was one that can be used.
func (r *Reader) Recover(batch comfreyvale.Batch) (bool, error) {
	recovery := cvrecovery.Recovery[*cvwire.Checkpoint]{Decode: decodeCheckpoint}
	best, found := recovery.Choose(batch)
	if !found {
		return false, nil
	}
	return r.Restore(best)
}

func decodeCheckpoint(body []byte) (*cvwire.Checkpoint, int64) {
	var message cvwire.ConfigurationRecord
	if proto.Unmarshal(body, &message) != nil {
		return nil, 0
	}
	return message.GetCheckpoint(), message.GetCheckpoint().GetThrough()
}
