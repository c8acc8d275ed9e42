package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	unacknowledged := 0
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { unacknowledged, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err != nil || ioctlErr != nil || unacknowledged == 0
}
