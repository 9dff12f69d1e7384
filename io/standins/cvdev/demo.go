package cvdev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/standins/cvupstream"
)

// demoFileBytes is the size of the file that is downloaded.
const demoFileBytes = 3 << 20

// step is one request of the demonstration and what must come back.
type step struct {
	name     string
	balancer int
	method   string
	host     string
	path     string
	key      string
	body     string
	check    func(response *http.Response, body []byte) error
}

// awaitReady waits until both balancers take calls.
func (d *Dev) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(startTime)
	for _, a := range d.admins {
		for !ready(ctx, a) {
			if time.Now().After(limit) {
				return fail("start", comfreyvale.KindTimeout, errors.Errorf("balancer at %s is not ready", a))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func ready(ctx context.Context, admin string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// demonstrate sends each step's request, prints the answers, and fails if any is wrong.
func (d *Dev) demonstrate(ctx context.Context) error {
	w := tabwriter.NewWriter(d.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nrequest\tbalancer\tstatus\tran\tupstream\ttime\tanswer")
	var wrong []string
	for _, s := range demoSteps() {
		if err := d.take(ctx, w, s); err != nil {
			wrong = append(wrong, s.name+": "+err.Error())
		}
	}
	if err := w.Flush(); err != nil {
		return fail("demo", comfreyvale.KindUnavailable, err)
	}
	runs := d.runsOf("demo-order")
	fmt.Fprintf(d.Out, "\nthe order with key demo-order ran %d time(s) on all upstreams together\n", runs)
	if runs != 1 {
		wrong = append(wrong, "the order must have run once")
	}
	if len(wrong) > 0 {
		return fail("demo", comfreyvale.KindInvalid, errors.New(strings.Join(wrong, "; ")))
	}
	fmt.Fprintln(d.Out, "all answers are right")
	return nil
}

func (d *Dev) take(ctx context.Context, w io.Writer, s step) error {
	request, err := http.NewRequestWithContext(ctx, s.method, "http://"+d.callers[s.balancer]+s.path, strings.NewReader(s.body))
	if err != nil {
		return err
	}
	request.Host = s.host
	request.Header.Set("X-Tag", s.name)
	if s.key != "" {
		request.Header.Set(cvheader.Key, s.key)
	}
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	ran := response.Header.Get(cvheader.Ran)
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", s.name, s.balancer+1, response.StatusCode, ran,
		response.Header.Get(cvheader.Upstream), time.Since(began).Round(100*time.Microsecond), summary(body))
	return s.check(response, body)
}

func summary(body []byte) string {
	const shown = 90
	text := strings.Join(strings.Fields(string(body[:min(len(body), 4*shown)])), " ")
	if len(body) > 4*shown {
		return fmt.Sprintf("%d bytes, content checked", len(body))
	}
	if len(text) > shown {
		return text[:shown] + "..."
	}
	return text
}

// runsOf counts how often a key ran on any upstream.
func (d *Dev) runsOf(key string) int {
	runs := 0
	for _, g := range d.groups {
		for _, u := range g.Upstreams() {
			for _, r := range u.Runs() {
				if r.Key == key {
					runs++
				}
			}
		}
	}
	return runs
}

func demoSteps() []step {
	const listings, documents = "listings.lanasur.example", "documents.lanasur.example"
	const ordering, drawings = "ordering.cedarstep.example", "drawings.cedarstep.example"
	sheet := fmt.Sprintf("/sheets/7?bytes=%d", demoFileBytes)
	drawing := fmt.Sprintf("/drawings/3?bytes=%d", demoFileBytes)
	order := `{"slots":2,"day":"2026-12-06"}`
	return []step{
		{name: "lookup", method: "GET", host: listings, path: "/lots/12", check: own("lookup")},
		{name: "lookup", balancer: 1, method: "GET", host: ordering, path: "/slots/4", check: own("lookup")},
		{name: "order", method: "POST", host: ordering, path: "/orders", key: "demo-order", body: order, check: own("order")},
		{name: "resend", balancer: 1, method: "POST", host: ordering, path: "/orders", key: "demo-order", body: order, check: replayed("order")},
		{name: "other order, same key", method: "POST", host: ordering, path: "/orders", key: "demo-order", body: "{}", check: refused(comfreyvale.CauseKeyReused)},
		{name: "sheet", method: "GET", host: documents, path: sheet, check: content("/sheets/7")},
		{name: "drawing", balancer: 1, method: "GET", host: drawings, path: drawing, check: content("/drawings/3")},
		{name: "order without key", method: "POST", host: ordering, path: "/orders", check: refused(comfreyvale.CauseKeyRequired)},
		{name: "unknown host", balancer: 1, method: "GET", host: "nobody.example", path: "/", check: refused(comfreyvale.CauseNoService)},
	}
}

// own wants the answer that carries the request's own tag.
func own(tag string) func(*http.Response, []byte) error {
	return func(response *http.Response, body []byte) error {
		var answer struct {
			Tag string `json:"tag"`
		}
		if response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Tag != tag {
			return errors.New("the answer is not the request's own")
		}
		return nil
	}
}

// replayed wants the first answer again.
func replayed(tag string) func(*http.Response, []byte) error {
	return func(response *http.Response, body []byte) error {
		if response.Header.Get(cvheader.Replayed) != "true" {
			return errors.New("the answer is not marked as replayed")
		}
		return own(tag)(response, body)
	}
}

// content wants a whole file.
func content(path string) func(*http.Response, []byte) error {
	return func(_ *http.Response, body []byte) error {
		if !bytes.Equal(body, cvupstream.FileContent(path, demoFileBytes)) {
			return errors.New("the file is not whole")
		}
		return nil
	}
}

// refused wants a refusal with a cause, of a request that did not run.
func refused(cause comfreyvale.Cause) func(*http.Response, []byte) error {
	return func(response *http.Response, body []byte) error {
		var problem struct {
			Cause string `json:"cause"`
		}
		if json.Unmarshal(body, &problem) != nil || problem.Cause != string(cause) || response.Header.Get(cvheader.Ran) != "no" {
			return errors.Errorf("the refusal does not name cause %s and that the request did not run", cause)
		}
		return nil
	}
}
