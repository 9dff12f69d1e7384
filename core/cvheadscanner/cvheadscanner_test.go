package cvheadscanner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvheadscanner"
	"comfreyvale/io/standins/cvmalformed"
)

// odd is no header line, and allowed in a body.
const odd = "\r\n : odd \x00\r\nodd name : x\r\n\r\n"

// scan passes a text to a scanner in parts of a size.
func scan(text string, size int) error {
	var s cvheadscanner.Scanner
	for len(text) > 0 {
		n := min(size, len(text))
		if err := s.Scan([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// TestScan guards against malformed lines that are overlooked, and against bodies that are taken for lines, however the
// bytes arrive.
func TestScan(t *testing.T) {
	valid := map[string]string{
		"a length":              "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + odd,
		"no length":             "HTTP/1.0 200 OK\r\nA: b\r\n\r\n" + odd,
		"no header":             "HTTP/1.1 200 OK\r\n\r\n" + odd,
		"bare line feeds":       "HTTP/1.1 200 OK\nA: b\n\n" + odd,
		"behind interim ones":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n" + odd,
		"chunks":                chunks(odd, odd) + "0\r\n\r\n",
		"chunks, trailers":      chunks(odd) + "0\r\nA: b\r\nC: d\r\n\r\n" + odd,
		"an extension":          strings.Replace(chunks(odd), "\r\n\r\n", "\r\n\r\n1;a=\"b c\"\r\nx\r\n", 1) + "0\r\n\r\n",
		"no valid chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz" + odd,
		"a chunk of any length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n" + odd,
		"a change of protocols": "HTTP/1.1 101 Switching Protocols\r\nA: b\r\n\r\n" + odd,
	}
	malformed := map[string]string{
		"chunks of HTTP/1.0": strings.Replace(chunks("text"), "/1.1", "/1.0", 1) + "0\r\n\r\n",
		"a line without end": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 1<<17),
		"a size without end": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("b", 1<<17),
	}
	for name, line := range cvmalformed.Lines() {
		malformed[name] = "HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\n\r\n"
		malformed[name+", of an interim"] = "HTTP/1.1 103 Early Hints\r\nA: b\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
		malformed[name+", behind an interim"] = "HTTP/1.1 100 Continue\r\n\r\n" + malformed[name]
		malformed[name+", of a trailer"] = chunks(odd) + "0\r\n" + line + "\r\n\r\n"
	}
	for _, size := range []int{1, 2, 3, 7, 1 << 20} {
		for name, text := range valid {
			t.Run(fmt.Sprintf("%s, %d bytes at a time", name, size), func(t *testing.T) { require.NoError(t, scan(text, size)) })
		}
		for name, text := range malformed {
			t.Run(fmt.Sprintf("%s, %d bytes at a time", name, size), func(t *testing.T) { require.Error(t, scan(text, size)) })
		}
	}
}

// chunks returns a response with a body in chunks, without its last chunk.
func chunks(contents ...string) string {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, Chunked\r\n\r\n"
	for _, c := range contents {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(c), c)
	}
	return text
}
