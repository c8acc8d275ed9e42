// Package peer implements the RPCs between the gateway's daemons, using
// connect-go with JSON encoding.
package peer

import (
	"context"
	"encoding/json"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/serverlist"
	"guavacrank.example/kvstore"
)

const (
	procedureReport = "/guavacrank.peer.v1.Peer/Report"
	procedureYield  = "/guavacrank.peer.v1.Peer/Yield"
	procedureSpread = "/guavacrank.peer.v1.Peer/Spread"
	procedureFollow = "/guavacrank.peer.v1.Peer/Follow"
	procedureFence  = "/guavacrank.peer.v1.Peer/Fence"
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
	minCompressBytes = 1 << 9
)

// Report is the status that every daemon sends to the leader periodically.
type Report struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// UptimeMS is the time since the sender started, in milliseconds.
	UptimeMS int64 `json:"uptime_ms,omitempty"`
	// FirstLeader says that the process has followed no leader before Leader.
	FirstLeader bool `json:"first_leader,omitempty"`
	// Leader is the leadership that the report is meant for. A leader of another term
	// does not count it: its sender would go on following an earlier one.
	Leader Leadership `json:"leader"`
	// LeaderKnown says that the response of Leader need not name it. Client sets it.
	LeaderKnown bool `json:"leader_known,omitempty"`
	// AnsweredAtMS is ReportResponse.ClockMS of the leader's last response to the sender,
	// zero without one, and AnsweredAgoMS the time since it arrived.
	AnsweredAtMS  int64 `json:"answered_at_ms,omitempty"`
	AnsweredAgoMS int64 `json:"answered_ago_ms,omitempty"`
	// Address is the IP:port at which the sender accepts calls from peers.
	Address string `json:"address"`
	// Zone is the sender's availability zone, Capacity its capacity
	// (model.Settings.Capacity).
	Zone     string  `json:"zone"`
	Capacity float64 `json:"strength"`
	// Pages maps each service to the stamp of the ownership page that the sender has.
	Pages map[string]keys.Stamp `json:"pages,omitempty"`
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
	// Samples are what the sender saw of the backend servers since the last report
	// (capacity.EncodeSamples). WantEstimates asks for the leader's estimates.
	Samples       []byte `json:"samples,omitempty"`
	WantEstimates bool   `json:"want_estimates,omitempty"`
	// Limits are the sender's observations of servers that limit their requests.
	Limits []limit.Observation `json:"limits,omitempty"`
	// Leaving are the listed servers that told the sender that they are leaving.
	Leaving []model.Incarnation `json:"leaving,omitempty"`
	// ListBase is the position from which on the sender needs changes of the server list;
	// zero if it needs the complete list.
	ListBase kvstore.Position `json:"list_base"`
	// FollowsStore says whether the sender watches the store. Distribution is the
	// fingerprint of the Distribution that it has.
	FollowsStore bool   `json:"watch,omitempty"`
	Distribution uint64 `json:"distribution,omitempty"`
	// GaveUp says that the sender gave up the leadership GaveUpAgoMS milliseconds ago,
	// because most backend servers did not answer it.
	GaveUp      bool  `json:"gave_up,omitempty"`
	GaveUpAgoMS int64 `json:"gave_up_ago_ms,omitempty"`
	// ToFollower asks the receiver, as a store follower, for what the sender lacks. It
	// does not report to a leader: the receiver must not count it towards a majority.
	ToFollower bool `json:"to_follower,omitempty"`
	// OnlyConfiguration, with ToFollower, asks for no more than the configuration, and
	// OnlyVersion for no more than its version.
	OnlyConfiguration bool `json:"only_configuration,omitempty"`
	OnlyVersion       bool `json:"only_version,omitempty"`
}

// ServerReport summarizes the responses of one incarnation of a backend server.
type ServerReport struct {
	model.Incarnation
	Responses int `json:"answers"`
	// MeanMS is the mean response time in milliseconds.
	MeanMS float64 `json:"mean_ms"`
}

