package peer

import "guavacrank.example/gateway/port"

// FenceRequest asks any daemon to send a backend server a release that the leader can't
// deliver itself.
type FenceRequest struct {
	// Leader is the leadership that took the fence. A daemon that knows another one refuses
	// the request, unless it learns of a later one from it.
	Leader Leadership `json:"leader"`
	// Address is that of the server, Server its ID.
	Address string `json:"address"`
	Server  string `json:"server"`
	From    uint16 `json:"from"`
	To      uint16 `json:"to"`
	Fence   uint64 `json:"fence"`
	// Held is port.Release.Held.
	Held uint64 `json:"held"`
}

// NewFenceRequest returns the request of a leader for a release by the server at an address.
func NewFenceRequest(leader Leadership, address string, release port.Release) *FenceRequest {
	return &FenceRequest{leader, address, release.Server, release.From, release.To, release.Fence, release.Held}
}

// Release returns the release that is to be sent.
func (r *FenceRequest) Release() port.Release {
	return port.Release{From: r.From, To: r.To, Server: r.Server, Fence: r.Fence, Held: r.Held}
}

// FenceResponse is the response to a FenceRequest.
type FenceResponse struct {
	// Answered says that the server has answered the release.
	Answered bool `json:"answered"`
}
