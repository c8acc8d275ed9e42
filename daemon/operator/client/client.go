// Package client calls the operator interface of a daemon.
//
// Every failure is an *Error whose Kind says what an operator can do about it.
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
	KindUnreachable    Kind = iota // Nothing answers at the address; nothing was changed.
	KindNoResponse                 // The connection broke or the time ran out.
	KindNotDaemon                  // Something answers that is not the operator interface.
	KindOldDaemon                  // The daemon does not know the request.
	KindRefused                    // The daemon refused; Problem says why.
	KindUnknownOutcome             // A change may have taken effect; ChangeID settles it.
)

// Error is the failure of one call.
type Error struct {
	Kind    Kind
	Address string
	// ChangeID identifies the change, with KindUnknown.
	ChangeID string
	// Problem is the daemon's answer, with KindRefused.
	Problem *operator.Problem
	Err     error
}

// Error implements error, in one line but for a configuration's faults.
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

// Unwrap returns the daemon's answer or the failure below.
func (e *Error) Unwrap() error {
	if e.Problem != nil {
		return e.Problem
	}
	return e.Err
}

// cause returns the innermost reason of a failed connection.
func cause(err error) string {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Err.Error()
	}
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		return "the time ran out"
	}
	return err.Error()
}

// isTimeout reports whether err is a time-out of the network.
func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// Options configures a Client.
type Options struct {
	// Address is the IP:port of the operator interface.
	Address string
	Token   string
	// Timeout bounds one attempt; zero takes DefaultTimeout.
	Timeout time.Duration
	// MaxAttempts is the number of attempts at a change whose answer was
	// lost; zero takes DefaultSettleAttempts.
	MaxAttempts int
}

// Defaults of Options.
const (
	DefaultTimeout     = 12 * time.Second
	DefaultMaxAttempts = 3
)

const (
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
	// dialTimeout bounds the connection's set-up.
	dialTimeout = 3 * time.Second
	// settlePause is the time between two attempts to settle a change.
	settlePause = 200 * time.Millisecond
)

// Client calls one daemon. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	base    *sling.Sling
}

// New returns a client.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxAttempts == 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	// The operator interface is reached by IP number, never through a proxy.
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

// query is the parameters of reads.
type query struct {
	Service  string          `url:"service,omitempty"`
	Key      string          `url:"key,omitempty"`
	From     uint64          `url:"from,omitempty"`
	Limit    int             `url:"limit,omitempty"`
	Revision config.Revision `url:"revision,omitempty"`
}

// Version asks which interface the daemon speaks.
func (c *Client) Version(ctx context.Context) (operator.Version, error) {
	return get[operator.Version](ctx, c, operator.PathVersion, query{})
}

// Status asks for the state of the fleet.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	return get[operator.Status](ctx, c, operator.PathStatus, query{})
}

// Owners asks who owns what of a service.
func (c *Client) Owners(ctx context.Context, service string) (operator.Owners, error) {
	return get[operator.Owners](ctx, c, operator.PathOwners, query{Service: service})
}

// Explain asks who serves a key and why.
func (c *Client) Explain(ctx context.Context, service, key string) (operator.Explanation, error) {
	return get[operator.Explanation](ctx, c, operator.PathExplain, query{Service: service, Key: key})
}

// Events asks for events with a cursor of at least from.
func (c *Client) Events(ctx context.Context, from uint64, limit int) (operator.Events, error) {
	return get[operator.Events](ctx, c, operator.PathEvents, query{From: from, Limit: limit})
}

// Record asks for a revision; zero is the one in force.
func (c *Client) Record(ctx context.Context, revision config.Revision) (config.Record, error) {
	return get[config.Record](ctx, c, operator.PathConfig, query{Revision: revision})
}

// History asks for the kept revisions.
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

// DeclareLost declares something lost.
func (c *Client) DeclareLost(ctx context.Context, request operator.LostRequest) (operator.ChangeResponse, error) {
	return c.change(ctx, operator.PathLost, request, request.ChangeID)
}

// get runs one read.
func get[Answer any](ctx context.Context, c *Client, path string, parameters query) (Answer, error) {
	return do[Answer](ctx, c, c.base.New().Get(path).QueryStruct(parameters))
}

// change runs one change. A lost answer is settled by sending the change
// again: the daemon knows it by its identifier.
func (c *Client) change(ctx context.Context, path string, body any, changeID string) (operator.ChangeResponse, error) {
	sent := false
	for attempt := 1; ; attempt++ {
		applied, err := do[operator.ChangeResponse](ctx, c, c.base.New().Post(path).BodyJSON(body))
		var failure *Error
		if !errors.As(err, &failure) {
			return applied, err
		}
		sent = sent || failure.mayHaveApplied()
		if !sent || failure.settles() {
			return applied, failure
		}
		if attempt == c.options.MaxAttempts || pause(ctx) != nil {
			return applied, &Error{Kind: KindUnknownOutcome, Address: c.options.Address, ChangeID: changeID, Err: failure}
		}
	}
}

// pause waits between two attempts to settle a change.
func pause(ctx context.Context) error {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// mayHaveApplied reports whether the change may be in force in spite of e.
func (e *Error) mayHaveApplied() bool {
	return e.Kind == KindNoResponse || e.code() == operator.CodeUnknownOutcome
}

// settles reports whether e proves that no attempt at the change is in force.
// The daemon looks for the change's identifier before it refuses like that.
func (e *Error) settles() bool {
	switch e.code() {
	case operator.CodeConflict, operator.CodeInvalid, operator.CodeNotFound, operator.CodeTooLarge:
		return true
	default:
		return false
	}
}

// code returns the daemon's refusal, or none.
func (e *Error) code() operator.Code {
	if e.Problem == nil {
		return ""
	}
	return e.Problem.Code
}

// do sends one request and reads its answer.
func do[Answer any](ctx context.Context, c *Client, call *sling.Sling) (Answer, error) {
	var answer Answer
	request, err := call.Request()
	if err != nil {
		return answer, &Error{Kind: KindUnreachable, Address: c.options.Address, Err: err}
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return answer, c.transportError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, &Error{Kind: KindNoResponse, Address: c.options.Address, Err: err}
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(operator.HeaderInterface) == "" {
		return answer, c.refusal(response, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &Error{Kind: KindNotDaemon, Address: c.options.Address, Err: err}
	}
	return answer, nil
}

// transportError tells a refused connection from a broken one.
func (c *Client) transportError(err error) *Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &Error{Kind: KindUnreachable, Address: c.options.Address, Err: err}
	}
	return &Error{Kind: KindNoResponse, Address: c.options.Address, Err: err}
}

// refusal reads the answer to a refused request.
func (c *Client) refusal(response *http.Response, body []byte) *Error {
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
