package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id     string
	status int
	// signature is that of the server, body the body of the answer.
	signature, body string
	sentAt          time.Time
	// took is the time until the complete answer or the end of the connection.
	took time.Duration
	err  error
}

// send sends one request on a new connection, with its id and deadline, and waits for the answer until patience is over.
func (w *world) send(balancer *balancer, id, method, path string, body []byte, deadline, patience time.Duration) result {
	r := result{id: id, sentAt: time.Now()}
	defer func() {
		r.took = time.Since(r.sentAt)
	}()
	w.mu.Lock()
	w.sent[id] = method + " " + path
	w.mu.Unlock()
	conn, err := net.DialTimeout("tcp", balancer.front, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer conn.Close()
	conn.SetDeadline(r.sentAt.Add(patience))
	go func() {
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n", method, path, id, deadline.Milliseconds(), len(body))
		conn.Write(body)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	r.status, r.signature, r.body, r.err = response.StatusCode, response.Header.Get("X-Server-Signature"), string(content), err
	r.took = time.Since(r.sentAt)
	return r
}

// String describes the result for the record.
func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("client: request %s: no complete answer after %d ms: %v", r.id, r.took.Milliseconds(), r.err)
	}
	return fmt.Sprintf("client: request %s: answer %d after %d ms: %q", r.id, r.status, r.took.Milliseconds(), r.body)
}
