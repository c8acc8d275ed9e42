package framing

import (
	"bytes"
	"errors"
)

// ErrAmbiguousHeaders reports response headers whose fields or end parsers read
// differently, or whose status is none (RFC 9110, section 15). net/http accepts some of them.
var ErrAmbiguousHeaders = errors.New("ambiguous response headers")

const (
	// versionBeginning and a digit are the version of a status line.
	versionBeginning = "HTTP/1."
	// statusBytes is the length of a status code; the first digit is its class, 1 to 5.
	statusBytes = 3
	// versionBytes is the length of a status line's version with the space after it.
	versionBytes = len("HTTP/1.1 ")
	// longLineBytes is the length of a line whose memory is not kept for the next response.
	longLineBytes = 4 << 10
)

// ResponseScanner follows the headers of a response, and of informational ones before it,
// as they are read. It allows only those that have the same fields and end for every
// parser. Reset must be called before the first bytes of each response.
type ResponseScanner struct {
	line lineScanner
	head head
	// begun is set after the status line of the current headers.
	begun bool
	// faulty is set after the first fault.
	faulty bool
	// done is set after the end of the headers that are not informational.
	done          bool
	informational bool
}

// Reset prepares the scanner for the next response.
func (s *ResponseScanner) Reset() {
	text, tail := s.line.text[:0], s.line.tail[:0]
	if cap(text) > longLineBytes {
		text = nil
	}
	*s = ResponseScanner{line: lineScanner{whole: true, text: text, tail: tail}}
}

// Scan follows the next bytes and returns ErrAmbiguousHeaders at the first fault. All after
// the end of the headers are allowed.
func (s *ResponseScanner) Scan(p []byte) error {
	for !s.done && len(p) > 0 {
		n, sound := s.step(p)
		if !sound {
			s.faulty = true
			return ErrAmbiguousHeaders
		}
		p = p[n:]
	}
	return nil
}

// Faulty reports whether there was a fault in the current headers.
func (s *ResponseScanner) Faulty() bool { return s.faulty }

// CacheControl reports whether the current headers have a Cache-Control field.
func (s *ResponseScanner) CacheControl() bool { return s.head.cacheControl }

// step follows the next line, or a part of it. It returns its length in p.
func (s *ResponseScanner) step(p []byte) (n int, sound bool) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return len(p), s.line.begin(p)
	}
	line, sound := s.line.complete(p[:end])
	if !sound || !s.endLine(line) {
		return 0, false
	}
	s.line.next()
	return end + 1, true
}

// endLine follows a complete line.
func (s *ResponseScanner) endLine(line []byte) (sound bool) {
	switch {
	case !s.begun:
		return s.readStatus(line)
	case len(line) == 0:
		return s.endHeaders()
	default:
		return s.head.readField(line, false)
	}
}

// readStatus reads a status line.
func (s *ResponseScanner) readStatus(line []byte) (sound bool) {
	if !isStatusLine(line) {
		return false
	}
	s.begun = true
	s.informational = line[versionBytes] == '1'
	s.head = head{ofResponse: true, old: line[versionBytes-2] == '0'}
	return true
}

// isStatusLine reports whether a line begins as a status line (RFC 9112, section 4).
func isStatusLine(line []byte) bool {
	if len(line) < versionBytes+statusBytes || !bytes.HasPrefix(line, []byte(versionBeginning)) {
		return false
	}
	minor, space, status := line[len(versionBeginning)], line[versionBytes-1], line[versionBytes:versionBytes+statusBytes]
	if minor != '0' && minor != '1' || space != ' ' || status[0] < '1' || status[0] > '5' || !isNumber(status) {
		return false
	}
	rest := line[versionBytes+statusBytes:]
	return len(rest) == 0 || rest[0] == ' '
}

// endHeaders ends the headers; others follow those of an informational response.
func (s *ResponseScanner) endHeaders() (sound bool) {
	s.begun = false
	s.done = !s.informational
	return s.head.sound()
}
