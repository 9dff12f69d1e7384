// Package cvadminclient implements a client of the HTTP API that balancers offer to operators.
package cvadminclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvstatus"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvboundedbody"
	"comfreyvale/io/balancers/cvtransport"
)

const (
	requestTimeout = 2 * time.Second
	// maxResponseBytes limits a response. A checkpoint holds all services of a deployment.
	maxResponseBytes = 32 << 20
	// pollInterval is the time between two status requests to a balancer.
	pollInterval = 50 * time.Millisecond
)

var (
	// client is shared, so that its connections are used again.
	client  = cvtransport.NewClient()
	decoder = cvboundedbody.Decoder{Limit: maxResponseBytes}
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Client sends requests to balancers. It is safe for concurrent use.
type Client struct {
	// VMList lists the balancers with their addresses for operators.
	VMList comfreyvale.VMList
	// Group is the group of the balancers in the VM list.
	Group string
	// Addresses replaces the VM list if it is not empty.
	Addresses []string
}

// Balancers returns the balancers at Addresses or, if that is empty, those in the VM list that are not leaving.
func (c *Client) Balancers(ctx context.Context) ([]comfreyvale.VM, error) {
	var found []comfreyvale.VM
	for _, a := range c.Addresses {
		found = append(found, comfreyvale.NewVM(a, c.Group, "", a, false))
	}
	if len(found) > 0 {
		return found, nil
	}
	vms, err := c.VMList.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, v := range vms {
		if v.Group() == c.Group && !v.Leaving() {
			found = append(found, v)
		}
	}
	return found, nil
}

// Status returns the status of the balancer at an address.
func (c *Client) Status(ctx context.Context, address string) (cvstatus.Status, error) {
	var s cvstatus.Status
	err := c.get(ctx, address, "/status", func(r *http.Response) error { return decoder.Decode(r, &s) })
	return s, err
}

// Explain returns the recorded decisions, as JSON objects, about a request ID, an upstream or a service.
func (c *Client) Explain(ctx context.Context, address, subject string) ([]map[string]any, error) {
	var found []map[string]any
	path := "/explain?subject=" + url.QueryEscape(subject)
	err := c.get(ctx, address, path, func(r *http.Response) error { return decoder.Decode(r, &found) })
	return found, err
}

// Checkpoint returns the checkpoint of the balancer that has applied the most configuration records. Balancers that do
// not respond are ignored.
func (c *Client) Checkpoint(ctx context.Context) (*cvwire.Checkpoint, error) {
	balancers, err := c.Balancers(ctx)
	if err != nil {
		return nil, err
	}
	var best *cvwire.Checkpoint
	for _, b := range balancers {
		checkpoint := &cvwire.Checkpoint{}
		err := c.get(ctx, b.Address(), "/configuration", func(r *http.Response) error { return readProto(r.Body, checkpoint) })
		if err == nil && checkpoint.GetThrough() > best.GetThrough() {
			best = checkpoint
		}
	}
	if best == nil {
		return nil, fail("configuration", comfreyvale.KindUnavailable, errors.New("no balancer returned a configuration"))
	}
	return best, nil
}

func readProto(body io.Reader, message proto.Message) error {
	content, err := cvboundedbody.Read(body, maxResponseBytes)
	if err != nil {
		return err
	}
	return proto.Unmarshal(content, message)
}

// get passes the response to read only if its status is 200.
func (c *Client) get(ctx context.Context, address, path string, read func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := sling.New().Base("http://" + address).Get(path).Request()
	if err != nil {
		return fail("ask", comfreyvale.KindInvalid, err)
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return fail("ask", comfreyvale.KindUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fail("ask", comfreyvale.KindUnavailable, errors.New(response.Status))
	}
	if err := read(response); err != nil {
		return fail("ask", comfreyvale.KindInvalid, err)
	}
	return nil
}

// AwaitGeneration waits until the given generation or a later one is in force at every balancer. For each balancer it
// writes to out the time since start, or that the generation is not in force. The error has KindTimeout if a balancer
// does not have the generation in force after wait.
func (c *Client) AwaitGeneration(ctx context.Context, generation int64, start time.Time, wait time.Duration, out io.Writer) error {
	balancers, err := c.Balancers(ctx)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(wait)
	var late []string
	for _, b := range balancers {
		if !c.awaitBalancer(ctx, b, generation, deadline) {
			late = append(late, b.Name())
			fmt.Fprintf(out, "%s: not in force\n", b.Name())
			continue
		}
		fmt.Fprintf(out, "%s: in force, seen after %s\n", b.Name(), time.Since(start).Round(time.Millisecond))
	}
	if len(late) > 0 {
		return fail("await", comfreyvale.KindTimeout, errors.Errorf("not in force on %s", strings.Join(late, ", ")))
	}
	return nil
}

func (c *Client) awaitBalancer(ctx context.Context, b comfreyvale.VM, generation int64, deadline time.Time) bool {
	for ctx.Err() == nil {
		s, err := c.Status(ctx, b.Address())
		if err == nil && s.Generation >= generation {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return false
}
