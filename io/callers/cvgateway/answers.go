package cvgateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvrefusal"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/callers/cvreply"
)

const (
	keysPath = "/.well-known/comfreyvale/keys"
	// maxKeys limits the number of keys in one response.
	maxKeys         = 1000
	copyBufferBytes = 32 << 10
	// writeTimeout limits the time of one write to a caller.
	writeTimeout = 30 * time.Second
	// maxResumes limits how often one streamed response is resumed from another upstream.
	maxResumes = 3
	// problemType is the media type of a refusal's body.
	problemType = "application/problem+json"
)

// problem is the body of a refusal, in the format of RFC 9457.
type problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Cause     string          `json:"cause"`
	Ran       string          `json:"ran"`
	Detail    string          `json:"detail,omitempty"`
	Upstream  string          `json:"upstream,omitempty"`
	Setting   *problemSetting `json:"setting,omitempty"`
	RequestID string          `json:"requestId"`
}

type problemSetting struct {
	Path     string `json:"path"`
	Value    string `json:"value"`
	File     string `json:"file"`
	Line     int    `json:"line"`
	Revision string `json:"revision"`
	Author   string `json:"author"`
}

func newSetting(s comfreyvale.Setting) *problemSetting {
	if s.Path() == "" {
		return nil
	}
	return &problemSetting{s.Path(), s.Value(), s.File(), s.Line(), s.Revision(), s.Author()}
}

func (e *exchange) refuse(refusal *cvrefusal.Refusal) {
	service, class := unknownService, unknownService
	if e.service != nil {
		service = e.service.Name()
	}
	if e.call != nil {
		class = e.call.Class().Name()
	}
	now := time.Now()
	decision := comfreyvale.NewDecision(now, e.id, service, refusal.Cause()).
		WithUpstream(refusal.Upstream()).WithSetting(refusal.Setting()).WithCondition(refusal.Condition())
	e.gateway.Recorder.Record(now, decision)
	e.gateway.Metrics.Refused(service, class, refusal.Cause(), refusal.Ran())
	e.writeRefusal(refusal)
}

func (e *exchange) writeRefusal(refusal *cvrefusal.Refusal) {
	header := e.writer.Header()
	header.Set("Content-Type", problemType)
	header.Set("Cache-Control", "no-store")
	header.Set(cvheader.Ran, string(refusal.Ran()))
	if after := refusal.RetryAfter(); after > 0 {
		header.Set("Retry-After", strconv.Itoa(int(after.Seconds())))
	}
	body := problem{
		Type: "about:blank", Title: http.StatusText(refusal.Status()), Status: refusal.Status(),
		Cause: string(refusal.Cause()), Ran: string(refusal.Ran()), Detail: refusal.Condition(),
		Upstream: refusal.Upstream(), Setting: newSetting(refusal.Setting()), RequestID: e.id,
	}
	e.writer.WriteHeader(refusal.Status())
	// The status line is already sent, so a failed write can only be ignored.
	_ = json.NewEncoder(e.writer).Encode(body)
}

// replayResponse answers a resent request with the stored response to the first one.
func (e *exchange) replayResponse(answer comfreyvale.Answer) {
	header := e.writer.Header()
	for name, values := range answer.Header() {
		header[name] = values
	}
	header.Set(cvheader.Replayed, "true")
	header.Set("Content-Length", strconv.Itoa(len(answer.Body())))
	e.writer.WriteHeader(answer.Status())
	// The status line is already sent, so a failed write can only be ignored.
	_, _ = e.writer.Write(answer.Body())
	e.gateway.Metrics.Answered(e.service.Name(), e.call.Class().Name(), time.Since(e.arrived))
}

// writeResponse reports whether the response was sent completely.
func (e *exchange) writeResponse(ctx context.Context, reply *cvreply.Reply) bool {
	header := e.writer.Header()
	for name, values := range cvheader.EndToEnd(reply.Header()) {
		header[name] = values
	}
	header.Set(cvheader.Upstream, reply.Upstream())
	if reply.Complete() && e.request.Method != http.MethodHead && bodyAllowed(reply.Status()) {
		header.Set("Content-Length", strconv.Itoa(len(reply.Buffered())))
	}
	e.writer.WriteHeader(reply.Status())
	e.limitWrite()
	_, err := e.writer.Write(reply.Buffered())
	if err != nil || reply.Complete() {
		reply.Close(err == nil)
		return err == nil || e.request.Method == http.MethodHead || !bodyAllowed(reply.Status())
	}
	return e.stream(ctx, reply)
}

// limitWrite sets the deadline of the next write, so that a caller that reads nothing does not hold memory forever.
func (e *exchange) limitWrite() {
	// Not every connection supports write deadlines.
	_ = http.NewResponseController(e.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// stream copies the rest of a response to the caller and reports whether it was sent completely. If the upstream fails
// and the call is repeatable, stream resumes the response from another upstream.
func (e *exchange) stream(ctx context.Context, reply *cvreply.Reply) bool {
	sent := int64(len(reply.Buffered()))
	total, etag, status := reply.Length(), reply.Header().Get("ETag"), reply.Status()
	for range maxResumes + 1 {
		n, readErr, writeErr := e.copyBody(reply.Rest())
		sent += n
		reply.Close(readErr == io.EOF)
		if writeErr != nil || readErr == io.EOF {
			return writeErr == nil
		}
		if status != http.StatusOK || !e.call.Repeatable() || e.request.Header.Get("Range") != "" {
			return false
		}
		next := e.gateway.Runner.Resume(ctx, e.call, e.dispatcher, reply.Upstream(), etag, sent, total)
		if next == nil {
			return false
		}
		reply = next
		if _, err := e.writer.Write(reply.Buffered()); err != nil {
			reply.Close(false)
			return false
		}
		sent += int64(len(reply.Buffered()))
		if reply.Complete() {
			reply.Close(true)
			return true
		}
	}
	return false
}

// copyBody copies a body to the caller until a read or a write fails. At the end of the body, readErr is io.EOF.
func (e *exchange) copyBody(body io.Reader) (copied int64, readErr, writeErr error) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			e.limitWrite()
			if _, writeErr = e.writer.Write(buffer[:n]); writeErr != nil {
				return copied, nil, writeErr
			}
			copied += int64(n)
		}
		if err != nil {
			return copied, err, nil
		}
	}
}

// serveKeys returns new idempotency keys that only this balancer grants. They need no claim in the platform's log.
func (g *Gateway) serveKeys(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("count"))
	if err != nil || count < 1 {
		count = 1
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// The status line is already sent, so a failed write can only be ignored.
	_ = json.NewEncoder(w).Encode(map[string][]string{"keys": g.NewKeys(min(count, maxKeys))})
}
