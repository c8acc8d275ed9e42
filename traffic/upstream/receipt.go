package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// received reports whether the server's host has acknowledged all bytes that were sent. What
// can't be told counts as received.
func (c *conn) received() bool {
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
