package upstream

import (
	"bytes"
	"errors"
)

// errAmbiguousHeaders reports response headers whose fields or end parsers read
// differently. net/http accepts some of them.
var errAmbiguousHeaders = errors.New("ambiguous response headers")

const (
	// versionBeginning and a digit are the version of a status line.
	versionBeginning = "HTTP/1."
	// statusBytes is the length of a status code.
	statusBytes = 3
	// versionBytes is the length of a status line's version with the space after it.
	versionBytes = len("HTTP/1.1 ")
	// toLower is the bit that makes a letter a small one.
	toLower = 0x20
	// longLineBytes is the length of a line whose memory is not kept for the next one.
	longLineBytes = 4 << 10
)

// headScanner follows the headers of a response, and of informational ones before it, as
// they are read. It allows only those that have the same fields and end for every parser.
type headScanner struct {
	// line is a line whose end has not come yet.
	line []byte
	// begun is set after the status line of the current headers.
	begun bool
	// faulty is set after the first fault.
	faulty bool
	// done is set after the end of the headers that are not informational.
	done          bool
	informational bool
	// old is set in HTTP/1.0.
	old          bool
	hasLength    bool
	hasCoding    bool
	cacheControl bool
}

// reset prepares the scanner for the next response.
func (s *headScanner) reset() {
	line := s.line[:0]
	if cap(line) > longLineBytes {
		line = nil
	}
	*s = headScanner{line: line}
}

// scan follows the next bytes. All after the end of the headers are allowed.
func (s *headScanner) scan(p []byte) error {
	for !s.done && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.line = append(s.line, p...)
			return nil
		}
		line := p[:end]
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		p = p[end+1:]
		if !s.endLine(line) {
			s.faulty = true
			return errAmbiguousHeaders
		}
		s.line = s.line[:0]
	}
	return nil
}

// endLine follows a line without its LF and reports whether it is sound.
func (s *headScanner) endLine(line []byte) bool {
	if at := bytes.IndexByte(line, '\r'); at < 0 || at != len(line)-1 {
		return false
	}
	line = line[:len(line)-1]
	switch {
	case !s.begun:
		return s.readStatus(line)
	case len(line) == 0:
		return s.endHeaders()
	default:
		return s.readField(line)
	}
}

// readStatus reads a status line.
func (s *headScanner) readStatus(line []byte) bool {
	if !isStatusLine(line) {
		return false
	}
	*s = headScanner{
		line: s.line, begun: true,
		informational: line[versionBytes] == '1',
		old:           line[versionBytes-2] == '0',
	}
	return true
}

// isStatusLine reports whether a line begins as a status line (RFC 9112, section 4).
func isStatusLine(line []byte) bool {
	if len(line) < versionBytes+statusBytes || !bytes.HasPrefix(line, []byte(versionBeginning)) {
		return false
	}
	minor, space, status := line[len(versionBeginning)], line[versionBytes-1], line[versionBytes:versionBytes+statusBytes]
	if minor != '0' && minor != '1' || space != ' ' || status[0] == '0' || !isNumber(status) {
		return false
	}
	rest := line[versionBytes+statusBytes:]
	return len(rest) == 0 || rest[0] == ' '
}

// isNumber reports whether the text has digits only.
func isNumber(text []byte) bool {
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

// endHeaders ends the headers; others follow those of an informational response.
func (s *headScanner) endHeaders() bool {
	s.begun = false
	s.done = !s.informational
	return !s.hasCoding || !s.hasLength && !s.old
}

// readField reads a field.
func (s *headScanner) readField(line []byte) bool {
	if line[0] == ' ' || line[0] == '\t' {
		return false // A folded field.
	}
	if first := line[0] | toLower; first != 'c' && first != 't' {
		return true
	}
	name, value, _ := bytes.Cut(line, []byte(":")) // net/http rejects a line without a colon.
	switch len(name) {
	case len("Cache-Control"):
		s.cacheControl = s.cacheControl || bytes.EqualFold(name, []byte("Cache-Control"))
	case len("Content-Length"):
		if bytes.EqualFold(name, []byte("Content-Length")) {
			return s.readLength(bytes.Trim(value, " \t"))
		}
	case len("Transfer-Encoding"):
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			s.hasCoding = true // net/http rejects a second one, and all but chunked.
		}
	}
	return true
}

// readLength reads a Content-Length.
func (s *headScanner) readLength(value []byte) bool {
	if s.hasLength || len(value) == 0 {
		return false
	}
	s.hasLength = true
	return isNumber(value)
}
