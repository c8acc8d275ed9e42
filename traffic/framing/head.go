package framing

import (
	"bytes"
	"strconv"
)

// toLower is the bit that makes a letter a small one.
const toLower = 0x20

// versionSuffix ends a request line of HTTP/1.1.
const versionSuffix = " HTTP/1.1"

// head is what the fields of a request or response say about its body and host.
type head struct {
	// ofResponse is set in a response: net/http reads its length, which may have more
	// digits, and a Host field means nothing.
	ofResponse bool
	// old is set in HTTP/1.0.
	old bool
	// absolute is set if the target names a host, which is authority.
	absolute  bool
	authority string
	hasHost   bool
	// otherHost is set if Host differs from authority.
	otherHost bool
	hasLength bool
	length    uint64
	hasCoding bool
	chunked   bool
	// cacheControl is set if there is a Cache-Control field.
	cacheControl bool
	// closes is set if a Connection field has the option close.
	closes bool
}

// readRequestLine reads the version and the host of a target in absolute form. All else is
// checked by net/http. Of a long line, beginning and end need not meet.
func (h *head) readRequestLine(beginning, end []byte) (sound bool) {
	h.old = !bytes.HasSuffix(end, []byte(versionSuffix))
	_, target, _ := bytes.Cut(beginning, []byte(" "))
	if len(target) == 0 || target[0] == '/' {
		return true
	}
	scheme, rest, whole := bytes.Cut(target, []byte("://"))
	if !whole || bytes.ContainsAny(scheme, "/? ") {
		return true
	}
	hostEnd := bytes.IndexAny(rest, "/? ")
	if hostEnd < 0 || !bytes.EqualFold(scheme, []byte("http")) {
		return false
	}
	h.absolute, h.authority = true, string(rest[:hostEnd])
	return !bytes.ContainsAny(rest[:hostEnd], "@%#")
}

// readField reads a field line.
func (h *head) readField(line []byte, cut bool) (sound bool) {
	if line[0] == ' ' || line[0] == '\t' {
		return false // A folded field.
	}
	if first := line[0] | toLower; first != 'h' && first != 'c' && first != 't' {
		return true
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch len(name) {
	case len("Host"):
		if bytes.EqualFold(name, []byte("Host")) {
			return h.ofResponse || !cut && h.readHost(trim(value))
		}
	case len("Connection"):
		if bytes.EqualFold(name, []byte("Connection")) {
			h.closes = h.closes || cut || hasClose(value)
		}
	case len("Content-Length"):
		if bytes.EqualFold(name, []byte("Content-Length")) {
			return !cut && h.readLength(trim(value))
		}
	case len("Cache-Control"):
		h.cacheControl = h.cacheControl || bytes.EqualFold(name, []byte("Cache-Control"))
	case len("Transfer-Encoding"):
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return !cut && h.readCoding(trim(value))
		}
	}
	return true
}

// hasClose reports whether the value of a Connection field has the option close.
func hasClose(value []byte) bool {
	for option := range bytes.SplitSeq(value, []byte(",")) {
		if bytes.EqualFold(trim(option), []byte("close")) {
			return true
		}
	}
	return false
}

func (h *head) readHost(value []byte) (sound bool) {
	if h.hasHost || bytes.IndexByte(value, '%') >= 0 {
		return false // net/http removes the zone of an address.
	}
	h.hasHost = true
	h.otherHost = string(value) != h.authority
	return true
}

func (h *head) readLength(value []byte) (sound bool) {
	if h.hasLength || len(value) == 0 || !isNumber(value) {
		return false
	}
	h.hasLength = true
	if len(value) > maxLengthDigits {
		return h.ofResponse
	}
	h.length, _ = strconv.ParseUint(string(value), 10, 64) // Digits only, and few enough.
	return true
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

// readCoding reads a transfer coding. net/http rejects all but chunked.
func (h *head) readCoding(value []byte) (sound bool) {
	if h.hasCoding {
		return false
	}
	h.hasCoding = true
	h.chunked = bytes.EqualFold(value, []byte("chunked"))
	return true
}

// sound reports whether the fields agree with each other.
func (h *head) sound() bool {
	if h.hasCoding && (h.hasLength || h.old) {
		return false
	}
	return !h.absolute || !h.hasHost || !h.otherHost
}

// trim removes the optional whitespace around a field's value.
func trim(value []byte) []byte { return bytes.Trim(value, " \t") }
