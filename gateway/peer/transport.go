package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"guavacrank.example/gateway/memory"
	"guavacrank.example/traffic/upstream"
)

// codec is a connect.Codec for plain Go structs, encoded as JSON.
type codec struct{}

// Name implements connect.Codec.
func (codec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (codec) Marshal(message any) ([]byte, error) { return json.Marshal(message) }

// Unmarshal implements connect.Codec.
func (codec) Unmarshal(data []byte, message any) error { return json.Unmarshal(data, message) }

// NewHandler returns the HTTP handler of a service. account counts the messages that are
// received; nil sets no limit.
func NewHandler(service Service, account *memory.Account) http.Handler {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes)}
	mux.Handle(procedureReport, unary(procedureReport, shortened(service.Report), options))
	mux.Handle(procedureYield, unary(procedureYield, service.Yield, options))
	mux.Handle(procedureSpread, unary(procedureSpread, service.Spread, options))
	mux.Handle(procedureFollow, unary(procedureFollow, service.Follow, options))
	mux.Handle(procedureFence, unary(procedureFence, service.Fence, options))
	return leanResponses{countedMessages{mux, account}}
}

func unary[Req, Res any](procedure string, handle func(context.Context, *Req) (*Res, error), options []connect.HandlerOption) http.Handler {
	return connect.NewUnaryHandler(procedure, func(ctx context.Context, request *connect.Request[Req]) (*connect.Response[Res], error) {
		response, err := handle(ctx, request.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(response), nil
	}, options...)
}

// Client calls the Service of peers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a Client.
func NewClient() *Client {
	return NewClientOver((&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}).DialContext)
}

// NewClientOver returns a Client whose connections are opened by dial.
func NewClientOver(dial upstream.Dial) *Client {
	return &Client{http: &http.Client{Transport: leanRequests{&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}}
}

// Report calls Service.Report of the peer at address (IP:port).
func (c *Client) Report(ctx context.Context, address string, report *Report) (*ReportResponse, error) {
	sent := *report
	sent.LeaderKnown = true
	response, err := call[Report, ReportResponse](ctx, c, address, procedureReport, &sent)
	if err != nil {
		return nil, err
	}
	complete(report, response)
	return response, nil
}

// Yield calls Service.Yield of the peer at address (IP:port).
func (c *Client) Yield(ctx context.Context, address string, request *YieldRequest) (*YieldResponse, error) {
	return call[YieldRequest, YieldResponse](ctx, c, address, procedureYield, request)
}

// Spread calls Service.Spread of the peer at address (IP:port).
func (c *Client) Spread(ctx context.Context, address string, request *SpreadRequest) (*SpreadResponse, error) {
	return call[SpreadRequest, SpreadResponse](ctx, c, address, procedureSpread, request)
}

// Follow calls Service.Follow of the peer at address (IP:port).
func (c *Client) Follow(ctx context.Context, address string, request *FollowRequest) (*FollowResponse, error) {
	return call[FollowRequest, FollowResponse](ctx, c, address, procedureFollow, request)
}

// Fence calls Service.Fence of the peer at address (IP:port). The receiver waits for the
// backend server until ctx ends.
func (c *Client) Fence(ctx context.Context, address string, request *FenceRequest) (*FenceResponse, error) {
	return call[FenceRequest, FenceResponse](ctx, c, address, procedureFence, request)
}

func call[Req, Res any](ctx context.Context, c *Client, address, procedure string, message *Req) (*Res, error) {
	timeout := callTimeout
	if update, ok := any(message).(*SpreadRequest); ok && (update.Record != nil || update.Servers != nil) {
		timeout = spreadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := connect.NewClient[Req, Res](c.http, "http://"+address+procedure, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
	response, err := client.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
