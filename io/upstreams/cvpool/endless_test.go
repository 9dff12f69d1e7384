package cvpool_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvinstance"
)

// endlessBytes is how much the upstream of TestEndlessResponses sends at most, so that a pool that reads everything
// fails the test and not the machine.
const endlessBytes = 128 << 20

// endlessTimeout is far longer than an exchange takes that ends by itself, also on a busy machine.
const endlessTimeout = time.Minute

// startEndless runs an upstream that answers each request with a start and then with the same part again and again,
// until the connection is closed. sent counts the bytes.
func startEndless(t *testing.T, start, part string) (instance *cvinstance.Instance, sent *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	sent = &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		block := []byte(strings.Repeat(part, 1+(64<<10)/len(part)))
		next := append([]byte(start), block...)
		for sent.Load() < endlessBytes {
			n, err := conn.Write(next)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			next = block
		}
		_, _ = conn.Read(make([]byte, 1))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return cvinstance.New("endless", "g", listener.Addr().String(), "dc", 4), sent
}

// TestEndlessResponses guards against an upstream that sends bytes without end: the exchange must end by itself, long
// before its deadline would end it, and the connection with it.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Id: x\r\n"
	cases := map[string]struct{ start, part string }{
		"a status line":           {"HTTP/1.1 200 ", "a"},
		"a header":                {head + "A: ", "a"},
		"headers":                 {head, "A: b\r\n"},
		"folded headers":          {head + "A: b\r\n", " c\r\n"},
		"interim responses":       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"answers to others":       {"", "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 0\r\n\r\n"},
		"a body without length":   {head + "\r\n", "a"},
		"a chunk":                 {head + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "a"},
		"chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"a chunk extension":       {head + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		"trailers":                {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"a body of absurd length": {head + "Content-Length: 9000000000000\r\n\r\n", "a"},
		"bytes of no protocol":    {"", "\x00"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			instance, sent := startEndless(t, c.start, c.part)
			p := newPool()
			defer p.Close()
			_, err := exchangeWithin(endlessTimeout, p, instance, "x", true)
			require.Equal(t, comfreyvale.KindUncertain, cvfault.KindOf(err), "%v", err)
			require.Less(t, sent.Load(), int64(endlessBytes))
			require.Eventually(t, func() bool { return p.OpenCount() == 0 }, 30*time.Second, time.Millisecond)
		})
	}
}

// TestResponseMemory guards against responses that are short enough one by one but not together.
func TestResponseMemory(t *testing.T) {
	instance, _ := startEndless(t, "HTTP/1.1 200 OK\r\nTest-Id: x\r\n\r\n", "a")
	p := newPool()
	p.MaxResponseBytes = endlessBytes
	defer p.Close()
	_, err := exchangeWithin(endlessTimeout, p, instance, "x", true)
	require.Equal(t, comfreyvale.KindUncertain, cvfault.KindOf(err))
	require.ErrorContains(t, err, "the messages of caller caller would take")
}
