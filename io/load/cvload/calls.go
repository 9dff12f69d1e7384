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

// The attempt numbers of sendings that are no resends; those have lower ones.
const (
	twinAttempt   = 1003
	repeatAttempt = 1005
)

// make sends a call, and sends it again where the caller would.
func (l *Load) make(ctx context.Context, c call) {
	if c.double {
		twin := make(chan struct{})
		go func() {
			defer close(twin)
			l.attempt(ctx, c, twinAttempt)
		}()
		defer func() { <-twin }()
	}
	result := cvreport.Broken
	for attempt := range l.MaxResends + 1 {
		result = l.attempt(ctx, c, attempt)
		if result == cvreport.Answered || result == cvreport.Wrong {
			break
		}
	}
	l.add(c, result, time.Since(c.due))
	if c.repeat > 0 {
		time.Sleep(c.repeat)
		l.attempt(ctx, c, repeatAttempt)
	}
}

// attempt sends a call once and says what the caller was told.
func (l *Load) attempt(ctx context.Context, c call, attempt int) string {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	body := io.Reader(nil)
	if c.profile.Method != http.MethodGet {
		body = strings.NewReader(`{"lot":` + strconv.FormatUint(c.number, 10) + `}`)
	}
	request, err := http.NewRequestWithContext(ctx, c.profile.Method, "http://"+l.target(c, attempt)+c.path, body)
	if err != nil {
		return cvreport.Broken
	}
	request.Host = c.profile.Host
	tag := fmt.Sprintf("%s.%d", c.tag, attempt)
	request.Header.Set("X-Tag", tag)
	if c.key != "" {
		// net/http sends a request with the canonical name again by itself.
		request.Header["idempotency-key"] = []string{c.key}
	}
	response, err := l.client.Do(request)
	if err != nil {
		l.told(c, tag, cvreport.Broken, "")
		return cvreport.Broken
	}
	defer response.Body.Close()
	return l.judge(c, tag, response)
}

// judge reads an answer whole and checks that it is the call's own.
func (l *Load) judge(c call, tag string, response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	ran := response.Header.Get(cvheader.Ran)
	if err != nil {
		l.told(c, tag, cvreport.Broken, ran)
		return cvreport.Broken
	}
	if response.StatusCode != http.StatusOK {
		l.told(c, tag, cvreport.Refused, ran)
		l.cause(c, body)
		return cvreport.Refused
	}
	if !l.own(c, tag, body) {
		return cvreport.Wrong
	}
	l.told(c, tag, cvreport.Answered, "yes")
	return cvreport.Answered
}

// own says whether a body is the whole answer to this call and to no other.
func (l *Load) own(c call, tag string, body []byte) bool {
	if c.profile.Bytes > 0 {
		path, _, _ := strings.Cut(c.path, "?")
		return bytes.Equal(body, cvupstream.Content(path, c.profile.Bytes))
	}
	var answer struct {
		Tag string `json:"tag"`
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.Key != c.key {
		return false
	}
	// The answer to a resent order may be the one to an earlier try of the same order.
	return answer.Tag == tag || (c.key != "" && strings.HasPrefix(answer.Tag, c.tag+"."))
}

// told notes what the caller of a keyed call was told.
func (l *Load) told(c call, tag, result, ran string) {
	if c.key == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.AddOutcome(c.key, cvoutcome.New(tag, result, ran))
}

func (l *Load) cause(c call, body []byte) {
	var problem struct {
		Cause string `json:"cause"`
	}
	if json.Unmarshal(body, &problem) != nil || problem.Cause == "" {
		problem.Cause = "upstream's own"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.AddCause(c.profile.Name, problem.Cause)
}
