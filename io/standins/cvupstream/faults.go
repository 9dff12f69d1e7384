package cvupstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func (u *Upstream) breakResponse(w http.ResponseWriter, r *http.Request, place string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	// The connection is closed in any case, so a failed write changes nothing.
	_, _ = conn.Write(u.partialResponse(r, place))
}

// partialResponse returns a response that ends, or is invalid, at the named place.
func (u *Upstream) partialResponse(r *http.Request, place string) []byte {
	body := u.encodeBody(r, 1)
	etag := ""
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && size > 0 {
		body = FileContent(r.URL.Path, size)
		etag = "ETag: " + entityTag(body) + "\r\n"
	}
	half := body[:len(body)/2]
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	switch place {
	case "beforeHeaders":
		return nil
	case "midHeaders":
		return []byte(head[:30])
	case "midBody":
		return fmt.Appendf(nil, "%s%sContent-Length: %d\r\n\r\n%s", head, etag, len(body), half)
	case "midChunk":
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(body), half)
	case "beforeFinalChunk":
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(half), half)
	case "wrongLength":
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body)+1, body)
	case "unframed":
		return fmt.Appendf(nil, "%sConnection: close\r\n\r\n%s", head, half)
	}
	return nil
}

// crash calls OnCrash, if it is set. If that returns, crash closes all connections, and ConnState closes new ones for
// crashDowntime.
func (u *Upstream) crash() {
	if u.OnCrash != nil {
		u.OnCrash()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.downUntil = time.Now().Add(crashDowntime)
	for c := range u.conns {
		c.Close()
	}
}

// connKey is the context key of the sync.Once that delays the first request of a connection.
type connKey struct{}

// ConnContext makes the first request of a connection take ConnectTime longer. Set it as http.Server's ConnContext.
func (u *Upstream) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &sync.Once{})
}

func (u *Upstream) delayFirstRequest(ctx context.Context) {
	if first, ok := ctx.Value(connKey{}).(*sync.Once); ok {
		first.Do(func() { time.Sleep(u.ConnectTime) })
	}
}

// ConnState tracks connections so that a crash can close them. Set it as http.Server's ConnState.
func (u *Upstream) ConnState(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		u.acceptedConns.Add(1)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.init()
	switch state {
	case http.StateNew:
		u.conns[conn] = struct{}{}
		if time.Now().Before(u.downUntil) {
			conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, conn)
	}
}
