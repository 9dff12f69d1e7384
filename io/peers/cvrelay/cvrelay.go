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
}

// ServeHTTP answers another balancer.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != snapshotPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// A version that cannot be read is taken for none, and gets the configuration once too often.
	have, _ := strconv.ParseInt(request.URL.Query().Get("have"), 10, 64)
	content, err := proto.Marshal(r.Snapshot(have))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	// The status line is out; a balancer that is gone asks another one.
	_, _ = w.Write(content)
}

// query is what a fetch asks for.
type query struct {
	Have int64 `url:"have"`
}

// Fetch asks the balancer at host:port for what it knows.
func (r *Relay) Fetch(ctx context.Context, address string, have int64) (*cvwire.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	request, err := sling.New().Base("http://" + address).Get(snapshotPath).QueryStruct(query{Have: have}).Request()
	if err != nil {
		return nil, fail("fetch", comfreyvale.KindInvalid, err)
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return nil, fail("fetch", comfreyvale.KindUnavailable, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxSnapshotBytes))
	if err != nil {
		return nil, fail("fetch", comfreyvale.KindUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fail("fetch", comfreyvale.KindUnavailable, errors.Errorf("status %d", response.StatusCode))
	}
	snapshot := &cvwire.Snapshot{}
	if err := proto.Unmarshal(content, snapshot); err != nil {
		return nil, fail("fetch", comfreyvale.KindInvalid, err)
	}
	return snapshot, nil
}
