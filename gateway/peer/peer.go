// Package peer implements the RPCs between the gateway's daemons, using
// connect-go with JSON encoding.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/model"
)

const (
	procedureReport = "/guavacrank.peer.v1.Peer/Report"
	procedureYield  = "/guavacrank.peer.v1.Peer/Yield"
	procedureSpread = "/guavacrank.peer.v1.Peer/Spread"
	procedureFollow = "/guavacrank.peer.v1.Peer/Follow"
	// callTimeout is the timeout of a call with a small message.
	callTimeout = 800 * time.Millisecond
	// spreadTimeout is the timeout of a Spread with a configuration or a server list.
	spreadTimeout = 3 * time.Second
	// connectTimeout limits connection establishment.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 20 * time.Second
	// maxMessageBytes limits the size of a message.
	maxMessageBytes = 8 << 20
	// minCompressBytes is the response size from which responses are compressed.
	minCompressBytes = 2 << 10
)

// Report is the status that every daemon sends to the leader periodically.
type Report struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Address is the IP:port at which the sender accepts calls from peers.
	Address string `json:"address"`
	// Zone is the sender's availability zone, Capacity its capacity
	// (model.Settings.Capacity).
	Zone     string  `json:"zone"`
	Capacity float64 `json:"strength"`
	// Pages maps each service to the version of the ownership page that the
	// sender has.
	Pages map[string]uint64 `json:"pages,omitempty"`
	// ConfigurationVersion is the version in force at the sender.
	// WantConfiguration asks for the leader's version, which the sender did not
	// get from the store.
	ConfigurationVersion uint64 `json:"configuration"`
	WantConfiguration    bool   `json:"want_configuration,omitempty"`
	// MemberCount is the number of daemons that the sender knows.
	MemberCount int `json:"members"`
	// RequestedKeys lists the keys of requests since the last report, by service.
	// A key occurs once for each request.
	RequestedKeys map[string][]uint16 `json:"asked,omitempty"`
	// Servers summarizes the responses of backend servers since the last report.
	Servers []ServerReport `json:"servers,omitempty"`
	// Limits are the sender's observations of servers that limit their requests.
	Limits []limit.Observation `json:"limits,omitempty"`
	// Source and Revision identify the server list that the sender has: the
	// incarnation of the leader that published it, and the list's revision.
	Source   string `json:"source,omitempty"`
	Revision uint64 `json:"change,omitempty"`
	// ListAgeMS is the time since the sender's server list was read from the store.
	ListAgeMS int64 `json:"list_age_ms,omitempty"`
	// FollowsStore says whether the sender watches the store. Distribution is the
	// fingerprint of the Distribution that it has.
	FollowsStore bool   `json:"watch,omitempty"`
	Distribution uint64 `json:"distribution,omitempty"`
	// ToFollower asks the receiver, as a store follower, for what the sender lacks. It
	// does not report to a leader: the receiver must not count it towards a majority.
	ToFollower bool `json:"to_follower,omitempty"`
}

// ServerReport summarizes the responses of one backend server.
type ServerReport struct {
	ID        string `json:"id"`
	Responses int    `json:"answers"`
	// MeanMS is the mean response time in milliseconds.
	MeanMS float64 `json:"mean_ms"`
}

// ReportResponse is the response to a Report.
type ReportResponse struct {
	// Leading says whether the responding daemon is the leader. If it is not,
	// KnownLeader is the leader that it knows.
	Leading     bool       `json:"leading"`
	KnownLeader Leadership `json:"known"`
	// VMs is the number of daemons that reported recently, including the leader.
	// MaxCapacity is the highest capacity among them.
	VMs         int     `json:"vms"`
	MaxCapacity float64 `json:"strongest"`
	// FollowStore tells the receiver to watch the store itself.
	FollowStore bool `json:"watch"`
	// Source and Revision identify the leader's server list. If Full is set,
	// Servers is the whole list; otherwise Servers and Removed are the changes
	// since the revision that was reported.
	Source   string              `json:"source,omitempty"`
	Revision uint64              `json:"change,omitempty"`
	Full     bool                `json:"all,omitempty"`
	Servers  []model.Server      `json:"servers,omitempty"`
	Removed  []model.Incarnation `json:"gone,omitempty"`
	// ListAgeMS is the time since the leader read the list from the store.
	ListAgeMS int64 `json:"list_age_ms"`
	// ConfigurationVersion is the newest version that the leader has. Record is
	// the operators' record of it, sent if the receiver lacks it.
	ConfigurationVersion uint64               `json:"configuration"`
	Record               *ConfigurationRecord `json:"record,omitempty"`
	// ConfirmedAgeMS is the time since the sender last knew that it had the newest
	// version, in milliseconds; -1 if it never did.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
	// Limits are the leader's decisions on servers that limit their requests.
	Limits []limit.Allotment `json:"limits,omitempty"`
	// Members holds the addresses of all daemons if their number differs from
	// the reported MemberCount.
	Members []string `json:"members,omitempty"`
	// Pages are the ownership pages that the receiver lacks.
	Pages []StoredPage `json:"pages,omitempty"`
	// Distribution is the receiver's assignment to store followers if it has changed.
	Distribution *Distribution `json:"distribution,omitempty"`
	// List is a store follower's server list if the receiver has an older one.
	List *ServerList `json:"list,omitempty"`
}

