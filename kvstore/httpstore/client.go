package httpstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"guavacrank.example/kvstore"
)

const (
	// DefaultTimeout limits a call; a watch gets its wait on top.
	DefaultTimeout = 2 * time.Second
	// idleConns is the number of idle connections kept to the service.
	idleConns = 8
)

// errTooLong is an answer beyond maxAnswerBytes.
var errTooLong = errors.New("the answer is too long")

// ClientOptions configures a Client. Zero values take the defaults.
type ClientOptions struct {
	// Address is the service's IP:port.
	Address string
	Timeout time.Duration
	// DialContext makes connections; nil takes a net.Dialer with the time-out.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a kvstore.Store that calls the service over HTTP. It is safe for
// concurrent use.
//
// A write without an answer has OutcomeUnknown, unless no connection could be
// established.
type Client struct {
	http    *http.Client
	base    string
	timeout time.Duration
}

var _ kvstore.Store = (*Client)(nil)

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.DialContext == nil {
		options.DialContext = (&net.Dialer{Timeout: options.Timeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         options.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		http:    &http.Client{Transport: transport},
		base:    "http://" + options.Address,
		timeout: options.Timeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements kvstore.Store.
func (c *Client) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	answer, err := do[entryAnswer](ctx, c, call{op: "get", key: key, path: pathGet, body: keyRequest{key}})
	return answer.Entry, err
}

// List implements kvstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
	answer, err := do[entriesAnswer](ctx, c, call{op: "list", key: prefix, path: pathList, body: prefixRequest{prefix}})
	return answer.Entries, err
}

// CompareAndSwap implements kvstore.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error) {
	const op = "compare-and-swap"
	if len(value) > kvstore.MaxValueBytes {
		return 0, &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindTooLarge}
	}
	body := swapRequest{Key: key, Expected: expected, Value: value, Lease: lease}
	answer, err := do[versionAnswer](ctx, c, call{op: op, key: key, path: pathCompareAndSwap, body: body, write: true})
	return answer.Version, err
}

// Delete implements kvstore.Store.
func (c *Client) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	body := deleteRequest{Key: key, Expected: expected}
	_, err := do[emptyAnswer](ctx, c, call{op: "delete", key: key, path: pathDelete, body: body, write: true})
	return err
}

// Watch implements kvstore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Entry, error) {
	wait = min(wait, maxWatchWait)
	body := watchRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()}
	answer, err := do[entriesAnswer](ctx, c, call{op: "watch", key: prefix, path: pathWatch, body: body, wait: wait})
	return answer.Entries, err
}

// GrantLease implements kvstore.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	body := grantLeaseRequest{TTLMS: ttl.Milliseconds()}
	answer, err := do[leaseAnswer](ctx, c, call{op: "grant lease", path: pathGrantLease, body: body, write: true})
	return answer.Lease, err
}

// KeepAlive implements kvstore.Store.
func (c *Client) KeepAlive(ctx context.Context, lease kvstore.LeaseID) error {
	_, err := do[emptyAnswer](ctx, c, call{op: "keep alive", path: pathKeepAlive, body: leaseRequest{lease}, write: true})
	return err
}

// Revoke implements kvstore.Store.
func (c *Client) Revoke(ctx context.Context, lease kvstore.LeaseID) error {
	_, err := do[emptyAnswer](ctx, c, call{op: "revoke", path: pathRevoke, body: leaseRequest{lease}, write: true})
	return err
}

// VMs implements kvstore.Store.
func (c *Client) VMs(ctx context.Context) ([]kvstore.VM, error) {
	answer, err := do[vmsAnswer](ctx, c, call{op: "list VMs", path: pathVMs, body: emptyRequest{}})
	return answer.VMs, err
}

// call is one call of the protocol.
type call struct {
	op    string
	key   string
	path  string
	body  any
	write bool
	wait  time.Duration // Added to the time-out.
}

// failed returns the error of a call that brought no usable answer.
func (c call) failed(received bool, err error) error {
	return kvstore.Unavailable(c.op, c.key, c.write && received, err)
}

func do[Answer any](ctx context.Context, c *Client, call call) (Answer, error) {
	var answer Answer
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.wait)
	defer cancel()
	request, err := sling.New().Base(c.base).Post(call.path).BodyJSON(call.body).Request()
	if err != nil {
		return answer, &kvstore.Error{Op: call.op, Key: call.key, Kind: kvstore.KindInvalid, Err: err}
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return answer, call.failed(!isDialError(err), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return answer, call.failed(true, err)
	}
	if len(body) > maxAnswerBytes {
		return answer, call.failed(true, errTooLong)
	}
	if response.StatusCode != http.StatusOK {
		return answer, call.refused(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, call.failed(true, err)
	}
	return answer, nil
}

// refused returns the error that the service's answer reports. An answer that
// is no failure of this protocol proves nothing about the change.
func (c call) refused(status int, body []byte) error {
	var reported failure
	kind, ok := kvstore.KindInvalid, false
	if err := json.Unmarshal(body, &reported); err == nil {
		kind, ok = kindOf(reported.Failure)
	}
	if !ok || status != statusOf(kind) {
		return c.failed(true, fmt.Errorf("status %d without a failure of the protocol", status))
	}
	var reason error
	if reported.Reason != "" {
		reason = errors.New(reported.Reason)
	}
	return &kvstore.Error{
		Op:      c.op,
		Key:     c.key,
		Kind:    kind,
		Current: reported.Current,
		Err:     reason,
	}
}

// kindOf returns the kind with a name.
func kindOf(name string) (kvstore.Kind, bool) {
	for kind := kvstore.KindUnavailable; kind <= kvstore.KindInvalid; kind++ {
		if kind.String() == name {
			return kind, true
		}
	}
	return 0, false
}

// isDialError reports whether the connection was never established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
