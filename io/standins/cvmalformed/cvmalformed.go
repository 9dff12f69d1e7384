// Package cvmalformed lists parts of responses that no caller may get.
package cvmalformed

import "strings"

// StatusLines returns status lines whose status is not three digits from 100 to 599, or that announces a change of
// protocols that nobody asked for.
func StatusLines() map[string]string {
	lines := make(map[string]string)
	for _, status := range []string{
		"000", "001", "042", "099", "101", "600", "999", "1000", "20", "2", "0200", "abc", "2x0", "+20", "-20", "1e2", "0x1", "", "2 00", "٢٠٠",
	} {
		lines["status "+status] = "HTTP/1.1 " + status + " Odd"
		lines["status "+status+", no reason"] = "HTTP/1.1 " + status
	}
	return lines
}

// Framings returns responses, but for their request's ID, whose end nobody can tell. Each has the header behind its status
// line.
func Framings(header string) map[string]string {
	const chunks = "4\r\ntext\r\n0\r\n\r\n"
	line := "HTTP/1.1 200 OK\r\n" + header
	return map[string]string{
		"chunks of HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"chunks of HTTP/1.0, a length": "HTTP/1.0 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" + chunks,
		"an unknown encoding":          line + "Transfer-Encoding: gzip\r\n\r\n" + chunks,
		"two encodings":                line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n" + chunks,
		"chunks, then encoded":         line + "Transfer-Encoding: chunked, gzip\r\n\r\n" + chunks,
		"two lengths":                  line + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ntexts",
		"two lengths in one line":      line + "Content-Length: 4, 5\r\n\r\ntexts",
		"a negative length":            line + "Content-Length: -4\r\n\r\ntext",
		"a length with a sign":         line + "Content-Length: +4\r\n\r\ntext",
		"a length with a letter":       line + "Content-Length: 4a\r\n\r\ntext",
		"an empty length":              line + "Content-Length: \r\n\r\ntext",
		"a length of two words":        line + "Content-Length: 4 4\r\n\r\ntext",
		"a length beyond all":          line + "Content-Length: 99999999999999999999\r\n\r\ntext",
		"a chunk without a size":       line + "Transfer-Encoding: chunked\r\n\r\n\r\ntext\r\n0\r\n\r\n",
		"a chunk of a negative size":   line + "Transfer-Encoding: chunked\r\n\r\n-4\r\ntext\r\n0\r\n\r\n",
		"a chunk beyond its size":      line + "Transfer-Encoding: chunked\r\n\r\n2\r\ntext\r\n0\r\n\r\n",
	}
}

// Endless is a response without end: a start and a part that is sent again and again behind it.
type Endless struct{ Start, Part string }

// EndlessResponses returns responses without end, by the place at which they go on. The header, which ends with a line
// end unless it is empty, is part of each head.
func EndlessResponses(header string) map[string]Endless {
	head := "HTTP/1.1 200 OK\r\n" + header
	const hints = "HTTP/1.1 103 Early Hints\r\n"
	return map[string]Endless{
		"a status line":         {"HTTP/1.1 200 ", "a"},
		"a header name":         {head, "a"},
		"a header value":        {head + "A: ", "a"},
		"headers":               {head, "A: b\r\n"},
		"folded headers":        {head + "A: b\r\n", " c\r\n"},
		"interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"an interim header":     {hints + "A: ", "a"},
		"interim headers":       {hints, "A: b\r\n"},
		"a body without length": {head + "\r\n", "a"},
		"a chunk":               {head + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "a"},
		"chunks":                {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"a chunk size":          {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"a chunk extension":     {head + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		"chunk extensions":      {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("a", 100) + "\r\na\r\n"},
		"a trailer":             {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "a"},
		"trailers":              {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"a body of any length":  {head + "Content-Length: 9000000000000\r\n\r\n", "a"},
		"bytes of no protocol":  {"", "\x00"},
		"line ends":             {"", "\r\n"},
	}
}

// Lines returns lines, without their line ends, that are no header or trailer of a response. Some parsers take a part of
// them for another header, or for none.
func Lines() map[string]string {
	return map[string]string{
		"a blank in the name":        "Test Name: value",
		"a blank behind the name":    "Test-Name : value",
		"a blank behind a length":    "Content-Length : 2",
		"a blank behind an encoding": "Transfer-Encoding : chunked",
		"a tab in the name":          "Test\tName: value",
		"a tab behind the name":      "Test-Name\t: value",
		"NUL in the name":            "Test\x00Name: value",
		"a control byte in the name": "Test\x01Name: value",
		"a bell in the name":         "Test\x07Name: value",
		"ESC in the name":            "\x1bTest-Name: value",
		"DEL in the name":            "Test\x7fName: value",
		"CR in the name":             "Test\rName: value",
		"a letter beyond ASCII":      "Tést-Name: value",
		"a slash in the name":        "Test/Name: value",
		"a name in quotes":           "\"Test-Name\": value",
		"a colon first":              ": value",
		"a colon only":               ":",
		"no colon":                   "Test-Name",
		"a status line":              "HTTP/1.1 200 OK",
		"a folded line":              "Test-Name: value\r\n more",
		"a line folded by a tab":     "Test-Name: value\r\n\tmore",
		"a folded empty line":        "Test-Name: value\r\n ",
		"a folded header":            "Test-Name: value\r\n Content-Length: 2",
		"a blank first":              " Test-Name: value",
		"NUL in the value":           "Test-Name: val\x00ue",
		"NUL behind the value":       "Test-Name: value\x00",
		"CR in the value":            "Test-Name: val\rue",
		"CR behind the value":        "Test-Name: value\r",
		"LF in the value":            "Test-Name: val\nue",
		"CR first in the value":      "Test-Name:\rvalue",
	}
}
