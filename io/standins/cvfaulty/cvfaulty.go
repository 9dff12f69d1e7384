// Package cvfaulty is a stand-in for an upstream that answers wrongly on demand, down to the bytes on its connections.
package cvfaulty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"comfreyvale/core/cvheadernames"
)

// The ways to answer.
const (
	// ModeNormal answers rightly.
	ModeNormal = "whole"
	// ModeDuplicate sends a second answer to the same request at once.
	ModeDuplicate = "twice"
	// ModePreviousFirst sends the answer to the request before, and then the right one.
	ModePreviousFirst = "late"
	// ModeTruncate ends the connection in the middle of the body.
	ModeTruncate = "cut"
	// ModeNoResponse ends the connection without an answer, after the request has run.
	ModeNoResponse = "reset"
	// ModeMalformed sends bytes that are no answer.
	ModeMalformed = "garbage"
	// ModeNoLength answers without a length and ends the connection.
	ModeNoLength = "unframed"
	// ModeWrongID answers with another request's id.
	ModeWrongID = "stranger"
	// ModeCrash ends the whole upstream, as a crash does.
	ModeCrash = "dies"
	// ModeHang runs the request and never answers, until the connection ends.
	ModeHang = "silent"
	// ModeNotRun says that the request was not run.
	ModeNotRun = "refuses"
	// ModeServerError answers that it failed.
	ModeServerError = "fails"
	// ModeEarlyResponse answers before it has read the body.
	ModeEarlyResponse = "early"
	// ModeCloseAfterResponse answers rightly and ends the connection.
	ModeCloseAfterResponse = "closes"
)

// Upstream listens on a loopback port.
type Upstream struct {
	// ID names the instance; a request for another one is not run.
	ID string
	// HeaderNames names the headers.
	HeaderNames cvheadernames.Names
	// WorkTime is how long a request takes.
	WorkTime time.Duration

	mu       sync.Mutex
	mode     string
	once     bool
	listener net.Listener
	conns    map[net.Conn]bool
	opened   int
	ran      map[string]int
	bodies   map[string]string
	targets  map[string]string
	last     string
}

// Start listens and returns the address.
func (u *Upstream) Start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	u.listener = listener
	u.mode = ModeNormal
	u.conns, u.ran = make(map[net.Conn]bool), make(map[string]int)
	u.bodies, u.targets = make(map[string]string), make(map[string]string)
	go u.accept()
	return listener.Addr().String(), nil
}

// SetMode chooses how requests are answered from now on; once is for the next one alone.
func (u *Upstream) SetMode(mode string, once bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode, u.once = mode, once
}

// RunCount is how often a request ran.
func (u *Upstream) RunCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// TotalRuns is how many requests ran.
func (u *Upstream) TotalRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.ran {
		total += n
	}
	return total
}

// Received returns the target and the body of a request as they came.
func (u *Upstream) Received(id string) (target, body string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.targets[id], u.bodies[id]
}

// OpenedConnections is how many connections were opened.
func (u *Upstream) OpenedConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.opened
}

// OpenConnections is how many connections are open.
func (u *Upstream) OpenConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// Stop closes everything, as a crash does.
func (u *Upstream) Stop() {
	u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.Close()
	}
}

func (u *Upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[conn] = true
		u.opened++
		u.mu.Unlock()
		go u.serve(conn)
	}
}

func (u *Upstream) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !u.answer(conn, request) {
			return
		}
	}
}

func (u *Upstream) next() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	mode := u.mode
	if u.once {
		u.mode, u.once = ModeNormal, false
	}
	return mode
}

// answer answers one request and returns whether the connection goes on.
func (u *Upstream) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get(u.HeaderNames.RequestID)
	mode := u.next()
	if meant := request.Header.Get(u.HeaderNames.Instance); meant != "" && meant != u.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if mode == ModeNotRun {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", u.HeaderNames.NotRun)
		return true
	}
	if mode == ModeEarlyResponse {
		u.note(request, "")
		io.WriteString(conn, u.whole(id, "answer to "+id))
		_, err := io.Copy(io.Discard, request.Body)
		return err == nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	before := u.note(request, string(body))
	time.Sleep(u.WorkTime)
	if strings.Contains(request.RequestURI, "poison") {
		mode = ModeCrash
	}
	return u.send(conn, mode, id, before)
}

// note keeps what ran, and returns the id of the request before.
func (u *Upstream) note(request *http.Request, body string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := request.Header.Get(u.HeaderNames.RequestID)
	u.ran[id]++
	u.targets[id], u.bodies[id] = request.RequestURI, body
	before := u.last
	u.last = id
	return before
}

func (u *Upstream) send(conn net.Conn, mode, id, before string) bool {
	right := u.whole(id, "answer to "+id)
	switch mode {
	case ModeDuplicate:
		io.WriteString(conn, right+right)
	case ModePreviousFirst:
		io.WriteString(conn, u.whole(before, "answer to "+before)+right)
	case ModeTruncate:
		io.WriteString(conn, right[:len(right)-3])
		return false
	case ModeNoResponse:
		return false
	case ModeCrash:
		u.Stop()
		return false
	case ModeMalformed:
		io.WriteString(conn, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case ModeNoLength:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nanswer to %s", u.HeaderNames.RequestID, id, u.HeaderNames.Signature, id)
		return false
	case ModeWrongID:
		io.WriteString(conn, u.whole("stranger", "answer to a stranger"))
	case ModeHang:
		// Nothing more is read as a request, but the end of the connection is noticed.
		io.Copy(io.Discard, conn)
		return false
	case ModeServerError:
		io.WriteString(conn, strings.Replace(right, "200 OK", "500 Internal Server Error", 1))
	case ModeCloseAfterResponse:
		io.WriteString(conn, strings.Replace(right, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
		return false
	default:
		io.WriteString(conn, right)
	}
	return true
}

func (u *Upstream) whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s: 1,0,4,100\r\nContent-Length: %d\r\n\r\n%s",
		u.HeaderNames.RequestID, id, u.HeaderNames.Signature, u.HeaderNames.Load, len(body), body)
}
