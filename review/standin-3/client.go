package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(name string) (*recorder, error) {
	file, err := os.Create(name)
	return &recorder{file: file, started: time.Now()}, err
}

func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

// result is what a client saw of one request.
type result struct {
	id     string
	status int
	signed string
	body   []byte
	err    error
	// took is the time from the last byte of the request to the end of the answer, or to when the client gave up.
	took time.Duration
}

// send sends one request on a new connection and waits for the answer until patience has passed after the last byte.
func send(front, method, target, host, id string, deadline, patience time.Duration, body []byte) result {
	found := result{id: id}
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		found.err = err
		return found
	}
	defer conn.Close()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n", method, target, host, id, deadline.Milliseconds(), len(body))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		found.err = err
		return found
	}
	sent := time.Now()
	defer func() { found.took = time.Since(sent) }()
	_ = conn.SetReadDeadline(sent.Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		found.err, found.took = err, time.Since(sent)
		return found
	}
	found.status, found.signed = response.StatusCode, response.Header.Get("X-Server-Signature")
	found.body, found.err = io.ReadAll(response.Body)
	found.took = time.Since(sent)
	return found
}

func (r result) String() string {
	switch {
	case errors.Is(r.err, os.ErrDeadlineExceeded):
		return fmt.Sprintf("no answer within %d ms", r.took.Milliseconds())
	case r.err != nil:
		return fmt.Sprintf("error after %d ms: %v", r.took.Milliseconds(), r.err)
	}
	return fmt.Sprintf("status %d after %d ms, signature %q", r.status, r.took.Milliseconds(), r.signed)
}
