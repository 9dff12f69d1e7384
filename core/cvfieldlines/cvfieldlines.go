// Package cvfieldlines checks the header and trailer lines of HTTP/1 responses as they were received.
//
// The load that it handles: faulty upstreams send names with blanks or control bytes, folded lines and values with NUL or
// CR. Parsers differ in what they make of such lines: net/http takes "Content-Length : 4" for a header without a meaning,
// and joins folded lines, so that a response ends elsewhere than its sender meant or carries another value.
package cvfieldlines

import (
	"bytes"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxShownBytes limits the part of a line in an error.
const maxShownBytes = 40

// Check returns an error for a line, without its line end, that is not a name, a colon and a value by RFC 9110.
func Check(line []byte) error {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return errors.Errorf("line %q continues the one before", shorten(line))
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return errors.Errorf("line %q has no colon", shorten(line))
	}
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Errorf("%q is no valid name of a header", shorten(name))
	}
	if bytes.ContainsAny(value, "\x00\r\n") {
		return errors.Errorf("the value of header %q holds NUL, CR or LF", shorten(name))
	}
	return nil
}

// CheckAll checks the lines of a block, which end with LF or CRLF. It ignores an empty line.
func CheckAll(block []byte) error {
	for line := range bytes.Lines(block) {
		line = TrimEnd(line)
		if len(line) == 0 {
			continue
		}
		if err := Check(line); err != nil {
			return err
		}
	}
	return nil
}

// Contain reports whether one of the lines of a block has a name.
func Contain(block []byte, name string) bool {
	for line := range bytes.Lines(block) {
		if n, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(n, []byte(name)) {
			return true
		}
	}
	return false
}

// TrimEnd returns a line without its line end, which is LF or CRLF.
func TrimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func shorten(text []byte) []byte { return text[:min(len(text), maxShownBytes)] }
