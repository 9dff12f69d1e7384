// Package cvhttplog is the client of the platform's log service over HTTP.
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
)

// answerTime is how long an answer may take beyond the time that a read waits for.
const answerTime = 5 * time.Second

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Log speaks to the log service at one address.
type Log struct {
	// Address is the service's base URL.
	Address string
	// Client sends the requests; nil takes http.DefaultClient.
	Client *http.Client
}

// appended is the answer to an append.
type appended struct {
	Offset int64 `json:"offset"`
}

// read is the answer to a read.
type read struct {
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
		client = http.DefaultClient
	}
	return sling.New().Client(client).Base(l.Address)
}

// Append adds a record to a stream and returns its offset.
func (l *Log) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	request, err := l.base().Post("/streams/" + url.PathEscape(stream) + "/records").Body(bytes.NewReader(body)).Request()
	if err != nil {
		return 0, fail("append", comfreyvale.KindInvalid, err)
	}
	var answer appended
	response, err := l.do(ctx, request, &answer)
	if err != nil {
		return 0, fail("append", appendKind(err), err)
	}
	switch {
	case response.StatusCode == http.StatusOK:
		return answer.Offset, nil
	case response.StatusCode == http.StatusServiceUnavailable:
		return 0, fail("append", comfreyvale.KindUnavailable, errors.New(response.Status))
	}
	return 0, fail("append", comfreyvale.KindUncertain, errors.New(response.Status))
}

// appendKind tells a record that was not sent from one whose answer is missing.
func appendKind(err error) comfreyvale.Kind {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return comfreyvale.KindUnavailable
	}
	return comfreyvale.KindUncertain
}

// Read returns the records from an offset on and waits for the first at most the given time.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (comfreyvale.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	query := readQuery{From: from, WaitMs: wait.Milliseconds()}
	request, err := l.base().Get("/streams/" + url.PathEscape(stream) + "/records").QueryStruct(&query).Request()
	if err != nil {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindInvalid, err)
	}
	var answer read
	response, err := l.do(ctx, request, &answer)
	if err != nil {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return comfreyvale.Batch{}, fail("read", comfreyvale.KindUnavailable, errors.New(response.Status))
	}
	var records []comfreyvale.Record
	for _, r := range answer.Records {
		records = append(records, comfreyvale.NewRecord(r.Offset, r.Body))
	}
	return comfreyvale.NewBatch(answer.First, answer.Next, records), nil
}

// do sends a request and decodes the answer of a success.
func (l *Log) do(ctx context.Context, request *http.Request, answer any) (*http.Response, error) {
	return l.base().ResponseDecoder(decoder{}).Do(request.WithContext(ctx), answer, nil)
}

// decoder reads JSON answers whole, so that their connections serve again.
type decoder struct{}

func (decoder) Decode(response *http.Response, answer any) error {
	return json.NewDecoder(response.Body).Decode(answer)
}

// String names the implementation.
func (l *Log) String() string { return "http " + l.Address }
