package run

import (
	"context"
	"errors"

	"guavacrank.example/gateway/peer"
)

// errStopping rejects peers' calls after the loop has ended.
var errStopping = errors.New("the process stops")

// peerService implements peer.Service by passing calls to the loop.
type peerService struct{ *loop }

var _ peer.Service = peerService{}

// Report implements peer.Service.
func (p peerService) Report(ctx context.Context, report *peer.Report) (*peer.ReportResponse, error) {
	reply := make(chan peer.ReportResponse, 1)
	p.deliver(reportReceived{report, reply})
	select {
	case response := <-reply:
		return &response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errStopping
	}
}

// Follow implements peer.Service.
func (p peerService) Follow(_ context.Context, leadership *peer.Leadership) (*peer.FollowResponse, error) {
	p.deliver(leaderAnnounced{*leadership})
	return &peer.FollowResponse{}, nil
}

// Yield implements peer.Service.
func (p peerService) Yield(ctx context.Context, yield *peer.YieldRequest) (*peer.YieldResponse, error) {
	done := make(chan struct{})
	p.deliver(yieldReceived{yield.Incarnation, done})
	select {
	case <-done:
		return &peer.YieldResponse{Incarnation: p.self.Incarnation}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errStopping
	}
}

// Spread implements peer.Service.
func (p peerService) Spread(_ context.Context, update *peer.SpreadRequest) (*peer.SpreadResponse, error) {
	if update.Offer > 0 {
		return &peer.SpreadResponse{Lacking: p.recordInForce.Load() < update.Offer}, nil
	}
	p.forward(*update, splitGroups(update.ForwardTo, fanOut))
	p.deliver(spreadReceived{update})
	return &peer.SpreadResponse{}, nil
}
