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

// Resume requests the rest of a response from another upstream after the connection to failedUpstream broke, when the
// caller has received sent of total body bytes. It returns nil unless a strong ETag and the total length prove that the
// rest belongs to the same content. The caller must close the reply.
func (r *Runner) Resume(ctx context.Context, call *cvcall.Call, dispatcher *cvdispatcher.Dispatcher, failedUpstream, etag string, sent, total int64) *cvreply.Reply {
	strong := strings.HasPrefix(etag, `"`)
	if !strong || total <= sent || ctx.Err() != nil {
		return nil
	}
	header := call.Header().Clone()
	header.Set("Range", fmt.Sprintf("bytes=%d-", sent))
	header.Set("If-Range", etag)
	rest := cvcall.New(call.ID(), call.Service(), call.Class(), call.Deadline()).
		WithRequest(call.Method(), call.Target(), header, call.Body())
	reply, refusal := r.run(ctx, rest, dispatcher, []string{failedUpstream})
	if refusal != nil {
		return nil
	}
	contentRange := fmt.Sprintf("bytes %d-%d/%d", sent, total-1, total)
	matches := reply.Status() == http.StatusPartialContent && reply.Header().Get("ETag") == etag && reply.Header().Get("Content-Range") == contentRange
	if !matches {
		reply.Close(false)
		return nil
	}
	return reply
}
