package framing

import (
	"bytes"
	"strconv"
)

// part is the part of a request that the next byte belongs to.
type part uint8

const (
	requestLine part = iota
	fieldLine
	// sizedBody is a body with a Content-Length.
	sizedBody
	chunkLine
	chunkData
	// chunkEnd is the end of line after the data of a chunk.
	chunkEnd
	trailerLine
)

const (
	// maxLengthDigits is the greatest number of digits of a Content-Length.
	maxLengthDigits = 18
	// maxChunkDigits is the greatest number of digits of a chunk's size.
	maxChunkDigits = 16
)

// Endings make net/http reject the request that they are part of.
const (
	// endingOfLine is a field without a name, at the beginning of a line.
	endingOfLine = ":\r\n\r\n"
	// endingWithinLine ends the line before.
	endingWithinLine = "\r\n" + endingOfLine
	// endingOfChunk is malformed at the beginning of a chunk's line, within and after it.
	endingOfChunk = "\rz\r\n"
)

// scanner follows the requests on one connection.
type scanner struct {
	part part
	line lineScanner
	// left is the number of bytes left of a sized body, a chunk or a chunk's end.
	left uint64
	head head
	// requests is the number of requests whose ends were passed.
	requests uint64
	// onHead, if set, is called at the end of each head that is passed on.
	onHead func(cacheControl bool)
}

// scan follows the next bytes. It returns how many of them come before the first fault.
func (s *scanner) scan(p []byte) int {
	done := 0
	for done < len(p) {
		n, sound := s.scanRequest(p[done:])
		done += n
		if !sound {
			return done
		}
	}
	return done
}

// scanRequest follows the next bytes up to the end of a request. It returns how many those
// are, and whether they are sound.
func (s *scanner) scanRequest(p []byte) (done int, sound bool) {
	for done < len(p) {
		within := s.part != requestLine
		n, sound := s.step(p[done:])
		done += n
		if !sound {
			return done, false
		}
		if within && s.part == requestLine {
			s.requests++
			return done, true
		}
	}
	return done, true
}

// step follows the next line, or bytes of a body. It returns how many of them are sound.
func (s *scanner) step(p []byte) (n int, sound bool) {
	switch s.part {
	case sizedBody, chunkData:
		return s.skip(p), true
	case chunkEnd:
		return s.endChunk(p)
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return s.begin(p)
	}
	line, sound := s.line.complete(p[:end])
	if !sound || !s.endLine(line) {
		return 0, false
	}
	s.line.next()
	return end + 1, true
}

// begin follows bytes of a line whose end is not in p.
func (s *scanner) begin(p []byte) (n int, sound bool) {
	if !s.line.begin(p) {
		return 0, false
	}
	return len(p), true
}

// skip passes over bytes of a body.
func (s *scanner) skip(p []byte) int {
	n := min(uint64(len(p)), s.left)
	s.left -= n
	if s.left > 0 {
		return int(n)
	}
	if s.part == sizedBody {
		s.part = requestLine
	} else {
		s.part, s.left = chunkEnd, uint64(len("\r\n"))
	}
	return int(n)
}

// endChunk checks the end of line after a chunk.
func (s *scanner) endChunk(p []byte) (n int, sound bool) {
	want := byte('\r')
	if s.left == 1 {
		want = '\n'
	}
	if p[0] != want {
		return 0, false
	}
	s.left--
	if s.left == 0 {
		s.part = chunkLine
	}
	return 1, true
}

// endLine follows a complete line.
func (s *scanner) endLine(line []byte) (sound bool) {
	switch s.part {
	case requestLine:
		return s.endRequestLine(line)
	case fieldLine:
		return s.endFieldLine(line)
	case chunkLine:
		return s.endChunkLine(line)
	default:
		return s.endTrailerLine(line)
	}
}

// endRequestLine begins a head. An empty line before it is left to net/http.
func (s *scanner) endRequestLine(line []byte) (sound bool) {
	if s.line.empty() {
		return true
	}
	s.part = fieldLine
	s.head = head{}
	if !s.line.cut(line) {
		return s.head.readRequestLine(line, line)
	}
	return s.head.readRequestLine(line, bytes.TrimSuffix(s.line.tail, []byte("\r")))
}

// endFieldLine adds a field to the head, or ends the head.
func (s *scanner) endFieldLine(line []byte) (sound bool) {
	if !s.line.empty() {
		return s.head.readField(line, s.line.cut(line))
	}
	if !s.head.sound() {
		return false
	}
	if s.onHead != nil {
		s.onHead(s.head.cacheControl)
	}
	switch {
	case s.head.chunked:
		s.part = chunkLine
	case s.head.length > 0:
		s.part, s.left = sizedBody, s.head.length
	default:
		s.part = requestLine
	}
	return true
}

// endChunkLine begins the data of a chunk, or the trailer.
func (s *scanner) endChunkLine(line []byte) (sound bool) {
	size, extension, extended := bytes.Cut(line, []byte(";"))
	if extended {
		size = bytes.TrimRight(size, " \t")
	}
	if len(size) == 0 || len(size) > maxChunkDigits || !soundExtension(extension) {
		return false
	}
	for _, digit := range size {
		if !isHex(digit) {
			return false
		}
	}
	s.left, _ = strconv.ParseUint(string(size), 16, 64) // Digits only, and few enough.
	s.part = chunkData
	if s.left == 0 {
		s.part = trailerLine
	}
	return true
}

// endTrailerLine passes over a field of the trailer, or ends the request.
func (s *scanner) endTrailerLine(line []byte) (sound bool) {
	if s.line.empty() {
		s.part = requestLine
		return true
	}
	return line[0] != ' ' && line[0] != '\t'
}

// ending returns bytes in place of those from the fault on.
func (s *scanner) ending() string {
	switch {
	case s.part == chunkLine || s.part == chunkEnd:
		return endingOfChunk
	case !s.line.begun:
		return endingOfLine
	default:
		return endingWithinLine
	}
}

// soundExtension reports whether a chunk extension has no control characters.
func soundExtension(extension []byte) bool {
	for _, b := range extension {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func isHex(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'f' || 'A' <= b && b <= 'F'
}
