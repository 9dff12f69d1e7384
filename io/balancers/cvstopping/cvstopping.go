// Package cvstopping carries the course of a shutdown to the requests in progress.
package cvstopping

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvshutdown"
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

var (
	// ErrLate is the cause of a context that was cancelled because its request may not be sent any more.
	ErrLate = fail("send", comfreyvale.KindConflict, errors.New("the process is shutting down, and the request may not end in time"))
	// ErrEnd is the cause of a context that was cancelled because the process is about to exit.
	ErrEnd = fail("await", comfreyvale.KindConflict, errors.New("the process is shutting down, and the request did not end in time"))
)

// Stopping tells requests whether they may be sent and when they end. The zero value, and nil, stand for a process that
// goes on. It is safe for concurrent use.
type Stopping struct {
	once     sync.Once
	shutdown atomic.Pointer[cvshutdown.Shutdown]
	// lateContext is done when late requests may not be sent any more, endContext when all requests end.
	lateContext, endContext context.Context
	cancelLate, cancelEnd   context.CancelFunc
}

func (s *Stopping) init() {
	s.lateContext, s.cancelLate = context.WithCancel(context.Background())
	s.endContext, s.cancelEnd = context.WithCancel(context.Background())
}

// Begin begins a shutdown. Call it once.
func (s *Stopping) Begin(now time.Time, shutdown cvshutdown.Shutdown) {
	s.once.Do(s.init)
	s.shutdown.Store(&shutdown)
	time.AfterFunc(shutdown.LastSend().Sub(now), s.cancelLate)
	time.AfterFunc(shutdown.End().Sub(now), s.cancelEnd)
}

// MaySend reports whether a request with a deadline may be sent to an upstream.
func (s *Stopping) MaySend(now, deadline time.Time) bool {
	if s == nil {
		return true
	}
	shutdown := s.shutdown.Load()
	return shutdown == nil || shutdown.MaySend(now, deadline)
}

// RequestContext returns a context for a request, which is cancelled with ErrEnd at the end of a shutdown.
func (s *Stopping) RequestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if s == nil {
		return ctx, func() {}
	}
	s.once.Do(s.init)
	return cancelledWith(ctx, s.endContext, func() error { return ErrEnd })
}

// WaitContext returns a context for the wait of a request for an upstream, which is cancelled with ErrLate when the
// request may not be sent any more.
func (s *Stopping) WaitContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if s == nil {
		return ctx, func() {}
	}
	s.once.Do(s.init)
	return cancelledWith(ctx, s.lateContext, func() error {
		if s.MaySend(time.Now(), deadline) {
			return nil
		}
		return ErrLate
	})
}

// cancelledWith returns a context that is cancelled with a cause when the signal is done, unless the cause is nil.
func cancelledWith(ctx, signal context.Context, cause func() error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(signal, func() {
		if err := cause(); err != nil {
			cancel(err)
		}
	})
	return ctx, func() {
		detach()
		cancel(nil)
	}
}
