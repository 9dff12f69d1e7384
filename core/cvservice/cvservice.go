// Package cvservice is a service as its checked service file describes it.
package cvservice

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvclass"
	"comfreyvale/core/cvfield"
	"comfreyvale/core/cvvalues"
)

// Service is one service of the accepted configuration.
type Service struct {
	values   *cvvalues.Values
	classes  []cvclass.Class
	revision string
	author   string
}

// Fields returns the fields of a service file in the order of the reference page.
func Fields() []cvfield.Field { return schema.Fields() }

// Parse checks a service file. The error has a line for each problem.
func Parse(file string, content []byte) (*Service, error) {
	values, err := schema.Parse(file, content)
	if err != nil {
		return nil, err
	}
	s := &Service{values: values}
	for i := range values.Len("classes") {
		s.classes = append(s.classes, s.class(i))
	}
	s.classes = append(s.classes, s.remainder())
	return s, nil
}

func (s *Service) class(index int) cvclass.Class {
	at := func(name string) string { return fmt.Sprintf("classes[%d].%s", index, name) }
	timeout, setting := s.values.Duration(at("timeout")), s.values.Setting(at("timeout"))
	if timeout == 0 {
		timeout, setting = s.values.Duration("timeout"), s.values.Setting("timeout")
	}
	return cvclass.New(s.values.Text(at("name"))).
		WithMatch(s.values.Texts(at("methods")), s.values.Text(at("pathPrefix")), s.values.Text(at("idempotent"))).
		WithTimeout(timeout, setting).
		WithSlots(s.values.Share(at("slotShare")), s.values.Count(at("priority")))
}

// remainder is the class of calls that no class of the file fits.
func (s *Service) remainder() cvclass.Class {
	return cvclass.New("other").
		WithMatch(nil, "/", "byMethod").
		WithTimeout(s.values.Duration("timeout"), s.values.Setting("timeout")).
		WithSlots(1, 0)
}

// WithRevision returns the service with the revision and author that published it.
func (s *Service) WithRevision(revision, author string) *Service {
	published := *s
	published.revision = revision
	published.author = author
	return &published
}

// Name is the service's name.
func (s *Service) Name() string { return s.values.Text("service") }

// Host is the host name of the service's calls, or * for any.
func (s *Service) Host() string { return s.values.Text("host") }

// PathPrefix is what the paths of the service's calls begin with.
func (s *Service) PathPrefix() string { return s.values.Text("pathPrefix") }

// Group is the group of VMs that are the service's upstreams.
func (s *Service) Group() string { return s.values.Text("group") }

// Slots is how many calls an upstream runs at a time.
func (s *Service) Slots() int { return s.values.Count("slots") }

// Connections is how many connections one balancer opens to one upstream at most.
func (s *Service) Connections() int { return s.values.Count("connections") }

// Queue is how many calls wait in one balancer at most.
func (s *Service) Queue() int { return s.values.Count("queue") }

// RequestLimit is the largest request body in bytes.
func (s *Service) RequestLimit() int64 { return s.values.Size("requestLimit") }

// HeldAnswerLimit is the largest answer, in bytes, that is held until it is whole.
func (s *Service) HeldAnswerLimit() int64 { return s.values.Size("heldAnswerLimit") }

// RetryShare is the share of further tries among calls.
func (s *Service) RetryShare() float64 { return s.values.Share("retryShare") }

// RetryBurst is how many further tries may be saved up.
func (s *Service) RetryBurst() int { return s.values.Count("retryBurst") }

// TriesPerCall is how many tries a call has at most.
func (s *Service) TriesPerCall() int { return s.values.Count("triesPerCall") }

// HedgeQuantile is the share of recent calls that must have been quicker before a call is hedged.
func (s *Service) HedgeQuantile() float64 { return s.values.Share("hedgeQuantile") }

// MeasureBudget is the share of measuring requests among the calls sent to upstreams.
func (s *Service) MeasureBudget() float64 { return s.values.Share("measureBudget") }

// EjectFailures is how many failures in a row eject an upstream.
func (s *Service) EjectFailures() int { return s.values.Count("ejectFailures") }

// EjectTime is how long an ejected upstream gets no calls.
func (s *Service) EjectTime() time.Duration { return s.values.Duration("ejectTime") }

// EjectFloor is the share of upstreams that are never ejected together.
func (s *Service) EjectFloor() float64 { return s.values.Share("ejectFloor") }

// ClaimWindow is how long a key is remembered.
func (s *Service) ClaimWindow() time.Duration { return s.values.Duration("claimWindow") }

// RequireKey refuses calls that are not idempotent and carry no key.
func (s *Service) RequireKey() bool { return s.values.Flag("requireKey") }

// QuarantineTime is how long a request that crashed two upstreams is refused.
func (s *Service) QuarantineTime() time.Duration { return s.values.Duration("quarantineTime") }

// Setting points at a field of the service file, for decisions that it makes.
func (s *Service) Setting(path string) comfreyvale.Setting {
	return s.values.Setting(path).WithRevision(s.revision, s.author)
}

// Matches says whether a call's host and path belong to the service.
func (s *Service) Matches(host, path string) bool {
	if s.Host() != "*" && s.Host() != host {
		return false
	}
	return strings.HasPrefix(path, s.PathPrefix())
}

// Class returns the first class that fits a call.
func (s *Service) Class(method, path string) cvclass.Class {
	i := slices.IndexFunc(s.classes, func(c cvclass.Class) bool { return c.Matches(method, path) })
	return s.classes[i]
}

// AnnotateSetting returns a setting of a class with the revision and author that published it.
func (s *Service) AnnotateSetting(setting comfreyvale.Setting) comfreyvale.Setting {
	return setting.WithRevision(s.revision, s.author)
}