// Distribution assigns a daemon of a large fleet to store followers, which are the
// daemons that watch the store.
type Distribution struct {
	// Followers are the addresses of the store followers to ask while the leader does
	// not respond, in this order.
	Followers []string `json:"followers,omitempty"`
	// Recipients are the addresses of the daemons to which the receiver, a store
	// follower, offers each new configuration.
	Recipients []string `json:"recipients,omitempty"`
}

// StoredPage is the ownership page of a service, encoded as in the store.
type StoredPage struct {
	Service string          `json:"service"`
	Version uint64          `json:"version"`
	Page    json.RawMessage `json:"page"`
}

// SpreadRequest carries the leader's updates to the other daemons along a tree:
// each receiver forwards it to a part of the remaining ones.
type SpreadRequest struct {
	// Page is the change of an ownership page, if any.
	Page *PageChange `json:"page,omitempty"`
	// Record is the operators' record of a newer configuration, if any.
	Record *ConfigurationRecord `json:"record,omitempty"`
	// Servers is the leader's complete server list, if any.
	Servers *ServerList `json:"servers,omitempty"`
	// Changes are the newest changes of the leader's server list, if any.
	Changes *ServerChanges `json:"changes,omitempty"`
	// Offer is the version of the record of a configuration that the sender has. The
	// response says whether the receiver lacks it.
	Offer uint64 `json:"offer,omitempty"`
	// ForwardTo holds the addresses of the peers that the receiver is to reach.
	ForwardTo []string `json:"onward,omitempty"`
}

// ConfigurationRecord is the operators' configuration record.
type ConfigurationRecord struct {
	// Compressed is the record in gzip format.
	Compressed []byte `json:"packed"`
	// Version is the version of the record's key in the store.
	Version uint64 `json:"version"`
}

// ServerList is a leader's complete server list.
type ServerList struct {
	// Source is the incarnation of the leader, Revision the revision of its list.
	Source   string `json:"source"`
	Revision uint64 `json:"change"`
	// Compressed is a JSON array of model.Server in gzip format.
	Compressed []byte `json:"packed"`
}

// ServerChanges are the changes of a leader's server list from revision Base to
// Revision.
type ServerChanges struct {
	// Source is the incarnation of the leader.
	Source   string              `json:"source"`
	Base     uint64              `json:"base"`
	Revision uint64              `json:"change"`
	Servers  []model.Server      `json:"servers,omitempty"`
	Removed  []model.Incarnation `json:"gone,omitempty"`
}

// PageChange is the difference between two versions of an ownership page. Change
// turns version Base into Version.
type PageChange struct {
	Service string          `json:"service"`
	Base    uint64          `json:"base"`
	Version uint64          `json:"version"`
	Change  json.RawMessage `json:"change"`
}

// Leadership is a leader with its term.
type Leadership struct {
	Leader keys.Leader `json:"leader"`
	// Term is the version of the leader's key in the store. It increases with
	// each leader.
	Term uint64 `json:"term"`
}

// FollowResponse acknowledges a Leadership.
type FollowResponse struct{}

// SpreadResponse acknowledges a SpreadRequest.
type SpreadResponse struct {
	// Lacking says that the responding daemon lacks the configuration that was offered.
	Lacking bool `json:"lacking,omitempty"`
}

// YieldRequest asks an earlier leader to stop leading.
type YieldRequest struct {
	// Incarnation identifies the process that has to stop leading.
	Incarnation string `json:"incarnation"`
}

// YieldResponse confirms that an earlier leader has stopped.
type YieldResponse struct {
	// Incarnation identifies the responding process. If it is the requested one,
	// that process sends no more grants. If it is another one, the requested
	// process no longer runs.
	Incarnation string `json:"incarnation"`
}

// Service is the RPC interface that every daemon offers to its peers.
type Service interface {
	// Report delivers a status report to the leader.
	Report(ctx context.Context, report *Report) (*ReportResponse, error)
	// Yield asks an earlier leader to stop leading.
	Yield(ctx context.Context, request *YieldRequest) (*YieldResponse, error)
	// Spread delivers updates from the leader.
	Spread(ctx context.Context, request *SpreadRequest) (*SpreadResponse, error)
	// Follow announces a leader.
	Follow(ctx context.Context, leadership *Leadership) (*FollowResponse, error)
}

// codec is a connect.Codec for plain Go structs, encoded as JSON.
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
	options := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes)}
	mux.Handle(procedureReport, unary(procedureReport, service.Report, options))
	mux.Handle(procedureYield, unary(procedureYield, service.Yield, options))
	mux.Handle(procedureSpread, unary(procedureSpread, service.Spread, options))
	mux.Handle(procedureFollow, unary(procedureFollow, service.Follow, options))
	return mux
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
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// Report calls Service.Report of the peer at address (IP:port).
func (c *Client) Report(ctx context.Context, address string, report *Report) (*ReportResponse, error) {
	return call[Report, ReportResponse](ctx, c, address, procedureReport, report)
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
func (c *Client) Follow(ctx context.Context, address string, leadership *Leadership) (*FollowResponse, error) {
	return call[Leadership, FollowResponse](ctx, c, address, procedureFollow, leadership)
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
