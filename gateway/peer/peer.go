// Package peer carries messages between the gateway's daemons, by connect-go
// with JSON bodies.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

const (
	procedureReport = "/guavacrank.peer.v1.Peer/Report"
	procedureYield  = "/guavacrank.peer.v1.Peer/Yield"
	procedureSpread = "/guavacrank.peer.v1.Peer/Spread"
	procedureFollow = "/guavacrank.peer.v1.Peer/Follow"
	// callTimeout bounds one call.
	callTimeout = 800 * time.Millisecond
	// spreadTimeout bounds a call that carries news, which may be long.
	spreadTimeout = 3 * time.Second
	// connectTimeout bounds the making of a connection.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 20 * time.Second
	// maxMessageBytes bounds a message.
	maxMessageBytes = 8 << 20
	// compressFrom is the size in bytes from which an answer is compressed.
	compressFrom = 2 << 10
)

// Report is what a daemon tells the leader now and then.
type Report struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Address is the reporter's own IP:port for peers.
	Address string `json:"address"`
	// Zone is the reporter's availability zone, Strength what it can do for the
	// others (model.Settings.Strength).
	Zone     string  `json:"zone"`
	Capacity float64 `json:"strength"`
	// Pages are the versions of the pages of keys that the daemon has.
	Pages map[string]uint64 `json:"pages,omitempty"`
	// ConfigurationVersion is the version that the daemon has. WantConfiguration says
	// that it lacks the leader's, which did not come otherwise.
	ConfigurationVersion uint64 `json:"configuration"`
	WantConfiguration    bool   `json:"want_configuration,omitempty"`
	// MemberCount is the number of daemons that it knows.
	MemberCount int `json:"members"`
	// RequestedKeys lists, for each service, the keys that requests named since the
	// last report.
	RequestedKeys map[string][]uint16 `json:"asked,omitempty"`
	// Servers tells how backend servers answered since the last report.
	Servers []ServerReport `json:"servers,omitempty"`
	// Source and Change say which of the leader's lists of servers the daemon
	// has, and up to which change.
	Source   string `json:"source,omitempty"`
	Revision uint64 `json:"change,omitempty"`
}

// ServerReport is how one backend server answered.
type ServerReport struct {
	ID        string `json:"id"`
	Responses int    `json:"answers"`
	// MeanMS is the mean time to an answer in milliseconds.
	MeanMS float64 `json:"mean_ms"`
}

// ReportResponse is the leader's answer.
type ReportResponse struct {
	// Leading says whether the asked daemon leads; if not, Known is the leader
	// that it knows.
	Leading     bool       `json:"leading"`
	KnownLeader Leadership `json:"known"`
	// VMs is the number of daemons that reported lately, the leader included;
	// Strongest is the greatest strength among them.
	VMs         int     `json:"vms"`
	MaxCapacity float64 `json:"strongest"`
	// FollowStore says that the daemon is one of those that follow the store itself.
	FollowStore bool `json:"watch"`
	// Source names the leader's list of servers; Change is its newest change.
	// All says that Servers is the whole list and not what changed.
	Source   string              `json:"source,omitempty"`
	Revision uint64              `json:"change,omitempty"`
	Full     bool                `json:"all,omitempty"`
	Servers  []model.Server      `json:"servers,omitempty"`
	Removed  []model.Incarnation `json:"gone,omitempty"`
	// ListAgeMS is how long ago the leader read the list from the store.
	ListAgeMS int64 `json:"list_age_ms"`
	// ConfigurationVersion is the newest version that the leader has; Record is the
	// operators' record of it, if the daemon lacks it.
	ConfigurationVersion uint64               `json:"configuration"`
	Record               *ConfigurationRecord `json:"record,omitempty"`
	// Members are the addresses of all daemons, if their number differs from
	// what the daemon knows.
	Members []string `json:"members,omitempty"`
	// Pages are the pages of keys that the daemon lacks.
	Pages []StoredPage `json:"pages,omitempty"`
}

// StoredPage is a page of keys as it stands in the store.
type StoredPage struct {
	Service string          `json:"service"`
	Version uint64          `json:"version"`
	Page    json.RawMessage `json:"page"`
}

// SpreadRequest carries news of the leader to the daemons, each of which passes it on
// to some others.
type SpreadRequest struct {
	// Page is a change of a page of keys, if any.
	Page *PageChange `json:"page,omitempty"`
	// Record is the operators' record of a newer configuration, if any.
	Record *ConfigurationRecord `json:"record,omitempty"`
	// Servers is the leader's whole list of servers, if any.
	Servers *ServerList `json:"servers,omitempty"`
	// ForwardTo are the peers' addresses that the receiver passes the news on to.
	ForwardTo []string `json:"onward,omitempty"`
}

