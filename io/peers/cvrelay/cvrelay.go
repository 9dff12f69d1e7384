// Package cvrelay provides the contents of the platform's directories to balancers that cannot read them.
package cvrelay

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvboundedbody"
	"comfreyvale/io/balancers/cvtransport"
)

const (
	// recordsPath is the path of the directory records that a balancer has read recently.
	recordsPath  = "/records"
	snapshotPath = "/snapshot"
	// fetchTimeout limits a fetch, after which another balancer can be asked.
	fetchTimeout = time.Second
	// maxResponseBytes limits a response. A snapshot holds thousands of routes and upstreams.
	maxResponseBytes = 16 << 20
	mediaType        = "application/protobuf"
	// minCompressedBytes is the size from which responses are compressed: one packet.
	minCompressedBytes = 1400
)

// client is shared, so that its connections are used again.
var client = cvtransport.NewClient()

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Relay serves and fetches snapshots and directory records. It is safe for concurrent use.
type Relay struct {
	// Snapshot returns this balancer's snapshot for a requester whose configuration has version have.
	Snapshot func(have int64) *cvwire.Snapshot
	// Records returns the records of a directory, from a position on, that this balancer keeps.
	Records func(directory string, from comfreyvale.Position) *cvwire.DirectoryRecords
	// Logger logs responses that cannot be encoded. A Relay that only fetches needs none.
	Logger log.Interface

	mu sync.Mutex
	// lastDigest and lastCompressed are the digest and the compressed form of the response that was compressed last.
	lastDigest     uint64
	lastCompressed []byte
}

// ServeHTTP handles another balancer's request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var message proto.Message
	values := request.URL.Query()
	switch request.URL.Path {
	case snapshotPath:
		// A version that cannot be parsed counts as 0, so the response contains the configuration.
		have, _ := strconv.ParseInt(values.Get("have"), 10, 64)
		message = r.Snapshot(have)
	case recordsPath:
		// An offset that cannot be parsed counts as 0, for which no records are kept. Older balancers send no era.
		from, _ := strconv.ParseInt(values.Get("from"), 10, 64)
		era, _ := strconv.ParseInt(values.Get("era"), 10, 64)
		message = r.Records(values.Get("directory"), comfreyvale.NewPosition(era, from))
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	content, err := proto.Marshal(message)
	if err != nil {
		r.Logger.WithField("path", request.URL.Path).WithError(err).Error("response to another balancer cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	if len(content) >= minCompressedBytes && strings.Contains(request.Header.Get("Accept-Encoding"), "gzip") {
		compressed, err := r.compressed(content)
		if err != nil {
			r.Logger.WithField("path", request.URL.Path).WithError(err).Error("response to another balancer cannot be compressed")
		} else {
			w.Header().Set("Content-Encoding", "gzip")
			content = compressed
		}
	}
	// The status line was sent already. If the write fails, the requester asks another balancer.
	_, _ = w.Write(content)
}

type snapshotQuery struct {
	Have int64 `url:"have"`
}

type recordsQuery struct {
	Directory string `url:"directory"`
	From      int64  `url:"from"`
	Era       int64  `url:"era"`
}

// compressed returns the compressed content of a response. All balancers of a data centre ask for the same within some
// hundred milliseconds, so it is compressed once for them.
func (r *Relay) compressed(content []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := xxhash.Sum64(content)
	if r.lastCompressed != nil && digest == r.lastDigest {
		return r.lastCompressed, nil
	}
	var buffer bytes.Buffer
	compressor := gzip.NewWriter(&buffer)
	if _, err := compressor.Write(content); err != nil {
		return nil, fail("compress", comfreyvale.KindInvalid, err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fail("compress", comfreyvale.KindInvalid, err)
	}
	r.lastDigest, r.lastCompressed = digest, buffer.Bytes()
	return r.lastCompressed, nil
}

// FetchSnapshot fetches a snapshot from the balancer at an address of the form host:port. have is the version of this
// balancer's configuration.
func (r *Relay) FetchSnapshot(ctx context.Context, address string, have int64) (*cvwire.Snapshot, error) {
	snapshot := &cvwire.Snapshot{}
	return snapshot, get(ctx, address, snapshotPath, snapshotQuery{Have: have}, snapshot)
}

// FetchRecords fetches the records of a directory, from a position on, from the balancer at an address of the form
// host:port. The error has KindNotFound if that balancer does not keep them.
func (r *Relay) FetchRecords(ctx context.Context, address, directory string, from comfreyvale.Position) (*cvwire.DirectoryRecords, error) {
	records := &cvwire.DirectoryRecords{}
	if err := get(ctx, address, recordsPath, recordsQuery{Directory: directory, From: from.Offset(), Era: from.Era()}, records); err != nil {
		return nil, err
	}
	if !records.GetKept() {
		return nil, fail("fetch", comfreyvale.KindNotFound, errors.Errorf("records from offset %d of era %d on are not kept by the balancer", from.Offset(), from.Era()))
	}
	return records, nil
}

func get(ctx context.Context, address, path string, query any, message proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := sling.New().Base("http://" + address).Get(path).QueryStruct(query).Request()
	if err != nil {
		return fail("fetch", comfreyvale.KindInvalid, err)
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return fail("fetch", comfreyvale.KindUnavailable, err)
	}
	defer response.Body.Close()
	content, err := cvboundedbody.Read(response.Body, maxResponseBytes)
	if err != nil {
		return fail("fetch", comfreyvale.KindUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return fail("fetch", comfreyvale.KindUnavailable, errors.Errorf("status %d", response.StatusCode))
	}
	if err := proto.Unmarshal(content, message); err != nil {
		return fail("fetch", comfreyvale.KindInvalid, err)
	}
	return nil
}