// ReportResponse is the response to a Report.
type ReportResponse struct {
	// Leading says whether the responding daemon leads in the term for which the report
	// was meant. KnownLeader is the leader that it knows, itself if it leads.
	Leading     bool       `json:"leading"`
	KnownLeader Leadership `json:"known,omitzero"`
	// ClockMS is the leader's clock when it responded.
	ClockMS int64 `json:"clock_ms,omitempty"`
	// ContactMS is the leader's clock when it sent the last call of its term that the store
	// answered; zero if that is unknown.
	ContactMS int64 `json:"contact_ms,omitempty"`
	// ImpairedZones are the availability zones in which the leader's grants may arrive late.
	ImpairedZones []string `json:"impaired_zones,omitempty"`
	// VMs is the number of daemons that reported recently, including the leader.
	// MaxCapacity is the highest capacity among them.
	VMs         int     `json:"vms"`
	MaxCapacity float64 `json:"strongest"`
	// FollowStore tells the receiver to watch the store itself.
	FollowStore bool `json:"watch"`
	// Changes are the changes of the server list since the reported ListBase, List is the
	// complete list. At most one of them is set.
	Changes *ServerChanges `json:"changes,omitempty"`
	List    *ServerList    `json:"list,omitempty"`
	// Era is the newest era of the store that the responding daemon knows.
	Era kvstore.Era `json:"era,omitempty"`
	// ConfigurationVersion is the newest version that the leader has. Record is
	// the operators' record of it, sent if the receiver lacks it.
	ConfigurationVersion uint64               `json:"configuration"`
	Record               *ConfigurationRecord `json:"record,omitempty"`
	// ConfirmedAgeMS is the time since the sender last knew that it had the newest
	// version, in milliseconds; -1 if it never did.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
	// InContact says that the sender watches the store and that its last call to the
	// store succeeded.
	InContact bool `json:"in_contact,omitempty"`
	// Estimates are the leader's estimates of the backend servers' capacity
	// (capacity.EncodeEstimates), if the report asks for them.
	Estimates []byte `json:"estimates,omitempty"`
	// Limits are the leader's decisions on servers that limit their requests.
	Limits []limit.Allotment `json:"limits,omitempty"`
	// Members holds the addresses of all daemons if their number differs from
	// the reported MemberCount.
	Members []string `json:"members,omitempty"`
	// Pages are the ownership pages that the receiver lacks.
	Pages []StoredPage `json:"pages,omitempty"`
	// Distribution is the receiver's assignment to store followers if it has changed.
	Distribution *Distribution `json:"distribution,omitempty"`
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
	Page    json.RawMessage `json:"page"`
}

// SpreadRequest carries the leader's updates to the other daemons along a tree:
// each receiver forwards it to a part of the remaining ones.
type SpreadRequest struct {
	// Page is the change of an ownership page, if any.
	Page *PageChange `json:"page,omitempty"`
	// Record is the operators' record of a newer configuration, if any.
	Record *ConfigurationRecord `json:"record,omitempty"`
	// Servers is the complete server list, if any.
	Servers *ServerList `json:"servers,omitempty"`
	// Changes are the newest changes of the server list, if any.
	Changes *ServerChanges `json:"changes,omitempty"`
	// Held says what else the sender has, so that receivers ask for what they lack.
	Held *HeldVersions `json:"held,omitempty"`
	// Offer is the version of a configuration that the sender has. The response says
	// whether the receiver lacks it.
	Offer uint64 `json:"offer,omitempty"`
	// ForwardTo holds the addresses of the peers that the receiver is to reach.
	ForwardTo []string `json:"onward,omitempty"`
}

// ConfigurationRecord is the operators' configuration record.
type ConfigurationRecord struct {
	// Compressed is the record in gzip format.
	Compressed []byte `json:"packed"`
	// Position is where the record was read: the store's era, and the version of the
	// record's key in it.
	Position kvstore.Position `json:"position"`
}

// HeldVersions are versions that a leader has had in force for a while: every daemon should
// have got them by now.
type HeldVersions struct {
	Configuration uint64 `json:"configuration,omitempty"`
	// Pages maps services to the stamps of their ownership pages.
	Pages map[string]keys.Stamp `json:"pages,omitempty"`
}

// ListOrigin says when and how a server list was read from the store.
type ListOrigin struct {
	// AgeMS is the time since the read, in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Settled says that servers which are not listed have left. Otherwise they may
	// reappear: the reader did not know the list before the store was away.
	Settled bool `json:"settled,omitempty"`
}

