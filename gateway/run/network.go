package run

import (
	"net"
	"time"

	"guavacrank.example/gateway/peer"
	"guavacrank.example/traffic/elapsed"
	"guavacrank.example/traffic/upstream"
)

// Network is how a process reaches others, and the clock that it reads. Its zero value is
// TCP and the time since the VM's boot. Tests on a virtual clock set all fields.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   upstream.Dial
	Clock  func() time.Duration
}

func (n Network) listen(address string) (net.Listener, error) {
	if n.Listen == nil {
		return net.Listen("tcp4", address)
	}
	return n.Listen(address)
}

// peers returns a client of the other VMs.
func (n Network) peers() *peer.Client {
	if n.Dial == nil {
		return peer.NewClient()
	}
	return peer.NewClientOver(n.Dial)
}

func (n Network) clock() func() time.Duration {
	if n.Clock == nil {
		return elapsed.Now
	}
	return n.Clock
}
