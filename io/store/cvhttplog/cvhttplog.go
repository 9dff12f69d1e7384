// Package cvhttplog implements an HTTP client of the platform's log service.
package cvhttplog

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/balancers/cvboundedbody"
	"comfreyvale/io/balancers/cvtransport"
)

const (
	// responseTimeout is how long a response may take beyond the time that a read waits for a record.
	responseTimeout = 5 * time.Second
	// maxAppendBytes limits the response to an append, which holds an offset.
	maxAppendBytes = 4 << 10
)

// defaultClient is shared, so that its connections are used again.
var defaultClient = cvtransport.NewClient()

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Log is a client of the log service at one address. It is safe for concurrent use.
type Log struct {
	// Address is the base URL of the service.
	Address string
	// Client sends the requests; nil means one with default settings.
	Client *http.Client
}

type appendResponse struct {
	Offset int64 `json:"offset"`
}

type readQuery struct {
	From   int64 `url:"from"`
	WaitMs int64 `url:"waitMs"`
}

// Append appends a record to a stream and returns its offset. KindUncertain means that the record may have been
// appended.
func (l *Log) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	request, err := sling.New().Base(l.Address).Post("/streams/" + url.PathEscape(stream) + "/records").Body(bytes.NewReader(body)).Request()
	if err != nil {
		return 0, fail("append", comfreyvale.KindInvalid, err)
	}
	response, err := l.client().Do(request.WithContext(ctx))
	if err != nil {
		return 0, fail("append", appendKind(err), err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusOK:
		var result appendResponse
		if err := (cvboundedbody.Decoder{Limit: maxAppendBytes}).Decode(response, &result); err != nil {
			return 0, fail("append", comfreyvale.KindUncertain, err)
		}
		return result.Offset, nil
	case response.StatusCode == http.StatusServiceUnavailable:
		return 0, fail("append", comfreyvale.KindUnavailable, errors.New(response.Status))
	}
	return 0, fail("append", comfreyvale.KindUncertain, errors.New(response.Status))
}

// appendKind returns KindUnavailable if no connection was made, so that the record was not sent, else KindUncertain.
func appendKind(err error) comfreyvale.Kind {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return comfreyvale.KindUnavailable
	}
	return comfreyvale.KindUncertain
}

// Read returns the records of a stream from an offset on. If there is none yet, it waits for one, but at most for the
// given time.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (comfreyvale.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	query := readQuery{From: from, WaitMs: wait.Milliseconds()}
	request, err := sling.New().Base(l.Address).Get("/streams/" + url.PathEscape(stream) + "/records").QueryStruct(&query).Request()
	if err != nil {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindInvalid, err)
	}
	response, err := l.client().Do(request.WithContext(ctx))
	if err != nil {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindUnavailable, errors.New(response.Status))
	}
	batch, err := decodeBatch(response.Body)
	if err != nil {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindUnavailable, err)
	}
	return batch, nil
}

func (l *Log) client() *http.Client {
	if l.Client != nil {
		return l.Client
	}
	return defaultClient
}

// String returns the name of the implementation.
func (l *Log) String() string { return "http " + l.Address }
