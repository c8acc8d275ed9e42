// Package linger ends the connections of callers without losing what was written to them.
//
// The kernel drops what is in the send queue of a TCP connection that was closed as soon as it
// resets the connection, which it does if bytes of the caller are unread or arrive later. So a
// connection on which a response may still be on its way lingers: its writing side is shut
// down, and it is read until the caller closes it (RFC 9112, section 9.6). A Conn decides
// that for every way in which a connection ends; nobody else closes the connection below it.
//
// docs/design/callers-connections.md gives the states and the reasons.
package linger
