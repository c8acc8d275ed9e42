// Package client is a client for the operator interface of a daemon.
//
// Every failure is an *Error whose Kind tells what an operator can do about it.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
)

// Kind classifies a failure.
type Kind uint8

// Kinds of failures.
const (
	KindUnreachable    Kind = iota // Connection to the address failed; nothing was changed.
	KindNoResponse                 // The connection broke or the request timed out.
	KindNotDaemon                  // The response is not from an operator interface.
	KindOldDaemon                  // The daemon does not support the request.
	KindRefused                    // The daemon rejected the request; Problem has the reason.
	KindUnknownOutcome             // A change may have been applied; repeating it with ChangeID determines the outcome.
)

// Error is the failure of one call.
type Error struct {
	Kind    Kind
	Address string
	// ChangeID identifies the change, with KindUnknown.
	ChangeID string
	// Problem is the daemon's response, with KindRefused.
	Problem *operator.Problem
	Err     error
}

// Error implements error. The message is one line, except for a list of errors in
// a configuration.
func (e *Error) Error() string {
	switch e.Kind {
	case KindUnreachable:
		return fmt.Sprintf("no daemon answers at %s: %s", e.Address, cause(e.Err))
	case KindNoResponse:
		return fmt.Sprintf("the daemon at %s did not answer: %s", e.Address, cause(e.Err))
	case KindNotDaemon:
		return fmt.Sprintf("%s is not the operator address of a daemon: %s", e.Address, e.Err)
	case KindOldDaemon:
		return fmt.Sprintf("the daemon at %s is older than this command: %s", e.Address, e.Err)
	case KindUnknownOutcome:
		return fmt.Sprintf("the outcome is unknown: %s; repeat the command with -change-id %s to settle it", cause(e.Err), e.ChangeID)
	default:
		return e.Problem.Error()
	}
}

// Unwrap returns the daemon's Problem or the underlying error.
func (e *Error) Unwrap() error {
	if e.Problem != nil {
		return e.Problem
	}
	return e.Err
}

// cause returns the message of the innermost error of a failed connection.
func cause(err error) string {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		return opErr.Err.Error()
	}
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		return "the time ran out"
	}
	return err.Error()
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Options configures a Client.
type Options struct {
	// Address is the IP:port of the operator interface.
	Address string
	Token   string
	// Timeout bounds one attempt; zero means DefaultTimeout.
	Timeout time.Duration
	// MaxAttempts bounds the attempts at a change whose response was lost; zero
	// means DefaultMaxAttempts.
	MaxAttempts int
}

// Defaults of Options.
const (
	DefaultTimeout     = 12 * time.Second
	DefaultMaxAttempts = 3
)

const (
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 64 << 20
	// dialTimeout bounds the connection setup.
	dialTimeout = 3 * time.Second
	// retryDelay is the time between two attempts at a change.
	retryDelay = 200 * time.Millisecond
)

// Client calls one daemon. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	base    *sling.Sling
}

// New returns a Client.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxAttempts == 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	// The operator interface is reached by its IP address, never through a proxy.
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &Client{
		options: options,
		http:    &http.Client{Timeout: options.Timeout, Transport: transport},
		base: sling.New().
			Base("http://"+options.Address).
			Set("Authorization", "Bearer "+options.Token),
	}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// query holds the query parameters of read requests.
type query struct {
	Service  string          `url:"service,omitempty"`
	Key      string          `url:"key,omitempty"`
	From     uint64          `url:"from,omitempty"`
	Limit    int             `url:"limit,omitempty"`
	Revision config.Revision `url:"revision,omitempty"`
}

// Version returns the daemon's interface version and build.
func (c *Client) Version(ctx context.Context) (operator.Version, error) {
	return get[operator.Version](ctx, c, operator.PathVersion, query{})
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	return get[operator.Status](ctx, c, operator.PathStatus, query{})
}

// Owners returns the owners of a service's units.
func (c *Client) Owners(ctx context.Context, service string) (operator.Owners, error) {
	return get[operator.Owners](ctx, c, operator.PathOwners, query{Service: service})
}

// Explain returns which server owns a key and why.
func (c *Client) Explain(ctx context.Context, service, key string) (operator.Explanation, error) {
	return get[operator.Explanation](ctx, c, operator.PathExplain, query{Service: service, Key: key})
}

// Events returns at most limit events with a cursor of at least from.
func (c *Client) Events(ctx context.Context, from uint64, limit int) (operator.Events, error) {
	return get[operator.Events](ctx, c, operator.PathEvents, query{From: from, Limit: limit})
}

// Record returns a revision; zero means the one in force.
func (c *Client) Record(ctx context.Context, revision config.Revision) (config.Record, error) {
	return get[config.Record](ctx, c, operator.PathConfig, query{Revision: revision})
}

