package cvnode

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/attribute"

	"comfreyvale"
	"comfreyvale/core/cvroute"
	"comfreyvale/core/cvroutes"
	"comfreyvale/core/cvworkspace"
	"comfreyvale/io/balancers/cvstopping"
)

// authenticationScheme names the API key in responses to requests without a valid one, as RFC 9110 requires.
const authenticationScheme = "ApiKey"

// identify returns the workspace that a request belongs to, or nil if it belongs to none. confirmed reports whether the
// configuration, or an older one, is known to be recent enough. If the request must not be served, identify returns
// false and the response.
func (n *Node) identify(t *cvroutes.Table, confirmed bool, route *cvroute.Route, request *http.Request) (workspace *cvworkspace.Workspace, refusal comfreyvale.Answer, ok bool) {
	if t.Workspaces() == nil || route.Public() {
		return nil, comfreyvale.Answer{}, true
	}
	id := request.Header.Get(n.HeaderNames.RequestID)
	keys := request.Header.Values(n.HeaderNames.APIKey)
	if len(keys) > 1 {
		return nil, n.refuseKey(comfreyvale.CauseAPIKeyRepeated, id, "", t.Version()), false
	}
	if len(keys) == 0 || keys[0] == "" {
		return nil, n.refuseKey(comfreyvale.CauseAPIKeyMissing, id, "", t.Version()), false
	}
	workspace, known := t.Workspaces().ByKey(keys[0])
	switch {
	case !confirmed:
		return nil, n.refuse(comfreyvale.CauseUnconfirmed, id, n.unconfirmedReason(), maxRetryAfter), false
	case !known:
		return nil, n.refuseKey(comfreyvale.CauseAPIKeyUnknown, id, "", t.Version()), false
	}
	return workspace, comfreyvale.Answer{}, true
}

// identifiedHeader returns the headers to forward for a request of a workspace, or of none: without the API key, and
// with the workspace that this balancer has found. It may modify the given headers.
func (n *Node) identifiedHeader(t *cvroutes.Table, workspace *cvworkspace.Workspace, header http.Header) http.Header {
	if t.Workspaces() == nil {
		return header
	}
	for name := range header {
		if readAsSame(name, n.HeaderNames.APIKey) || readAsSame(name, n.HeaderNames.Workspace) {
			delete(header, name)
		}
	}
	if workspace != nil {
		header.Set(n.HeaderNames.Workspace, workspace.Name())
	}
	return header
}

// readAsSame reports whether an upstream may read two header names as the same. Programs that get headers as environment
// variables don't tell cases, hyphens and underscores apart.
func readAsSame(a, b string) bool {
	fold := func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}
	return len(a) == len(b) && strings.Map(fold, strings.ToLower(a)) == strings.Map(fold, strings.ToLower(b))
}

// mayStillSend reports whether the exchange may send its request to an upstream now: a key may have been withdrawn, or
// the process begun to shut down, while the request waited. If not, it sets the cause and the reason.
func (e *exchange) mayStillSend() bool {
	if !e.node.shutdown.MaySend(time.Now(), e.deadline) {
		e.cause, e.reason = comfreyvale.CauseShutdown, cvstopping.ErrLate.Error()
		return false
	}
	if e.workspace == nil {
		return true
	}
	// The order matters, as in handle.
	confirmed := e.node.configurationConfirmed()
	t := e.node.routes.Load()
	if t.Workspaces() == nil {
		return true
	}
	if _, known := t.Workspaces().ByKey(e.apiKey); !known {
		e.cause, e.reason = comfreyvale.CauseAPIKeyWithdrawn, "its API key was withdrawn while it waited"
		return false
	}
	if !confirmed {
		e.cause, e.reason = comfreyvale.CauseUnconfirmed, e.node.unconfirmedReason()
	}
	return confirmed
}

// refuseUnsent returns the response to a request that may not be sent any more and has not run.
func (e *exchange) refuseUnsent() comfreyvale.Answer {
	if e.cause == comfreyvale.CauseAPIKeyWithdrawn {
		return e.node.refuseKey(e.cause, e.message.ID(), e.workspace.Name(), e.node.routes.Load().Version())
	}
	retryAfter := e.slots.ExpectedWait()
	if e.cause == comfreyvale.CauseUnconfirmed {
		// The queue says nothing about when the configuration will be confirmed.
		retryAfter = maxRetryAfter
	}
	return e.node.refuse(e.cause, e.message.ID(), e.reason, retryAfter)
}

// refuseKey tells the caller that its request was not run for lack of a valid API key.
func (n *Node) refuseKey(cause comfreyvale.Cause, id, workspace string, version int64) comfreyvale.Answer {
	fields := log.Fields{"request": id, "cause": cause, "version": version}
	if age, ok := n.confirmedAge(); ok {
		fields["confirmedAgeMs"] = age.Milliseconds()
	}
	if workspace != "" {
		fields["workspace"] = workspace
	}
	n.metrics.Refused(string(cause))
	n.Logger.WithFields(fields).Info("refused for its API key")
	return comfreyvale.NewAnswer(http.StatusUnauthorized, http.Header{
		n.HeaderNames.RequestID: {id}, "Www-Authenticate": {authenticationScheme},
	}, nil)
}

// traceRefusal records the span of a request that was refused before it was sent.
func (n *Node) traceRefusal(ctx context.Context, request *http.Request, id string, route *cvroute.Route, status int) {
	_, span := n.startSpan(ctx, request, id)
	span.SetAttributes(attribute.Int("status", status), attribute.String("route", route.Name()))
	span.End()
}

// identityAttributes returns the attributes of the workspace and of the lease for the span of a request.
func (e *exchange) identityAttributes() []attribute.KeyValue {
	if e.workspace == nil {
		return nil
	}
	found := []attribute.KeyValue{attribute.String("workspace", e.workspace.Name())}
	if age, ok := e.node.confirmedAge(); ok && e.node.terms().Revoke() > 0 {
		found = append(found, attribute.Int64("confirmedAgeMs", age.Milliseconds()))
	}
	return found
}

// priorities returns the priority of the request's workspace, which is that of the route for lack of another, and of its
// route.
func (e *exchange) priorities() (workspace, route int) {
	route = e.route.Priority()
	if e.workspace == nil {
		return route, route
	}
	if priority, ok := e.workspace.Priority(); ok {
		return priority, route
	}
	return route, route
}
