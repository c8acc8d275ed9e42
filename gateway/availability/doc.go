// Package availability decides whether a request may be sent to a backend server, from
// what the server says of its availability in its responses: that it is leaving, or that
// it wants no requests from this VM for some time (its backoff).
//
// Both bind one incarnation of a server and do not depend on the server list: an
// incarnation that is absent and listed again has not taken its word back. The design is
// described in docs/design/availability.md.
//
// Package availability does no I/O and reads no clock: times are passed in, on the VM's
// own clock.
package availability
