// Package cvservice provides the checked configuration of one service.
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

// Fields returns the descriptions of the fields of a service file, in the order of the reference page.
func Fields() []cvfield.Field { return schema.Fields() }

// Parse parses and checks a service file; file is the name that errors report. The error has one line per problem.
func Parse(file string, content []byte) (*Service, error) {
	values, err := schema.Parse(file, content)
	if err != nil {
		return nil, err
	}
	s := &Service{values: values}
	for i := range values.Len("classes") {
		s.classes = append(s.classes, s.class(i))
	}
	s.classes = append(s.classes, s.defaultClass())
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

// defaultClass returns the class of the requests that match no class of the service file.
func (s *Service) defaultClass() cvclass.Class {
	return cvclass.New("other").
		WithMatch(nil, "/", "byMethod").
		WithTimeout(s.values.Duration("timeout"), s.values.Setting("timeout")).
		WithSlots(1, 0)
}

// WithRevision returns a copy of s with the revision of its service file and the author who published it.
func (s *Service) WithRevision(revision, author string) *Service {
	c := *s
	c.revision = revision
	c.author = author
	return &c
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.values.Text("service") }

// Host returns the host name of requests to the service, or * for any host.
func (s *Service) Host() string { return s.values.Text("host") }

// PathPrefix returns the path prefix of requests to the service.
func (s *Service) PathPrefix() string { return s.values.Text("pathPrefix") }

// Group returns the name of the VM group whose members are the upstreams of the service.
func (s *Service) Group() string { return s.values.Text("group") }

// Slots returns the maximum number of requests that one upstream runs at the same time.
func (s *Service) Slots() int { return s.values.Count("slots") }

// Connections returns the maximum number of connections from one balancer to one upstream.
func (s *Service) Connections() int { return s.values.Count("connections") }

// Queue returns the maximum number of requests that wait in the queue of one balancer.
func (s *Service) Queue() int { return s.values.Count("queue") }

// RequestLimit returns the maximum size of a request body in bytes.
func (s *Service) RequestLimit() int64 { return s.values.Size("requestLimit") }

// HeldAnswerLimit returns the size in bytes up to which a response is buffered completely before its first byte is
// sent.
func (s *Service) HeldAnswerLimit() int64 { return s.values.Size("heldAnswerLimit") }

// RetryShare returns the allowed retries and hedges as a fraction of requests.
func (s *Service) RetryShare() float64 { return s.values.Share("retryShare") }

// RetryBurst returns the maximum number of retries and hedges in the retry budget of one balancer. The budget starts
// full.
func (s *Service) RetryBurst() int { return s.values.Count("retryBurst") }

// TriesPerCall returns the maximum number of attempts per request, the first included.
func (s *Service) TriesPerCall() int { return s.values.Count("triesPerCall") }

// HedgeQuantile returns the latency quantile of recent requests after which a request is hedged.
func (s *Service) HedgeQuantile() float64 { return s.values.Share("hedgeQuantile") }

// MeasureBudget returns the allowed load probes as a fraction of requests sent to upstreams.
func (s *Service) MeasureBudget() float64 { return s.values.Share("measureBudget") }

// EjectFailures returns how many consecutive failures eject an upstream.
func (s *Service) EjectFailures() int { return s.values.Count("ejectFailures") }

// EjectTime returns how long an ejected upstream receives no requests.
func (s *Service) EjectTime() time.Duration { return s.values.Duration("ejectTime") }

// EjectFloor returns the minimum fraction of upstreams that are not ejected, however many of them fail.
func (s *Service) EjectFloor() float64 { return s.values.Share("ejectFloor") }

// ClaimWindow returns how long an idempotency key is remembered after its claim.
func (s *Service) ClaimWindow() time.Duration { return s.values.Duration("claimWindow") }

// RequireKey reports whether non-idempotent requests without an Idempotency-Key are refused.
func (s *Service) RequireKey() bool { return s.values.Flag("requireKey") }

// QuarantineTime returns how long a request that crashed two upstreams is refused.
func (s *Service) QuarantineTime() time.Duration { return s.values.Duration("quarantineTime") }

// Setting returns the field at path with its value, file, line, revision and author, to be recorded with decisions.
func (s *Service) Setting(path string) comfreyvale.Setting {
	return s.values.Setting(path).WithRevision(s.revision, s.author)
}

// Matches reports whether a request with the given host and path belongs to the service.
func (s *Service) Matches(host, path string) bool {
	if s.Host() != "*" && s.Host() != host {
		return false
	}
	return strings.HasPrefix(path, s.PathPrefix())
}

// Class returns the first class that matches a request. The default class is last and matches every request.
func (s *Service) Class(method, path string) cvclass.Class {
	i := slices.IndexFunc(s.classes, func(c cvclass.Class) bool { return c.Matches(method, path) })
	return s.classes[i]
}

// AnnotateSetting returns a copy of setting with the revision and author of the service file.
func (s *Service) AnnotateSetting(setting comfreyvale.Setting) comfreyvale.Setting {
	return setting.WithRevision(s.revision, s.author)
}
