// Package cvheadscanner checks the heads and trailers of HTTP/1 responses while they are received by a parser that is more
// lenient.
package cvheadscanner

import (
	"bytes"
	"math"
	"strconv"

	"github.com/pkg/errors"

	"comfreyvale/core/cvfieldlines"
)

// maxLineBytes limits a line of a head, a trailer or before a chunk.
const maxLineBytes = 64 << 10

type part int

const (
	partStatus part = iota
	partHeader
	partChunkSize
	partChunk
	partChunkEnd
	partTrailer
	// partUnchecked is a body that is not in chunks, and all that follows a response.
	partUnchecked
)

// Scanner follows the bytes of one response, interim ones before it included. Its zero value awaits a response.
type Scanner struct {
	part part
	// line is the beginning of a line whose end has not been received.
	line []byte
	// interim, oldVersion and chunked describe the head that is being received.
	interim, oldVersion, chunked bool
	// remaining is the rest of a chunk in bytes.
	remaining int64
}

// Scan checks the next bytes of the response. After an error, none of the bytes may be used.
func (s *Scanner) Scan(data []byte) error {
	for len(data) > 0 && s.part != partUnchecked {
		if s.part == partChunk {
			n := min(s.remaining, int64(len(data)))
			data, s.remaining = data[n:], s.remaining-n
			if s.remaining == 0 {
				s.part = partChunkEnd
			}
			continue
		}
		end := bytes.IndexByte(data, '\n') + 1
		if end == 0 {
			end = len(data)
		}
		s.line = append(s.line, data[:end]...)
		data = data[end:]
		if len(s.line) > maxLineBytes {
			return errors.Errorf("a line of the response is longer than %d bytes", maxLineBytes)
		}
		if !bytes.HasSuffix(s.line, []byte("\n")) {
			return nil
		}
		err := s.scanLine(cvfieldlines.TrimEnd(s.line))
		s.line = s.line[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Scanner) scanLine(line []byte) error {
	switch s.part {
	case partStatus:
		s.scanStatus(line)
	case partHeader:
		return s.scanHeader(line)
	case partChunkSize:
		s.scanChunkSize(line)
	case partChunkEnd:
		s.part = partChunkSize
	case partTrailer:
		if len(line) > 0 {
			return cvfieldlines.Check(line)
		}
		s.part = partUnchecked
	}
	return nil
}

func (s *Scanner) scanStatus(line []byte) {
	words := bytes.Fields(line)
	s.interim = len(words) > 1 && len(words[1]) == 3 && words[1][0] == '1' && string(words[1]) != "101"
	s.oldVersion = len(words) > 0 && string(words[0]) == "HTTP/1.0"
	s.chunked = false
	s.part = partHeader
}

func (s *Scanner) scanHeader(line []byte) error {
	switch {
	case len(line) > 0:
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			s.chunked = s.chunked || bytes.Contains(bytes.ToLower(value), []byte("chunked"))
		}
		return cvfieldlines.Check(line)
	case s.interim:
		s.part = partStatus
	case s.chunked && s.oldVersion:
		return errors.New("a response of HTTP/1.0 names a transfer encoding")
	case s.chunked:
		s.part = partChunkSize
	default:
		s.part = partUnchecked
	}
	return nil
}

// scanChunkSize leaves a line without a valid size to the parser, which ends the response there.
func (s *Scanner) scanChunkSize(line []byte) {
	digits := line[:len(line)-len(bytes.TrimLeft(line, "0123456789abcdefABCDEF"))]
	size, err := strconv.ParseUint(string(digits), 16, 64)
	switch {
	case err != nil || size > math.MaxInt64:
		s.part = partUnchecked
	case size == 0:
		s.part = partTrailer
	default:
		s.part, s.remaining = partChunk, int64(size)
	}
}
