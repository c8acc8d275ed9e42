package run

import (
	"context"
	"math/rand/v2"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/traffic/elapsed"
)

// A server that is cut off from the leader, or resets its connections, may still answer other
// VMs. A relayed release is sent by some of them too. It does not matter which of them the
// server answers: it refuses lower fences from then on.

const (
	// relaysPerFence is the number of other VMs that send a relayed release.
	relaysPerFence = 2
	// relayReportIntervals is the number of report intervals within which a relay has reported:
	// one that has not may be frozen, and would send the release after its thaw.
	relayReportIntervals = 2
)

// fenceReceived is a leader's request to send a release. Whether it may be sent is sent to
// reply.
type fenceReceived struct {
	request *peer.FenceRequest
	reply   chan bool
}

// chooseRelays returns the addresses of some other daemons that have reported lately, chosen at
// random.
func (l *loop) chooseRelays() []string {
	earliest := l.clock() - relayReportIntervals*l.reportInterval()
	var others []string
	for vm, m := range l.members {
		if vm != l.self.VM && m.reportedAt-m.transit >= earliest {
			others = append(others, m.address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), relaysPerFence)]
}

// startRelayed sends a release by a deadline of the loop's clock, also through other VMs.
func (l *loop) startRelayed(service string, call keys.ReleaseCall, deadline time.Duration) {
	request := peer.NewFenceRequest(peer.Leadership{Leader: l.self, Term: l.term}, call.Address, call.Release)
	go l.releaseRelayed(service, call, deadline, request, l.chooseRelays())
}

// releaseRelayed sends a release and has the daemons at some addresses send it. It ends when
// all calls have ended, so that none is left unnoticed.
func (l *loop) releaseRelayed(service string, call keys.ReleaseCall, deadline time.Duration, request *peer.FenceRequest, relays []string) {
	ctx, cancel := elapsed.WithDeadline(l.ctx, l.clock, deadline)
	defer cancel()
	answered := make(chan bool, len(relays))
	for _, address := range relays {
		go func() { answered <- l.askToFence(ctx, address, request) }()
	}
	handover, err := l.callRelease(ctx, service, call)
	done := releaseDone{service: service, call: call, handover: handover, err: err, relays: len(relays)}
	for range relays {
		if <-answered {
			done.relayed++
		}
	}
	l.deliver(done)
}

// askToFence reports whether the daemon at an address had the release answered.
func (l *loop) askToFence(ctx context.Context, address string, request *peer.FenceRequest) bool {
	if ctx.Err() != nil {
		return false
	}
	response, err := l.peers.Fence(ctx, address, request)
	return err == nil && response.Answered
}

// outcome returns the result of a release over all its calls.
func (r releaseDone) outcome() keys.ReleaseOutcome {
	own := releaseOutcome(r.err)
	switch {
	case own == keys.Released && r.relayed == r.relays:
		return keys.Released
	case own == keys.Released || r.relayed > 0:
		return keys.ReleasedByOne
	default:
		return own
	}
}

// A request of another leadership than the last known one is refused.
func (f fenceReceived) apply(l *loop) {
	l.followLeader(f.request.Leader)
	f.reply <- f.request.Leader == l.knownLeader
}

// Fence implements peer.Service. The server's answer is awaited until the sender gives up.
func (p peerService) Fence(ctx context.Context, request *peer.FenceRequest) (*peer.FenceResponse, error) {
	reply := make(chan bool, 1)
	p.deliver(fenceReceived{request, reply})
	allowed, err := awaitReply(ctx, p.loop, reply)
	if err != nil || !*allowed {
		return &peer.FenceResponse{}, err
	}
	_, err = p.grantor.Release(ctx, request.Address, request.Release())
	return &peer.FenceResponse{Answered: err == nil}, nil
}
