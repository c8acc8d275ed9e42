// Package client talks to the control interface of backend servers: it sends
// grant orders and reads health and load reports.
//
// Every call ends within Options.Timeout. A failure is an *Error that says
// whether the server may have received the call.
package client

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

	"guavacrank.example/backend"
)

// Defaults of Options.
const (
	DefaultTimeout = 500 * time.Millisecond
	// maxAnswerBytes limits an answer's body.
	maxAnswerBytes = 4 << 20
	// idleConnsPerServer is the number of idle connections kept to a server.
	idleConnsPerServer = 1
)

// Options configures a Client. Zero values take the defaults.
type Options struct {
	// Timeout limits each call from dialling to the last byte of the answer.
	Timeout time.Duration
}

// Client calls backend servers. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// Error is a call that brought no usable answer.
type Error struct {
	Op      string
	Address string
	// Status is the HTTP status, zero without an answer.
	Status int
	// MayHaveBeenReceived is false only if the server provably never saw the call.
	MayHaveBeenReceived bool
	Err                 error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("backend: %s %s", e.Op, e.Address)
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	if !e.MayHaveBeenReceived {
		text += " (not received)"
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// New returns a client.
func New(options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: options.Timeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, timeout: options.Timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Grant sends an order to the server at address (IP:port) and returns its
// answer, or an *Error that says whether the order may have been received.
func (c *Client) Grant(ctx context.Context, address string, order backend.GrantOrder) (backend.GrantAnswer, error) {
	var answer backend.GrantAnswer
	request := sling.New().Base("http://" + address).Post(backend.PathGrant).BodyJSON(order)
	err := c.call(ctx, "grant", address, request, &answer)
	return answer, err
}

// Health reads the server's health report.
func (c *Client) Health(ctx context.Context, address string) (backend.HealthReport, error) {
	var report backend.HealthReport
	request := sling.New().Base("http://" + address).Get(backend.PathHealth)
	err := c.call(ctx, "health", address, request, &report)
	return report, err
}

// Load reads the server's load report.
func (c *Client) Load(ctx context.Context, address string) (backend.LoadReport, error) {
	var report backend.LoadReport
	request := sling.New().Base("http://" + address).Get(backend.PathLoad)
	err := c.call(ctx, "load", address, request, &report)
	return report, err
}

func (c *Client) call(ctx context.Context, op, address string, call *sling.Sling, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := call.Request()
	if err != nil {
		return &Error{Op: op, Address: address, Err: err}
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return &Error{Op: op, Address: address, MayHaveBeenReceived: !isDialError(err), Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &Error{Op: op, Address: address, Status: response.StatusCode, MayHaveBeenReceived: true}
	}
	body := io.LimitReader(response.Body, maxAnswerBytes)
	if err := json.NewDecoder(body).Decode(answer); err != nil {
		return &Error{Op: op, Address: address, Status: response.StatusCode, MayHaveBeenReceived: true, Err: err}
	}
	return nil
}

// isDialError reports whether the connection was never established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
