// Package cvfaulty implements a stand-in for an upstream that sends faulty or malformed responses on demand.
package cvfaulty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"comfreyvale/core/cvheadernames"
)

// The modes in which an upstream responds.
const (
	// ModeNormal sends a complete and correct response.
	ModeNormal = "whole"
	// ModeDuplicate sends the response twice in one write.
	ModeDuplicate = "twice"
	// ModePreviousFirst sends the response to the previous request first, followed by the correct one.
	ModePreviousFirst = "late"
	// ModeTruncate closes the connection before the end of the response body.
	ModeTruncate = "cut"
	// ModeNoResponse runs the request and closes the connection without a response.
	ModeNoResponse = "reset"
	// ModeMalformed sends bytes that are not an HTTP response and closes the connection.
	ModeMalformed = "garbage"
	// ModeNoLength sends a response without a length and closes the connection.
	ModeNoLength = "unframed"
	// ModeWrongID sends a response with the id of another request.
	ModeWrongID = "stranger"
	// ModeCrash runs the request and stops the upstream. A request whose target contains "poison" has the same effect
	// in all modes but those that run nothing and ModeEarlyResponse.
	ModeCrash = "dies"
	// ModeHang runs the request and sends no response until the client closes the connection.
	ModeHang = "silent"
	// ModeNotRun rejects the request without running it.
	ModeNotRun = "refuses"
	// ModeNotRunRepeated rejects the request without running it. It sends the rejection once more, where the next
	// response on the connection is expected.
	ModeNotRunRepeated = "refuses twice"
	// ModeMisdirectedRepeated is like ModeNotRunRepeated with status 421.
	ModeMisdirectedRepeated = "misdirects twice"
	// ModeServerError runs the request and responds with status 500.
	ModeServerError = "fails"
	// ModeEarlyResponse sends the response before it has read the request body.
	ModeEarlyResponse = "early"
	// ModeCloseAfterResponse sends a correct response and closes the connection.
	ModeCloseAfterResponse = "closes"
	// ModeStatus, followed by the text of a status, runs the request and sends a response with this status. Its body is a
	// correct response to the request.
	ModeStatus = "status "
)

// Upstream is an HTTP/1.1 server on a loopback port. Set the exported fields before Start. The methods other than Start
// are safe for concurrent use.
type Upstream struct {
	// ID is the id of this instance. Requests addressed to another instance are not run and get status 421.
	ID string
	// HeaderNames holds the names of the headers that the upstream uses.
	HeaderNames cvheadernames.Names
	// WorkTime is the time from the receipt of a complete request to its response.
	WorkTime time.Duration

	mu       sync.Mutex
	mode     string
	once     bool
	listener net.Listener
	conns    map[net.Conn]bool
	// late holds what is sent before the next response of a connection.
	late          map[net.Conn]string
	acceptedConns int
	runsByID      map[string]int
	bodies        map[string]string
	targets       map[string]string
	headers       map[string][]http.Header
	lastID        string
	limit         string
	arrivals      []time.Time
	warmUntil     time.Time
}

// Start starts to listen and returns the address.
func (u *Upstream) Start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	u.listener = listener
	u.mode = ModeNormal
	u.conns, u.late, u.runsByID = make(map[net.Conn]bool), make(map[net.Conn]string), make(map[string]int)
	u.bodies, u.targets = make(map[string]string), make(map[string]string)
	go u.accept()
	return listener.Addr().String(), nil
}

// SetMode sets the mode of further responses. If once is set, the mode applies to the next request only.
func (u *Upstream) SetMode(mode string, once bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode, u.once = mode, once
}

// SetLimit sets the value of the request limit in further responses; they name none if it is empty.
func (u *Upstream) SetLimit(value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = value
}

// SetWarmUp makes responses to health checks, which carry no id, tell the time until the upstream has warmed up.
func (u *Upstream) SetWarmUp(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.warmUntil = until
}

// warmUpHeader returns the header line with the remaining warm-up time for a health check, or nothing.
func (u *Upstream) warmUpHeader(id string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != "" || u.warmUntil.IsZero() {
		return ""
	}
	return fmt.Sprintf("%s: %d\r\n", u.HeaderNames.WarmUp, max(time.Until(u.warmUntil), 0).Milliseconds())
}

// Arrivals returns when each request arrived, in order, health checks and rejected requests included.
func (u *Upstream) Arrivals() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

// limitHeader returns the header line with the request limit, or nothing.
func (u *Upstream) limitHeader() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit == "" {
		return ""
	}
	return fmt.Sprintf("%s: %s\r\n", u.HeaderNames.Limit, u.limit)
}

// RunCount returns how often the request with the given id ran.
func (u *Upstream) RunCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runsByID[id]
}

