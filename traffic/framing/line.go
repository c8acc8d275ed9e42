package framing

import "bytes"

const (
	// keptBytes is how much of a request's line is kept while the rest is awaited, and the
	// greatest length of a line whose value is needed here.
	keptBytes = 1 << 10
	// tailBytes is the length of a request line's version with the space before it and
	// the CR after it.
	tailBytes = len(versionSuffix + "\r")
)

// lineScanner follows the current line of a head. A line must end with CR LF and hold no
// other CR.
type lineScanner struct {
	// whole says that lines are kept as a whole, not their first keptBytes only.
	whole bool
	// text is the beginning of a line whose end has not come yet, and tail its last bytes, at
	// most tailBytes. bytes is its whole length, afterCR says that it ends with a CR, and
	// begun that bytes of it have been followed.
	text    []byte
	tail    []byte
	bytes   int
	afterCR bool
	begun   bool
}

// begin follows bytes of a line whose end is not in p.
func (l *lineScanner) begin(p []byte) (sound bool) {
	if !l.keep(p) {
		return false
	}
	l.begun = true
	return true
}

// keep keeps the beginning and the end of a line.
func (l *lineScanner) keep(p []byte) (sound bool) {
	if at := bytes.IndexByte(p, '\r'); l.afterCR || at >= 0 && at < len(p)-1 {
		return false // A CR that does not end the line.
	}
	kept := len(p)
	if !l.whole {
		kept = min(kept, keptBytes-len(l.text))
	}
	l.text = append(l.text, p[:kept]...)
	l.tail = append(l.tail, p[max(len(p)-tailBytes, 0):]...)
	l.tail = append(l.tail[:0], l.tail[max(len(l.tail)-tailBytes, 0):]...)
	l.bytes += len(p)
	l.afterCR = p[len(p)-1] == '\r'
	return true
}

// complete returns a line without its end, given what comes before the LF and was not
// kept. Of a long line that was kept it is the beginning only.
func (l *lineScanner) complete(rest []byte) (line []byte, sound bool) {
	if l.bytes == 0 {
		l.bytes = len(rest)
		at := bytes.IndexByte(rest, '\r')
		if at < 0 || at != len(rest)-1 {
			return nil, false
		}
		return rest[:at], true
	}
	if len(rest) > 0 && !l.keep(rest) || !l.afterCR {
		return nil, false
	}
	return bytes.TrimSuffix(l.text, []byte("\r")), true
}

// cut reports whether the current line is longer than what is known of it.
func (l *lineScanner) cut(line []byte) bool { return len(line) < l.bytes-1 }

// empty reports whether the current line, which is complete, has no bytes before its end.
func (l *lineScanner) empty() bool { return l.bytes == len("\r") }

// next prepares the scanner for the next line.
func (l *lineScanner) next() {
	l.text, l.tail, l.bytes = l.text[:0], l.tail[:0], 0
	l.afterCR, l.begun = false, false
}
