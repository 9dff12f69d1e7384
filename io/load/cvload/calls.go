package cvload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/load/cvoutcome"
	"comfreyvale/io/load/cvreport"
	"comfreyvale/io/standins/cvupstream"
)

// Attempt numbers of the duplicate and the repeat of a call. Resends have lower numbers, so tags stay unique.
const (
	duplicateAttempt = 1003
	repeatAttempt    = 1005
)

// send sends all requests of a call: the first one, resends, the duplicate and the repeat.
func (g *Generator) send(ctx context.Context, c call) {
	if c.duplicate {
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.attempt(ctx, c, duplicateAttempt)
		}()
		defer func() { <-done }()
	}
	result := cvreport.Broken
	for attempt := range g.MaxResends + 1 {
		result = g.attempt(ctx, c, attempt)
		if result == cvreport.Answered || result == cvreport.Wrong {
			break
		}
	}
	g.countCall(c, result, time.Since(c.due))
	if c.repeatAfter > 0 {
		time.Sleep(c.repeatAfter)
		g.attempt(ctx, c, repeatAttempt)
	}
}

// attempt sends one request of a call and returns a result of cvreport.
func (g *Generator) attempt(ctx context.Context, c call, attempt int) string {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	body := io.Reader(nil)
	if c.profile.Method != http.MethodGet {
		body = strings.NewReader(`{"lot":` + strconv.FormatUint(c.number, 10) + `}`)
	}
	request, err := http.NewRequestWithContext(ctx, c.profile.Method, "http://"+g.target(c, attempt)+c.path, body)
	if err != nil {
		return cvreport.Broken
	}
	request.Host = c.profile.Host
	tag := fmt.Sprintf("%s.%d", c.tag, attempt)
	request.Header.Set("X-Tag", tag)
	if c.key != "" {
		// The name is in lower case because net/http itself retries requests with the canonical name Idempotency-Key.
		request.Header["idempotency-key"] = []string{c.key}
	}
	response, err := g.client.Do(request)
	if err != nil {
		g.addOutcome(c, tag, cvreport.Broken, "")
		return cvreport.Broken
	}
	defer response.Body.Close()
	return g.checkResponse(c, tag, response)
}

func (g *Generator) checkResponse(c call, tag string, response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	ran := response.Header.Get(cvheader.Ran)
	if err != nil {
		g.addOutcome(c, tag, cvreport.Broken, ran)
		return cvreport.Broken
	}
	if response.StatusCode != http.StatusOK {
		g.addOutcome(c, tag, cvreport.Refused, ran)
		g.addCause(c, body)
		return cvreport.Refused
	}
	if !g.isOwnResponse(c, tag, body) {
		return cvreport.Wrong
	}
	g.addOutcome(c, tag, cvreport.Answered, "yes")
	return cvreport.Answered
}

// isOwnResponse reports whether a body is the complete response to the call, and not to another one.
func (g *Generator) isOwnResponse(c call, tag string, body []byte) bool {
	if c.profile.Bytes > 0 {
		path, _, _ := strings.Cut(c.path, "?")
		return bytes.Equal(body, cvupstream.FileContent(path, c.profile.Bytes))
	}
	var answer struct {
		Tag string `json:"tag"`
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.Key != c.key {
		return false
	}
	// A resent request may get the response to an earlier attempt with the same key.
	return answer.Tag == tag || (c.key != "" && strings.HasPrefix(answer.Tag, c.tag+"."))
}

func (g *Generator) addOutcome(c call, tag, result, ran string) {
	if c.key == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.AddOutcome(c.key, cvoutcome.New(tag, result, ran))
}

func (g *Generator) addCause(c call, body []byte) {
	var problem struct {
		Cause string `json:"cause"`
	}
	if json.Unmarshal(body, &problem) != nil || problem.Cause == "" {
		problem.Cause = "upstream's own"
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.AddCause(c.profile.Name, problem.Cause)
}
