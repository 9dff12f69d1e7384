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
	// keysPath hands out keys that one balancer alone grants.
	keysPath = "/.well-known/comfreyvale/keys"
	// maxKeys is how many keys one request gets at most.
	maxKeys = 1000
	// copyBytes is the size of the buffer of a streamed answer.
	copyBytes = 32 << 10
	// writeTime is how long a caller may take for one write.
	writeTime = 30 * time.Second
	// maxResumes is how often a streamed answer is resumed.
	maxResumes = 3
	// problemType is the media type of refusals.
	problemType = "application/problem+json"
)

// problem is the body of a refusal, as RFC 9457 has it.
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

// refuse answers with the cause, and records it.
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
	header := e.w.Header()
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
	e.w.WriteHeader(refusal.Status())
	// The status line is out, so that a failed write only concerns the connection.
	_ = json.NewEncoder(e.w).Encode(body)
}

// replay answers a resend with the first answer.
func (e *exchange) replay(answer comfreyvale.Answer) {
	header := e.w.Header()
	for name, values := range answer.Header() {
		header[name] = values
	}
	header.Set(cvheader.Replayed, "true")
	header.Set("Content-Length", strconv.Itoa(len(answer.Body())))
	e.w.WriteHeader(answer.Status())
	// The status line is out, so that a failed write only concerns the connection.
	_, _ = e.w.Write(answer.Body())
	e.gateway.Metrics.Answered(e.service.Name(), e.call.Class().Name(), time.Since(e.began))
}

// write sends an answer to the caller and returns whether it was whole.
func (e *exchange) write(ctx context.Context, reply *cvreply.Reply) bool {
	header := e.w.Header()
	for name, values := range cvheader.EndToEnd(reply.Header()) {
		header[name] = values
	}
	header.Set(cvheader.Upstream, reply.Upstream())
	if reply.Complete() && e.r.Method != http.MethodHead && bodyAllowed(reply.Status()) {
		header.Set("Content-Length", strconv.Itoa(len(reply.Buffered())))
	}
	e.w.WriteHeader(reply.Status())
	e.limitWrite()
	_, err := e.w.Write(reply.Buffered())
	if err != nil || reply.Complete() {
		reply.Close(err == nil)
		return err == nil || e.r.Method == http.MethodHead || !bodyAllowed(reply.Status())
	}
	return e.stream(ctx, reply)
}

// limitWrite gives the caller time to take what is written next; one that takes nothing would hold its memory for ever.
func (e *exchange) limitWrite() {
	// Not every connection has write deadlines.
	_ = http.NewResponseController(e.w).SetWriteDeadline(time.Now().Add(writeTime))
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// stream copies the rest of an answer, and goes on with another upstream's where the first one breaks.
func (e *exchange) stream(ctx context.Context, reply *cvreply.Reply) bool {
	sent := int64(len(reply.Buffered()))
	total, etag, status := reply.Length(), reply.Header().Get("ETag"), reply.Status()
	for range maxResumes + 1 {
		n, readErr, writeErr := e.copy(reply.Rest())
		sent += n
		reply.Close(readErr == io.EOF)
		if writeErr != nil || readErr == io.EOF {
			return writeErr == nil
		}
		if status != http.StatusOK || !e.call.Repeatable() || e.r.Header.Get("Range") != "" {
			return false
		}
		next := e.gateway.Runner.Resume(ctx, e.call, e.dispatcher, reply.Upstream(), etag, sent, total)
		if next == nil {
			return false
		}
		reply = next
		if _, err := e.w.Write(reply.Buffered()); err != nil {
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

// copy sends what it reads until the end, and tells reading errors from writing errors.
func (e *exchange) copy(body io.Reader) (copied int64, readErr, writeErr error) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			e.limitWrite()
			if _, writeErr = e.w.Write(buffer[:n]); writeErr != nil {
				return copied, nil, writeErr
			}
			copied += int64(n)
		}
		if err != nil {
			return copied, err, nil
		}
	}
}

// serveKeys hands out keys that this balancer alone grants, without the platform's log.
func (g *Gateway) serveKeys(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("count"))
	if err != nil || count < 1 {
		count = 1
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// The status line is out, so that a failed write only concerns the connection.
	_ = json.NewEncoder(w).Encode(map[string][]string{"keys": g.NewKeys(min(count, maxKeys))})
}