// History returns the kept revisions.
func (c *Client) History(ctx context.Context) (operator.History, error) {
	return get[operator.History](ctx, c, operator.PathHistory, query{})
}

// Apply puts a configuration into force.
func (c *Client) Apply(ctx context.Context, request operator.ApplyRequest) (operator.ChangeResponse, error) {
	return c.change(ctx, operator.PathApply, request, request.ChangeID)
}

// Rollback puts the text of an earlier revision into force.
func (c *Client) Rollback(ctx context.Context, request operator.RollbackRequest) (operator.ChangeResponse, error) {
	return c.change(ctx, operator.PathRollback, request, request.ChangeID)
}

// Drain starts or ends the draining of a backend server.
func (c *Client) Drain(ctx context.Context, request operator.DrainRequest) (operator.ChangeResponse, error) {
	return c.change(ctx, operator.PathDrain, request, request.ChangeID)
}

// DeclareLost declares a VM, server, availability zone or region lost.
func (c *Client) DeclareLost(ctx context.Context, request operator.LostRequest) (operator.ChangeResponse, error) {
	return c.change(ctx, operator.PathLost, request, request.ChangeID)
}

// get sends a read request.
func get[Response any](ctx context.Context, c *Client, path string, parameters query) (Response, error) {
	return do[Response](ctx, c, c.base.New().Get(path).QueryStruct(parameters))
}

// change sends a change. If the response is lost, it sends the change again: the
// daemon recognizes a repeated change by its identifier.
func (c *Client) change(ctx context.Context, path string, body any, changeID string) (operator.ChangeResponse, error) {
	uncertain := false
	for attempt := 1; ; attempt++ {
		applied, err := do[operator.ChangeResponse](ctx, c, c.base.New().Post(path).BodyJSON(body))
		var failure *Error
		if !errors.As(err, &failure) {
			return applied, err
		}
		uncertain = uncertain || failure.mayHaveApplied()
		if !uncertain || failure.provesNotApplied() {
			return applied, failure
		}
		if attempt == c.options.MaxAttempts || pause(ctx) != nil {
			return applied, &Error{Kind: KindUnknownOutcome, Address: c.options.Address, ChangeID: changeID, Err: failure}
		}
	}
}

// pause waits for retryDelay or until ctx ends.
func pause(ctx context.Context) error {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// mayHaveApplied reports whether the change may have been applied despite e.
func (e *Error) mayHaveApplied() bool {
	return e.Kind == KindNoResponse || e.code() == operator.CodeUnknownOutcome
}

// provesNotApplied reports whether e proves that no attempt at the change was
// applied. The daemon looks up the change's identifier before it returns these
// codes.
func (e *Error) provesNotApplied() bool {
	switch e.code() {
	case operator.CodeConflict, operator.CodeInvalid, operator.CodeNotFound, operator.CodeTooLarge:
		return true
	default:
		return false
	}
}

// code returns the code of the daemon's Problem, or an empty string.
func (e *Error) code() operator.Code {
	if e.Problem == nil {
		return ""
	}
	return e.Problem.Code
}

// do sends a request and decodes the response.
func do[Response any](ctx context.Context, c *Client, call *sling.Sling) (Response, error) {
	var result Response
	request, err := call.Request()
	if err != nil {
		return result, &Error{Kind: KindUnreachable, Address: c.options.Address, Err: err}
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return result, c.transportError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result, &Error{Kind: KindNoResponse, Address: c.options.Address, Err: err}
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(operator.HeaderInterface) == "" {
		return result, c.rejection(response, body)
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return result, &Error{Kind: KindNotDaemon, Address: c.options.Address, Err: err}
	}
	return result, nil
}

// transportError distinguishes a failed connection attempt from a connection
// that broke later.
func (c *Client) transportError(err error) *Error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &Error{Kind: KindUnreachable, Address: c.options.Address, Err: err}
	}
	return &Error{Kind: KindNoResponse, Address: c.options.Address, Err: err}
}

// rejection converts the response to a rejected request to an Error.
func (c *Client) rejection(response *http.Response, body []byte) *Error {
	version, err := strconv.Atoi(response.Header.Get(operator.HeaderInterface))
	if err != nil {
		return &Error{Kind: KindNotDaemon, Address: c.options.Address, Err: fmt.Errorf("it answered %s", response.Status)}
	}
	problem := new(operator.Problem)
	if err := json.Unmarshal(body, problem); err != nil || problem.Code == "" {
		return &Error{Kind: KindNotDaemon, Address: c.options.Address, Err: fmt.Errorf("it answered %s", response.Status)}
	}
	if problem.Code == operator.CodeUnknownPath {
		err := fmt.Errorf("it speaks version %d of the interface: %s", version, problem.Message)
		return &Error{Kind: KindOldDaemon, Address: c.options.Address, Err: err}
	}
	return &Error{Kind: KindRefused, Address: c.options.Address, Problem: problem}
}
