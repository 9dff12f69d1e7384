// Package cvhttplog implements an HTTP client of the platform's log service.
package cvhttplog

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/balancers/cvtransport"
)

// responseTimeout is how long a response may take beyond the time that a read waits for a record.
const responseTimeout = 5 * time.Second

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

type readResponse struct {
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset int64  `json:"offset"`
	Body   []byte `json:"body"`
}

type readQuery struct {
	From   int64 `url:"from"`
	WaitMs int64 `url:"waitMs"`
}

func (l *Log) base() *sling.Sling {
	client := l.Client
	if client == nil {
		client = defaultClient
	}
	return sling.New().Client(client).Base(l.Address)
}

// Append appends a record to a stream and returns its offset. KindUncertain means that the record may have been
// appended.
func (l *Log) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	request, err := l.base().Post("/streams/" + url.PathEscape(stream) + "/records").Body(bytes.NewReader(body)).Request()
	if err != nil {
		return 0, fail("append", comfreyvale.KindInvalid, err)
	}
	var result appendResponse
	response, err := l.do(ctx, request, &result)
	if err != nil {
		return 0, fail("append", appendKind(err), err)
	}
	switch {
	case response.StatusCode == http.StatusOK:
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
	request, err := l.base().Get("/streams/" + url.PathEscape(stream) + "/records").QueryStruct(&query).Request()
	if err != nil {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindInvalid, err)
	}
	var result readResponse
	response, err := l.do(ctx, request, &result)
	if err != nil {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindUnavailable, errors.New(response.Status))
	}
	var records []comfreyvale.Record
	for _, r := range result.Records {
		records = append(records, comfreyvale.NewRecord(r.Offset, r.Body))
	}
	return comfreyvale.NewBatch(result.First, result.Next, records), nil
}

// do decodes the response body into result if the status is a success.
func (l *Log) do(ctx context.Context, request *http.Request, result any) (*http.Response, error) {
	return l.base().ResponseDecoder(decoder{}).Do(request.WithContext(ctx), result, nil)
}

// decoder decodes JSON bodies. It reads the complete JSON value, so that the connection can be reused.
type decoder struct{}

func (decoder) Decode(response *http.Response, result any) error {
	return json.NewDecoder(response.Body).Decode(result)
}

// String returns the name of the implementation.
func (l *Log) String() string { return "http " + l.Address }
