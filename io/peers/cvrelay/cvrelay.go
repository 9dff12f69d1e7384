// Package cvrelay hands what a balancer read from the platform's directories on to balancers that cannot read them.
package cvrelay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvwire"
)

const (
	// recordsPath is where a balancer offers the records that it read of late.
	recordsPath = "/records"
	// snapshotPath is where a balancer offers what it knows.
	snapshotPath = "/snapshot"
	// fetchTime is how long a fetch may take; other balancers can be asked after it.
	fetchTime = time.Second
	// maxSnapshotBytes bounds a snapshot: thousands of routes and upstreams.
	maxSnapshotBytes = 16 << 20
	// mediaType is the type of a snapshot.
	mediaType = "application/protobuf"
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Relay offers and fetches snapshots.
type Relay struct {
	// Snapshot returns what this balancer knows, for one that has the configuration of a version.
	Snapshot func(have int64) *cvwire.Snapshot
	// Records returns the records of a directory from an offset on that this balancer keeps.
	Records func(directory string, from int64) *cvwire.DirectoryRecords
}

// ServeHTTP answers another balancer.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var message proto.Message
	values := request.URL.Query()
	switch request.URL.Path {
	case snapshotPath:
		// A version that cannot be read is taken for none, and gets the configuration once too often.
		have, _ := strconv.ParseInt(values.Get("have"), 10, 64)
		message = r.Snapshot(have)
	case recordsPath:
		// An offset that cannot be read is taken for the first, of which nothing is kept.
		from, _ := strconv.ParseInt(values.Get("from"), 10, 64)
		message = r.Records(values.Get("directory"), from)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	content, err := proto.Marshal(message)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	// The status line is out; a balancer that is gone asks another one.
	_, _ = w.Write(content)
}

// snapshotQuery is what a fetch of a snapshot asks for.
type snapshotQuery struct {
	Have int64 `url:"have"`
}

// recordsQuery is what a fetch of records asks for.
type recordsQuery struct {
	Directory string `url:"directory"`
	From      int64  `url:"from"`
}

// Fetch asks the balancer at host:port for what it knows.
func (r *Relay) Fetch(ctx context.Context, address string, have int64) (*cvwire.Snapshot, error) {
	snapshot := &cvwire.Snapshot{}
	return snapshot, get(ctx, address, snapshotPath, snapshotQuery{Have: have}, snapshot)
}

// FetchRecords asks the balancer at host:port for the records of a directory from an offset on. Without them the error has KindNotFound.
func (r *Relay) FetchRecords(ctx context.Context, address, directory string, from int64) (*cvwire.DirectoryRecords, error) {
	records := &cvwire.DirectoryRecords{}
	if err := get(ctx, address, recordsPath, recordsQuery{Directory: directory, From: from}, records); err != nil {
		return nil, err
	}
	if !records.GetKept() {
		return nil, fail("fetch", comfreyvale.KindNotFound, errors.Errorf("records from %d on are not kept there", from))
	}
	return records, nil
}

// get makes one request and reads the message that answers it.
func get(ctx context.Context, address, path string, query any, message proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	request, err := sling.New().Base("http://" + address).Get(path).QueryStruct(query).Request()
	if err != nil {
		return fail("fetch", comfreyvale.KindInvalid, err)
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return fail("fetch", comfreyvale.KindUnavailable, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxSnapshotBytes))
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
