// Package sockbuf tells what the kernel holds of a TCP connection.
package sockbuf

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a connection and not
// acknowledged by the other host, its end included. known is false where the system can't tell.
func Unacknowledged(conn net.Conn) (bytes int, known bool) { return ask(conn, unix.SIOCOUTQ) }

// Unread returns the number of bytes that were received on a connection and not read yet. known
// is false where the system can't tell.
func Unread(conn net.Conn) (bytes int, known bool) { return ask(conn, unix.SIOCINQ) }

// ask makes an ioctl that returns a number of bytes.
func ask(conn net.Conn, request uint) (bytes int, known bool) {
	source, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, false
	}
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { bytes, ioctlErr = unix.IoctlGetInt(int(fd), request) })
	return bytes, err == nil && ioctlErr == nil
}
