package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/backend/standin"
	"guavacrank.example/config"
	"guavacrank.example/traffic/front"
	"guavacrank.example/traffic/verdict"
)

const (
	// longestWait bounds the deadline that the load's callers ask for.
	longestWait = 5 * time.Second
	// callerSlack is how much longer than its deadline a caller waits.
	callerSlack = time.Second
	// idleConnsPerVM is the number of idle connections that callers keep to a VM.
	idleConnsPerVM = 256
	// maxSends is how often a caller sends one non-idempotent request at most.
	maxSends = 3
)

// Codes of requests that ended without a word of the router.
const (
	codeNoConnection = "caller_no_connection"
	codeNoAnswer     = "caller_no_answer"
	codeCutAnswer    = "caller_cut_answer"
)

// order is what one caller wants.
type order struct {
	id      string
	service string
	class   config.Class
	key     string
	// once is the idempotency key; empty: none.
	once  string
	probe bool
}

// callers sends requests and remembers what came back.
type callers struct {
	balancer *balancer
	client   *http.Client

	mu   sync.Mutex
	sent []Sent
}

func newCallers(b *balancer) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerVM, DisableCompression: true}
	return &callers{balancer: b, client: &http.Client{Transport: transport}}
}

// results returns a copy of everything sent.
func (c *callers) results() []Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Sent(nil), c.sent...)
}

// place sends an order. A caller repeats a non-idempotent request when it was
// told "not run", or "may have run" if the request has an idempotency key.
func (c *callers) place(ctx context.Context, what order) {
	for n := 1; n <= maxSends; n++ {
		result := c.send(ctx, what, fmt.Sprintf("%s.%d", what.id, n))
		c.mu.Lock()
		c.sent = append(c.sent, result)
		c.mu.Unlock()
		if what.class.Idempotent || result.Verdict == verdict.Answered {
			return
		}
		if result.Verdict == verdict.MayHaveRun && what.once == "" {
			return
		}
	}
}

// send sends one request through the next VM.
func (c *callers) send(ctx context.Context, what order, id string) Sent {
	through := c.balancer.pick()
	result := Sent{
		ID: id, Order: what.id, Service: what.service, Class: what.class.Name, Key: what.key,
		Idempotent: what.class.Idempotent, VM: through.Name, Probe: what.probe,
		Start: standin.BootTime(),
	}
	wait := min(what.class.Deadline, longestWait)
	ctx, cancel := context.WithTimeout(ctx, wait+callerSlack)
	defer cancel()
	request, err := newRequest(ctx, through, what, id, wait)
	if err != nil {
		result.Verdict, result.Code = verdict.NotRun, codeNoConnection
		return result
	}
	var wrote atomic.Bool // net/http may send a GET again by itself.
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		result.Verdict, result.Code = withoutAnswer(err, wrote.Load())
	} else {
		result.read(response)
	}
	result.End = standin.BootTime()
	return result
}

func newRequest(ctx context.Context, through Endpoint, what order, id string, wait time.Duration) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if !what.class.Idempotent {
		method, body = http.MethodPost, strings.NewReader(what.id)
	}
	target := "http://" + through.Address + front.CallerPrefix + what.service + "/" + url.PathEscape(what.key)
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(backend.HeaderClass, what.class.Name)
	request.Header.Set(backend.HeaderDeadline, strconv.FormatInt(wait.Milliseconds(), 10))
	request.Header.Set(standin.HeaderCallerID, id)
	if what.once != "" {
		request.Header.Set(front.HeaderIdempotencyKey, what.once)
	}
	return request, nil
}

// withoutAnswer returns what a caller knows when no answer came.
func withoutAnswer(err error, wrote bool) (verdict.Verdict, string) {
	var opErr *net.OpError
	if !wrote && errors.As(err, &opErr) && opErr.Op == "dial" {
		return verdict.NotRun, codeNoConnection
	}
	return verdict.MayHaveRun, codeNoAnswer
}

// read reads the answer and checks that it is the whole one to this request.
func (s *Sent) read(response *http.Response) {
	defer response.Body.Close()
	s.Code = response.Header.Get(verdict.HeaderCode)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.Verdict, s.Code = verdict.MayHaveRun, codeCutAnswer
		return
	}
	switch response.Header.Get(verdict.Header) {
	case verdict.NotRun.String():
		s.Verdict = verdict.NotRun
	case verdict.Answered.String():
		s.Verdict = verdict.Answered
		s.Wrong = s.check(response, body)
	}
}

// check returns why an answer is not the whole one to this request, or nothing.
func (s *Sent) check(response *http.Response, body []byte) string {
	if response.Header.Get(front.HeaderRecordedStatus) != "" && response.StatusCode == http.StatusConflict {
		return "" // An earlier repeat was answered; only its status was kept.
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d: %.100s", response.StatusCode, body)
	}
	var answer standin.Answer
	if err := json.Unmarshal(bytes.TrimSpace(body), &answer); err != nil {
		return "not the whole answer: " + err.Error()
	}
	answered, _, _ := strings.Cut(answer.CallerID, ".")
	if answered != s.Order || answer.Key != s.Key {
		return fmt.Sprintf("the answer to %s for key %s", answer.CallerID, answer.Key)
	}
	return ""
}
