package upstream

import (
	"time"

	"guavacrank.example/traffic/sockbuf"
)

// receiptWait is how long an acknowledgment is awaited that came with bytes which were read:
// not every network stack takes it first.
const receiptWait = 5 * time.Millisecond

// received reports whether the server's host has acknowledged all bytes that were sent. What
// can't be told counts as received.
func (c *conn) received() bool {
	for end := time.Now().Add(receiptWait); !c.acknowledged(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (c *conn) acknowledged() bool {
	unacknowledged, known := sockbuf.Unacknowledged(c.Conn)
	return !known || unacknowledged == 0
}
