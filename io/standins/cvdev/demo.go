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

const demoFileBytes = 3 << 20

type demoStep struct {
	name     string
	balancer int
	method   string
	host     string
	path     string
	key      string
	body     string
	check    func(response *http.Response, body []byte) error
}

// awaitReady fails with KindTimeout after startTimeout.
func (d *Dev) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, a := range d.adminAddresses {
		for !isReady(ctx, a) {
			if time.Now().After(deadline) {
				return fail("start", comfreyvale.KindTimeout, errors.Errorf("balancer at %s is not ready", a))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, admin string) bool {
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

// runDemo fails if a request fails, a response is wrong, or the order did not run exactly once.
func (d *Dev) runDemo(ctx context.Context) error {
	w := tabwriter.NewWriter(d.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nrequest\tbalancer\tstatus\tran\tupstream\ttime\tanswer")
	var wrong []string
	for _, s := range demoSteps() {
		if err := d.runStep(ctx, w, s); err != nil {
			wrong = append(wrong, s.name+": "+err.Error())
		}
	}
	if err := w.Flush(); err != nil {
		return fail("demo", comfreyvale.KindUnavailable, err)
	}
	runs := d.countRuns("demo-order")
	fmt.Fprintf(d.Out, "\nthe order with key demo-order ran %d time(s) on all upstreams together\n", runs)
	if runs != 1 {
		wrong = append(wrong, "the order did not run exactly once")
	}
	if len(wrong) > 0 {
		return fail("demo", comfreyvale.KindInvalid, errors.New(strings.Join(wrong, "; ")))
	}
	fmt.Fprintln(d.Out, "all answers are right")
	return nil
}

func (d *Dev) runStep(ctx context.Context, w io.Writer, s demoStep) error {
	request, err := http.NewRequestWithContext(ctx, s.method, "http://"+d.callerAddresses[s.balancer]+s.path, strings.NewReader(s.body))
	if err != nil {
		return err
	}
	request.Host = s.host
	request.Header.Set("X-Tag", s.name)
	if s.key != "" {
		request.Header.Set(cvheader.Key, s.key)
	}
	start := time.Now()
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
		response.Header.Get(cvheader.Upstream), time.Since(start).Round(100*time.Microsecond), summarize(body))
	return s.check(response, body)
}

// summarize returns the start of a body on one line, or only the length of a long body.
func summarize(body []byte) string {
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

func (d *Dev) countRuns(key string) int {
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

func demoSteps() []demoStep {
	const listings, documents = "listings.lanasur.example", "documents.lanasur.example"
	const ordering, drawings = "ordering.cedarstep.example", "drawings.cedarstep.example"
	sheet := fmt.Sprintf("/sheets/7?bytes=%d", demoFileBytes)
	drawing := fmt.Sprintf("/drawings/3?bytes=%d", demoFileBytes)
	order := `{"slots":2,"day":"2026-12-06"}`
	return []demoStep{
		{name: "lookup", method: "GET", host: listings, path: "/lots/12", check: wantTag("lookup")},
		{name: "lookup", balancer: 1, method: "GET", host: ordering, path: "/slots/4", check: wantTag("lookup")},
		{name: "order", method: "POST", host: ordering, path: "/orders", key: "demo-order", body: order, check: wantTag("order")},
		{name: "resend", balancer: 1, method: "POST", host: ordering, path: "/orders", key: "demo-order", body: order, check: wantReplayed("order")},
		{name: "other order, same key", method: "POST", host: ordering, path: "/orders", key: "demo-order", body: "{}", check: wantRefused(comfreyvale.CauseKeyReused)},
		{name: "sheet", method: "GET", host: documents, path: sheet, check: wantFile("/sheets/7")},
		{name: "drawing", balancer: 1, method: "GET", host: drawings, path: drawing, check: wantFile("/drawings/3")},
		{name: "order without key", method: "POST", host: ordering, path: "/orders", check: wantRefused(comfreyvale.CauseKeyRequired)},
		{name: "unknown host", balancer: 1, method: "GET", host: "nobody.example", path: "/", check: wantRefused(comfreyvale.CauseNoService)},
	}
}

func wantTag(tag string) func(*http.Response, []byte) error {
	return func(response *http.Response, body []byte) error {
		var answer struct {
			Tag string `json:"tag"`
		}
		if response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Tag != tag {
			return errors.New("the response does not belong to the request")
		}
		return nil
	}
}

func wantReplayed(tag string) func(*http.Response, []byte) error {
	return func(response *http.Response, body []byte) error {
		if response.Header.Get(cvheader.Replayed) != "true" {
			return errors.New("the response is not marked as replayed")
		}
		return wantTag(tag)(response, body)
	}
}

func wantFile(path string) func(*http.Response, []byte) error {
	return func(_ *http.Response, body []byte) error {
		if !bytes.Equal(body, cvupstream.FileContent(path, demoFileBytes)) {
			return errors.New("the file is incomplete or wrong")
		}
		return nil
	}
}

// wantRefused checks for a refusal with the given cause that says that the request did not run.
func wantRefused(cause comfreyvale.Cause) func(*http.Response, []byte) error {
	return func(response *http.Response, body []byte) error {
		var problem struct {
			Cause string `json:"cause"`
		}
		if json.Unmarshal(body, &problem) != nil || problem.Cause != string(cause) || response.Header.Get(cvheader.Ran) != "no" {
			return errors.Errorf("the response is not a refusal with cause %s of a request that did not run", cause)
		}
		return nil
	}
}
