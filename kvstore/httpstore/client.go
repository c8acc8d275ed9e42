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
	// DefaultTimeout limits a call; for a watch its wait is added.
	DefaultTimeout = 2 * time.Second
	// idleConns is the maximum number of idle connections to the service.
	idleConns = 8
)

// errResponseTooLong reports a response longer than maxResponseBytes.
var errResponseTooLong = errors.New("the answer is too long")

// ClientOptions configures a Client. Zero values take the defaults.
type ClientOptions struct {
	// Address is the service's IP:port.
	Address string
	Timeout time.Duration
	// DialContext opens connections; the default is a net.Dialer with Timeout.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a kvstore.Store that calls the service over HTTP. It is safe for
// concurrent use.
//
// A write without a response fails with OutcomeUnknown, unless no connection
// could be established.
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
	response, err := do[entryResponse](ctx, c, call{op: "get", key: key, path: pathGet, body: keyRequest{key}})
	return response.Entry, err
}

// List implements kvstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
	response, err := do[entriesResponse](ctx, c, call{op: "list", key: prefix, path: pathList, body: prefixRequest{prefix}})
	return response.Entries, err
}

// CompareAndSwap implements kvstore.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error) {
	const op = "compare-and-swap"
	if len(value) > kvstore.MaxValueBytes {
		return 0, &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindTooLarge}
	}
	body := swapRequest{Key: key, Expected: expected, Value: value, Lease: lease}
	response, err := do[versionResponse](ctx, c, call{op: op, key: key, path: pathCompareAndSwap, body: body, write: true})
	return response.Version, err
}

// Delete implements kvstore.Store.
func (c *Client) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	body := deleteRequest{Key: key, Expected: expected}
	_, err := do[emptyResponse](ctx, c, call{op: "delete", key: key, path: pathDelete, body: body, write: true})
	return err
}

// Watch implements kvstore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Entry, error) {
	wait = min(wait, maxWatchWait)
	body := watchRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()}
	response, err := do[entriesResponse](ctx, c, call{op: "watch", key: prefix, path: pathWatch, body: body, wait: wait})
	return response.Entries, err
}

// GrantLease implements kvstore.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	body := grantLeaseRequest{TTLMS: ttl.Milliseconds()}
	response, err := do[leaseResponse](ctx, c, call{op: "grant lease", path: pathGrantLease, body: body, write: true})
	return response.Lease, err
}

// KeepAlive implements kvstore.Store.
func (c *Client) KeepAlive(ctx context.Context, lease kvstore.LeaseID) error {
	_, err := do[emptyResponse](ctx, c, call{op: "keep alive", path: pathKeepAlive, body: leaseRequest{lease}, write: true})
	return err
}

// Revoke implements kvstore.Store.
func (c *Client) Revoke(ctx context.Context, lease kvstore.LeaseID) error {
	_, err := do[emptyResponse](ctx, c, call{op: "revoke", path: pathRevoke, body: leaseRequest{lease}, write: true})
	return err
}

// VMs implements kvstore.Store.
func (c *Client) VMs(ctx context.Context) ([]kvstore.VM, error) {
	response, err := do[vmsResponse](ctx, c, call{op: "list VMs", path: pathVMs, body: emptyRequest{}})
	return response.VMs, err
}

// call is a request to the service.
type call struct {
	op    string
	key   string
	path  string
	body  any
	write bool
	wait  time.Duration // Added to the timeout.
}

// unavailable returns the error of a call without a usable response.
// maybeReceived means that the request may have reached the service.
func (c call) unavailable(maybeReceived bool, err error) error {
	return kvstore.Unavailable(c.op, c.key, c.write && maybeReceived, err)
}

// do sends a call and decodes its response.
func do[Result any](ctx context.Context, c *Client, call call) (Result, error) {
	var result Result
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.wait)
	defer cancel()
	request, err := sling.New().Base(c.base).Post(call.path).BodyJSON(call.body).Request()
	if err != nil {
		return result, &kvstore.Error{Op: call.op, Key: call.key, Kind: kvstore.KindInvalid, Err: err}
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return result, call.unavailable(!isDialError(err), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return result, call.unavailable(true, err)
	}
	if len(body) > maxResponseBytes {
		return result, call.unavailable(true, errResponseTooLong)
	}
	if response.StatusCode != http.StatusOK {
		return result, call.storeError(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return result, call.unavailable(true, err)
	}
	return result, nil
}

// storeError returns the error that an error response reports. A response
// without a valid failure, such as one from a proxy, leaves the outcome of a
// write unknown.
func (c call) storeError(status int, body []byte) error {
	var reported failure
	kind, ok := kvstore.KindInvalid, false
	if err := json.Unmarshal(body, &reported); err == nil {
		kind, ok = kindOf(reported.Failure)
	}
	if !ok || status != statusOf(kind) {
		return c.unavailable(true, fmt.Errorf("status %d without a failure of the protocol", status))
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

// kindOf returns the kind with the given name.
func kindOf(name string) (kvstore.Kind, bool) {
	for kind := kvstore.KindUnavailable; kind <= kvstore.KindHistoryGone; kind++ {
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
