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
	return awaitReply(ctx, p.loop, reply)
}

// awaitReply waits for the loop's response to a call.
func awaitReply[Response any](ctx context.Context, l *loop, reply <-chan Response) (*Response, error) {
	select {
	case response := <-reply:
		return &response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ctx.Done():
		return nil, errStopping
	}
}

// Follow implements peer.Service.
func (p peerService) Follow(ctx context.Context, request *peer.FollowRequest) (*peer.FollowResponse, error) {
	reply := make(chan peer.FollowResponse, 1)
	p.deliver(leaderAnnounced{request, reply})
	return awaitReply(ctx, p.loop, reply)
}

// Yield implements peer.Service.
func (p peerService) Yield(ctx context.Context, yield *peer.YieldRequest) (*peer.YieldResponse, error) {
	reply := make(chan peer.YieldResponse, 1)
	p.deliver(yieldReceived{yield, reply})
	return awaitReply(ctx, p.loop, reply)
}

// Spread implements peer.Service.
func (p peerService) Spread(_ context.Context, update *peer.SpreadRequest) (*peer.SpreadResponse, error) {
	if update.Offer > 0 {
		return &peer.SpreadResponse{Lacking: p.versionInForce.Load() < update.Offer}, nil
	}
	p.forward(*update, splitGroups(update.ForwardTo, fanOut))
	p.deliver(spreadReceived{update})
	return &peer.SpreadResponse{}, nil
}
