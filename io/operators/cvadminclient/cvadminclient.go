// Package cvadminclient is the operators' client of the balancers.
package cvadminclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"encoding/json"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvstatus"
	"comfreyvale/core/cvwire"
)

const (
	// answerTime is how long a balancer may take to answer.
	answerTime = 2 * time.Second
	// pollTime is the time between two looks at a balancer.
	pollTime = 50 * time.Millisecond
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Client asks the balancers of the VM list, or those at given addresses.
type Client struct {
	// VMList names the balancers; their addresses there are those for operators.
	VMList comfreyvale.VMList
	// Group is the balancers' group in the list.
	Group string
	// Addresses are asked instead of the list's, if there are any.
	Addresses []string
}

// Balancers returns the addresses of the live balancers, by name.
func (o *Client) Balancers(ctx context.Context) ([]comfreyvale.VM, error) {
	var found []comfreyvale.VM
	for _, a := range o.Addresses {
		found = append(found, comfreyvale.NewVM(a, o.Group, "", a, false))
	}
	if len(found) > 0 {
		return found, nil
	}
	vms, err := o.VMList.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, v := range vms {
		if v.Group() == o.Group && !v.Leaving() {
			found = append(found, v)
		}
	}
	return found, nil
}

// Status asks one balancer for its status.
func (o *Client) Status(ctx context.Context, address string) (cvstatus.Status, error) {
	var s cvstatus.Status
	err := o.get(ctx, address, "/status", func(r *http.Response) error { return json.NewDecoder(r.Body).Decode(&s) })
	return s, err
}

// Explain asks one balancer for the decisions about a subject, as JSON objects.
func (o *Client) Explain(ctx context.Context, address, subject string) ([]map[string]any, error) {
	var found []map[string]any
	path := "/explain?subject=" + url.QueryEscape(subject)
	err := o.get(ctx, address, path, func(r *http.Response) error { return json.NewDecoder(r.Body).Decode(&found) })
	return found, err
}

// Checkpoint returns the configuration that reaches furthest among the balancers.
func (o *Client) Checkpoint(ctx context.Context) (*cvwire.Checkpoint, error) {
	balancers, err := o.Balancers(ctx)
	if err != nil {
		return nil, err
	}
	var best *cvwire.Checkpoint
	for _, b := range balancers {
		c := &cvwire.Checkpoint{}
		err := o.get(ctx, b.Address(), "/configuration", func(r *http.Response) error { return readProto(r.Body, c) })
		if err == nil && c.GetThrough() > best.GetThrough() {
			best = c
		}
	}
	if best == nil {
		return nil, fail("configuration", comfreyvale.KindUnavailable, errors.New("no balancer answered"))
	}
	return best, nil
}

func readProto(body io.Reader, message proto.Message) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return proto.Unmarshal(content, message)
}

func (o *Client) get(ctx context.Context, address, path string, read func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	request, err := sling.New().Base("http://" + address).Get(path).Request()
	if err != nil {
		return fail("ask", comfreyvale.KindInvalid, err)
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
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

// AwaitGeneration waits until each balancer of the list has a generation in force, and reports each one's time.
func (o *Client) AwaitGeneration(ctx context.Context, generation int64, since time.Time, wait time.Duration, out io.Writer) error {
	balancers, err := o.Balancers(ctx)
	if err != nil {
		return err
	}
	limit := time.Now().Add(wait)
	var late []string
	for _, b := range balancers {
		if !o.awaitOne(ctx, b, generation, limit) {
			late = append(late, b.Name())
			fmt.Fprintf(out, "%s: not in force\n", b.Name())
			continue
		}
		fmt.Fprintf(out, "%s: in force, seen after %s\n", b.Name(), time.Since(since).Round(time.Millisecond))
	}
	if len(late) > 0 {
		return fail("await", comfreyvale.KindTimeout, errors.Errorf("not in force on %s", strings.Join(late, ", ")))
	}
	return nil
}

func (o *Client) awaitOne(ctx context.Context, b comfreyvale.VM, generation int64, limit time.Time) bool {
	for ctx.Err() == nil {
		s, err := o.Status(ctx, b.Address())
		if err == nil && s.Generation >= generation {
			return true
		}
		if time.Now().After(limit) {
			return false
		}
		time.Sleep(pollTime)
	}
	return false
}