// ConfigurationRecord is the operators' record of the configuration.
type ConfigurationRecord struct {
	// Compressed is the compressed record.
	Compressed []byte `json:"packed"`
	// Version is the store's version of the record.
	Version uint64 `json:"version"`
}

// ServerList is a leader's whole list of servers.
type ServerList struct {
	// Source names the list, Change is its newest change.
	Source   string `json:"source"`
	Revision uint64 `json:"change"`
	// Compressed is the compressed list of model.Server.
	Compressed []byte `json:"packed"`
}

// PageChange makes one version of a service's page into the next one.
type PageChange struct {
	Service string          `json:"service"`
	Base    uint64          `json:"base"`
	Version uint64          `json:"version"`
	Change  json.RawMessage `json:"change"`
}

// Leadership names a leader.
type Leadership struct {
	Leader keys.Leader `json:"leader"`
	// Term is the store's version of the leader's key. It grows with each
	// leader.
	Term uint64 `json:"term"`
}

// FollowResponse acknowledges a leader.
type FollowResponse struct{}

// SpreadResponse acknowledges news.
type SpreadResponse struct{}

// YieldRequest asks an earlier leader to stop for good.
type YieldRequest struct {
	// Incarnation is the process that must stop.
	Incarnation string `json:"incarnation"`
}

// YieldResponse names the process that answered. If it is the one that was asked
// to stop, it sends no more grants; if not, that one is over.
type YieldResponse struct {
	Incarnation string `json:"incarnation"`
}

// Service is what a daemon does for its peers.
type Service interface {
	Report(ctx context.Context, report *Report) (*ReportResponse, error)
	Yield(ctx context.Context, yield *YieldRequest) (*YieldResponse, error)
	Spread(ctx context.Context, news *SpreadRequest) (*SpreadResponse, error)
	Follow(ctx context.Context, follow *Leadership) (*FollowResponse, error)
}

// codec encodes plain Go values as JSON.
type codec struct{}

// Name implements connect.Codec.
func (codec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (codec) Marshal(message any) ([]byte, error) { return json.Marshal(message) }

// Unmarshal implements connect.Codec.
func (codec) Unmarshal(data []byte, message any) error { return json.Unmarshal(data, message) }

// NewHandler returns the HTTP handler of a service.
func NewHandler(service Service) http.Handler {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressFrom)}
	mux.Handle(procedureReport, unary(procedureReport, service.Report, options))
	mux.Handle(procedureYield, unary(procedureYield, service.Yield, options))
	mux.Handle(procedureSpread, unary(procedureSpread, service.Spread, options))
	mux.Handle(procedureFollow, unary(procedureFollow, service.Follow, options))
	return mux
}

func unary[Q, A any](procedure string, do func(context.Context, *Q) (*A, error), options []connect.HandlerOption) http.Handler {
	return connect.NewUnaryHandler(procedure, func(ctx context.Context, request *connect.Request[Q]) (*connect.Response[A], error) {
		answer, err := do(ctx, request.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(answer), nil
	}, options...)
}

// Client calls peers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// Report calls the peer at an address (IP:port).
func (c *Client) Report(ctx context.Context, address string, report *Report) (*ReportResponse, error) {
	return call[Report, ReportResponse](ctx, c, address, procedureReport, report)
}

// Yield calls the peer at an address (IP:port).
func (c *Client) Yield(ctx context.Context, address string, yield *YieldRequest) (*YieldResponse, error) {
	return call[YieldRequest, YieldResponse](ctx, c, address, procedureYield, yield)
}

// Spread calls the peer at an address (IP:port).
func (c *Client) Spread(ctx context.Context, address string, news *SpreadRequest) (*SpreadResponse, error) {
	return call[SpreadRequest, SpreadResponse](ctx, c, address, procedureSpread, news)
}

// Follow calls the peer at an address (IP:port).
func (c *Client) Follow(ctx context.Context, address string, follow *Leadership) (*FollowResponse, error) {
	return call[Leadership, FollowResponse](ctx, c, address, procedureFollow, follow)
}

func call[Q, A any](ctx context.Context, c *Client, address, procedure string, message *Q) (*A, error) {
	timeout := callTimeout
	if procedure == procedureSpread {
		timeout = spreadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := connect.NewClient[Q, A](c.http, "http://"+address+procedure, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
	answer, err := client.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
