// Package limit divides a server's slots and connections among the VMs.
//
// Divide takes the declared connections, slots and the number of VMs, and
// returns one VM's shares, whose sum over the VMs stays within the declared
// number. Adaptive takes refusals and responses, and returns a local limit that
// stays between one and its maximum, or is zero if the maximum is.
package limit

// Sharing is the mode in which VMs share a server's slots.
type Sharing uint8

// Modes of sharing. docs/design/requests.md gives the figures of each.
const (
	// Home queues all requests to a server at one VM, the server's home, which
	// costs one more hop. VMs send directly, within their share, while the home
	// does not respond.
	Home Sharing = iota
	// Direct lets every VM send directly within a local adaptive limit.
	Direct
)

// String returns the name of the mode.
func (s Sharing) String() string {
	return [...]string{"home", "direct"}[s]
}

// controlConnections are kept free for grants and reports.
const controlConnections = 4

// Shares is the number of connections that one VM may open to a server.
type Shares struct {
	Home   int // While it is the server's home.
	Direct int // Otherwise.
}

// Divide splits the connections that a server accepts. Two homes are counted,
// because a former home may still have requests in flight, and every VM has
// its direct share at the same time; the sum never exceeds the declared number.
func Divide(connections, slots, vms int) Shares {
	usable := max(connections-controlConnections, 2)
	home := min(slots, usable/2)
	direct := (usable - 2*home) / max(vms, 1)
	return Shares{Home: home, Direct: min(direct, slots)}
}