// TotalRuns returns the number of runs of all requests.
func (u *Upstream) TotalRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.runsByID {
		total += n
	}
	return total
}

// Received returns the target and the body of the request with the given id.
func (u *Upstream) Received(id string) (target, body string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.targets[id], u.bodies[id]
}

// AcceptedConnections returns the number of connections accepted so far, closed ones included.
func (u *Upstream) AcceptedConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.acceptedConns
}

// OpenConnections returns the number of open connections.
func (u *Upstream) OpenConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// Stop closes the listener and all connections at once, as a crash does.
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
		u.acceptedConns++
		u.mu.Unlock()
		go u.serve(conn)
	}
}

func (u *Upstream) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		u.mu.Lock()
		delete(u.conns, conn)
		delete(u.late, conn)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !u.handle(conn, request) {
			return
		}
	}
}

// nextMode records the arrival of a request and returns its mode.
func (u *Upstream) nextMode() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = append(u.arrivals, time.Now())
	mode := u.mode
	if u.once {
		u.mode, u.once = ModeNormal, false
	}
	return mode
}

// handle reports whether the connection stays open.
func (u *Upstream) handle(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get(u.HeaderNames.RequestID)
	u.recordHeader(id, request.Header)
	io.WriteString(conn, u.takeLate(conn))
	mode := u.nextMode()
	if instance := request.Header.Get(u.HeaderNames.Instance); instance != "" && instance != u.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if rejection := u.rejection(mode); rejection != "" {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
		io.WriteString(conn, rejection)
		if mode != ModeNotRun {
			u.mu.Lock()
			u.late[conn] = rejection
			u.mu.Unlock()
		}
		return true
	}
	if mode == ModeEarlyResponse {
		u.recordRun(request, "")
		io.WriteString(conn, u.formatResponse(id, "answer to "+id))
		_, err := io.Copy(io.Discard, request.Body)
		return err == nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	previous := u.recordRun(request, string(body))
	time.Sleep(u.WorkTime)
	if strings.Contains(request.RequestURI, "poison") {
		mode = ModeCrash
	}
	return u.writeResponse(conn, mode, id, previous)
}

func (u *Upstream) recordHeader(id string, header http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.headers == nil {
		u.headers = make(map[string][]http.Header)
	}
	u.headers[id] = append(u.headers[id], header)
}

// Headers returns the headers of all requests with an id, those that were not run included.
func (u *Upstream) Headers(id string) []http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.headers[id])
}

// takeLate returns and forgets what is sent before the next response of a connection.
func (u *Upstream) takeLate(conn net.Conn) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	late := u.late[conn]
	delete(u.late, conn)
	return late
}

// rejection returns the response of the modes that run nothing, or nothing.
func (u *Upstream) rejection(mode string) string {
	switch mode {
	case ModeNotRun, ModeNotRunRepeated:
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", u.HeaderNames.NotRun, u.limitHeader())
	case ModeMisdirectedRepeated:
		return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	}
	return ""
}

// recordRun returns the id of the request that ran before this one.
func (u *Upstream) recordRun(request *http.Request, body string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := request.Header.Get(u.HeaderNames.RequestID)
	u.runsByID[id]++
	u.targets[id], u.bodies[id] = request.RequestURI, body
	previous := u.lastID
	u.lastID = id
	return previous
}

// writeResponse reports whether the connection stays open. previous is the id of the previous request.
func (u *Upstream) writeResponse(conn net.Conn, mode, id, previous string) bool {
	response := u.formatResponse(id, "answer to "+id)
	if status, ok := strings.CutPrefix(mode, ModeStatus); ok {
		io.WriteString(conn, strings.Replace(u.formatResponse(id, response), "200 OK", status, 1))
		return true
	}
	switch mode {
	case ModeDuplicate:
		io.WriteString(conn, response+response)
	case ModePreviousFirst:
		io.WriteString(conn, u.formatResponse(previous, "answer to "+previous)+response)
	case ModeTruncate:
		io.WriteString(conn, response[:len(response)-3])
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
		io.WriteString(conn, u.formatResponse("stranger", "answer to a stranger"))
	case ModeHang:
		// io.Copy returns when the client closes the connection.
		io.Copy(io.Discard, conn)
		return false
	case ModeServerError:
		io.WriteString(conn, strings.Replace(response, "200 OK", "500 Internal Server Error", 1))
	case ModeCloseAfterResponse:
		io.WriteString(conn, strings.Replace(response, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
		return false
	default:
		io.WriteString(conn, response)
	}
	return true
}

func (u *Upstream) formatResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s: 1,0,4,100\r\n%s%sContent-Length: %d\r\n\r\n%s",
		u.HeaderNames.RequestID, id, u.HeaderNames.Signature, u.HeaderNames.Load, u.limitHeader(), u.warmUpHeader(id), len(body), body)
}
