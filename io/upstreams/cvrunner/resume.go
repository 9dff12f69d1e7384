package cvrunner

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"comfreyvale/core/cvcall"
	"comfreyvale/io/callers/cvreply"
	"comfreyvale/io/upstreams/cvdispatcher"
)

// Resume asks another upstream for the rest of an answer that broke off after the bytes sent.
// It returns nil unless the rest is certain to belong to the same content, by its strong ETag and its length.
func (r *Runner) Resume(ctx context.Context, call *cvcall.Call, dispatcher *cvdispatcher.Dispatcher, broken, etag string, sent, total int64) *cvreply.Reply {
	strong := strings.HasPrefix(etag, `"`)
	if !strong || total <= sent || ctx.Err() != nil {
		return nil
	}
	header := call.Header().Clone()
	header.Set("Range", fmt.Sprintf("bytes=%d-", sent))
	header.Set("If-Range", etag)
	rest := cvcall.New(call.ID(), call.Service(), call.Class(), call.Deadline()).
		WithRequest(call.Method(), call.Target(), header, call.Body())
	reply, refusal := r.run(ctx, rest, dispatcher, []string{broken})
	if refusal != nil {
		return nil
	}
	span := fmt.Sprintf("bytes %d-%d/%d", sent, total-1, total)
	fits := reply.Status() == http.StatusPartialContent && reply.Header().Get("ETag") == etag && reply.Header().Get("Content-Range") == span
	if !fits {
		reply.Close(false)
		return nil
	}
	return reply
}