// ServerList is a complete server list.
type ServerList struct {
	ListOrigin
	// Position is the state of the store from which the list was read.
	Position kvstore.Position `json:"position"`
	// Digest is that of serverlist.List.
	Digest uint64 `json:"digest"`
	// Compressed is a JSON array of model.Server in gzip format.
	Compressed []byte `json:"packed"`
}

// ServerChanges are changes of the server list. They may be empty: then they say that the
// list of an earlier position still holds.
type ServerChanges struct {
	ListOrigin
	serverlist.Changes
}

// PageChange is the difference between two ownership pages. Change turns the page with
// the stamp Base, the zero value for none, into the next one.
type PageChange struct {
	Service string          `json:"service"`
	Base    keys.Stamp      `json:"base"`
	Change  json.RawMessage `json:"change"`
}

// Leadership is a leader with its term.
type Leadership struct {
	Leader keys.Leader `json:"leader"`
	// Term is the position of the write of the leader's key. It increases with each
	// leader.
	Term kvstore.Position `json:"term"`
}

// FollowRequest announces a leader and asks what the receiver knows.
type FollowRequest struct {
	Leadership
	// Pages maps each service to the stamp of the ownership page that the leader has.
	Pages map[string]keys.Stamp `json:"pages,omitempty"`
	// MemberCount is the number of daemons that the leader knows.
	MemberCount int `json:"members"`
}

// FollowResponse says what the receiver of an announcement knows.
type FollowResponse struct {
	// FormerLeader is the last leader of an earlier era of the store that the sender
	// knows.
	FormerLeader Leadership `json:"former"`
	// Witness says that no process of the sender's VM has followed a later leader of those
	// eras.
	Witness bool `json:"witness,omitempty"`
	// Pages are the ownership pages that the leader lacks.
	Pages []StoredPage `json:"pages,omitempty"`
	// MemberCount is the number of daemons that the sender knows. Members holds their
	// addresses if it knows more of them than the leader.
	MemberCount int      `json:"member_count,omitempty"`
	Members     []string `json:"members,omitempty"`
	// FormerMemberCount is the number of daemons that FormerLeader named to the sender.
	FormerMemberCount int `json:"former_member_count,omitempty"`
}

// SpreadResponse acknowledges a SpreadRequest.
type SpreadResponse struct {
	// Lacking says that the responding daemon lacks the configuration that was offered.
	Lacking bool `json:"lacking,omitempty"`
}

// YieldRequest asks an earlier leader to stop leading.
type YieldRequest struct {
	// Incarnation identifies the process that has to stop leading.
	Incarnation string `json:"incarnation"`
	// Successor is the sender's own leadership.
	Successor Leadership `json:"successor"`
	// Pages maps each service to the stamp of the ownership page that the sender has.
	Pages map[string]keys.Stamp `json:"pages,omitempty"`
}

// YieldResponse confirms that an earlier leader has stopped.
type YieldResponse struct {
	// VM and Incarnation identify the responding process. If it is the requested one,
	// that process sends no more grants. If it is another one of the same VM, the
	// requested process no longer runs. Another VM proves nothing.
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// UptimeMS is the time since the responding process started, in milliseconds.
	UptimeMS int64 `json:"uptime_ms,omitempty"`
	// Refused says that the process leads by a later term than that of the sender.
	Refused bool `json:"refused,omitempty"`
	// KnownLeader is the last leader that the process knows; FormerLeader the last one of
	// an earlier era than that of the sender's term.
	KnownLeader  Leadership `json:"known"`
	FormerLeader Leadership `json:"former"`
	// ImpairedZones are the availability zones in which grants of the process may arrive
	// late.
	ImpairedZones []string `json:"impaired_zones,omitempty"`
	// Members holds the addresses of the daemons that report, or reported, to the process.
	Members []string `json:"members,omitempty"`
	// NewestPages says that the process led last, and knew the newest page of each
	// service. Pages are those that the sender of the request lacks.
	NewestPages bool         `json:"newest_pages,omitempty"`
	Pages       []StoredPage `json:"pages,omitempty"`
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
	Follow(ctx context.Context, request *FollowRequest) (*FollowResponse, error)
	// Fence sends a backend server a release for the leader.
	Fence(ctx context.Context, request *FenceRequest) (*FenceResponse, error)
}
