package cvload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreyvale/io/cvheader"
	"comfreyvale/io/cvreport"
	"comfreyvale/io/cvupstream"
)

// make sends a call, and sends it again where the caller would.
func (l *Load) make(ctx context.Context, c call) {
	result := cvreport.Broken
	for attempt := range l.Resends + 1 {
		result = l.attempt(ctx, c, attempt)
		if result == cvreport.Answered || result == cvreport.Wrong {
			break
		}
	}
	l.add(c, result, time.Since(c.due))
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
	request.Header.Set("X-Tag", c.tag)
	if c.key != "" {
		// net/http sends a request with the canonical name again by itself.
		request.Header["idempotency-key"] = []string{c.key}
	}
	response, err := l.client.Do(request)
	if err != nil {
		l.told(c, cvreport.Broken, "")
		return cvreport.Broken
	}
	defer response.Body.Close()
	return l.judge(c, response)
}

// judge reads an answer whole and checks that it is the call's own.
func (l *Load) judge(c call, response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	ran := response.Header.Get(cvheader.Ran)
	if err != nil {
		l.told(c, cvreport.Broken, ran)
		return cvreport.Broken
	}
	if response.StatusCode != http.StatusOK {
		l.told(c, cvreport.Refused, ran)
		l.cause(c, body)
		return cvreport.Refused
	}
	if !l.own(c, body) {
		return cvreport.Wrong
	}
	l.told(c, cvreport.Answered, "yes")
	return cvreport.Answered
}

// own says whether a body is the whole answer to this call and to no other.
func (l *Load) own(c call, body []byte) bool {
	if c.profile.Bytes > 0 {
		path, _, _ := strings.Cut(c.path, "?")
		return bytes.Equal(body, cvupstream.Content(path, c.profile.Bytes))
	}
	var answer struct {
		Tag string `json:"tag"`
		Key string `json:"key"`
	}
	return json.Unmarshal(body, &answer) == nil && answer.Tag == c.tag && answer.Key == c.key
}

// told notes what the caller of a keyed call was told.
func (l *Load) told(c call, result, ran string) {
	if c.key == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Tell(c.key, result, ran)
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
	l.report.Cause(c.profile.Name, problem.Cause)
}
