package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/traffic/pick"
	"guavacrank.example/traffic/upstream"
	"guavacrank.example/traffic/verdict"
)

// Headers between VMs. They are accepted only on the peer listener.
const (
	// HeaderPeerToken carries the secret shared by the VMs of the fleet.
	HeaderPeerToken = "Guavacrank-Peer-Token"
	// HeaderPeerServer names the server that the home sends the request to. In
	// a response it names the last server that failed the request.
	HeaderPeerServer = "Guavacrank-Peer-Server"
	// HeaderPeerZone names the group as region/zone, in a service that is not
	// divided by key.
	HeaderPeerZone = "Guavacrank-Peer-Zone"
	// HeaderPeerRegion names the region of the VM that forwards the request.
	HeaderPeerRegion = "Guavacrank-Peer-Region"
	// HeaderPeerMaxWait is the expected wait above which the home refuses the
	// request, in microseconds.
	HeaderPeerMaxWait = "Guavacrank-Peer-Max-Wait-Us"
	// HeaderPeerTried lists the servers that have failed the request,
	// separated by commas.
	HeaderPeerTried = "Guavacrank-Peer-Tried"
	// HeaderPeerQueueTime gives the time in the home's queue in microseconds.
	HeaderPeerQueueTime = "Guavacrank-Peer-Queue-Us"
	// HeaderPeerOutstanding gives the number of requests that the home has
	// queued or in flight for the server or group.
	HeaderPeerOutstanding = "Guavacrank-Peer-Held"
)

// HeaderRetryAfter carries the value of Retry-After in milliseconds.
const HeaderRetryAfter = "Guavacrank-Retry-After-Ms"

// maxDetailBytes limits the detail text of another VM's response.
const maxDetailBytes = 1 << 10

// forward forwards the request to the home of the server or group.
func (h *Handler) forward(ctx context.Context, c *call, to target) outcome {
	if err := h.paceRequest(ctx, c, to.crossRegion); err != nil {
		return notRun(contextEndCode(c), "waited for the link between regions")
	}
	began := h.now()
	if to.group != nil {
		to.group.stats.BeginRequest()
	}
	received, failure := to.peer.pool.Do(ctx, h.peerRequest(c, to, began), !c.class.Idempotent)
	now := h.now()
	c.observation.Backend += now - began
	if failure != nil {
		h.recordPeerFailure(c, to.peer, failure)
		to.recordResult(now, began, resultOf(c, failure))
		return classify(c, failure)
	}
	to.peer.timeouts.Store(0)
	c.recordHomeQueueTime(received.Header)
	to.recordOutstanding(now, received.Header)
	switch received.Header.Get(verdict.Header) {
	case verdict.Answered.String():
		return h.readForwarded(c, to, began, received)
	case verdict.NotRun.String():
		to.recordResult(now, began, pick.Canceled)
		return h.refusedByHome(c, to, verdict.NotRun, received)
	case verdict.MayHaveRun.String():
		to.recordResult(now, began, pick.Canceled)
		return h.refusedByHome(c, to, verdict.MayHaveRun, received)
	default:
		to.recordResult(now, began, pick.Failed)
		received.Body.Close()
		return mayHaveRun(verdict.CodePeer, "the home answered without a verdict")
	}
}

// recordPeerFailure marks a home to be avoided if it does not accept
// connections, or if several requests in a row timed out without a response,
// as they do when the home is suspended.
func (h *Handler) recordPeerFailure(c *call, p *peer, failure *upstream.Failure) {
	if failure.Stage == upstream.StageConnect && !failure.Timeout {
		h.avoid(p, "connect: "+failure.Error())
		return
	}
	timedOut := failure.Stage == upstream.StageResponse && failure.Timeout && contextEndCode(c) == verdict.CodeTimeout
	if timedOut && p.timeouts.Add(1) >= maxTimeouts {
		p.timeouts.Store(0)
		h.avoid(p, "no response to several requests in a row")
	}
}

// recordResult records the result of a forwarded request in the statistics of
// its group.
func (t target) recordResult(now, began time.Duration, result pick.Result) {
	if t.group != nil {
		t.group.stats.EndRequest(now, result, now-began)
	}
}

// recordOutstanding records the number of outstanding requests that the home
// reports.
func (t target) recordOutstanding(now time.Duration, header http.Header) {
	outstanding, err := strconv.Atoi(header.Get(HeaderPeerOutstanding))
	if t.group != nil && err == nil {
		t.group.stats.ReportBacklog(now, outstanding)
	}
}

// recordHomeQueueTime counts the time in the home's queue as queue time
// instead of backend time.
func (c *call) recordHomeQueueTime(header http.Header) {
	waited, err := strconv.ParseInt(header.Get(HeaderPeerQueueTime), 10, 64)
	if err != nil {
		return
	}
	queued := min(time.Duration(waited)*time.Microsecond, c.observation.Backend)
	c.observation.Queue += queued
	c.observation.Backend -= queued
}

func (h *Handler) readForwarded(c *call, to target, began time.Duration, received *upstream.Response) outcome {
	response, failure := bufferResponse(received)
	now := h.now()
	if failure != nil {
		to.recordResult(now, began, resultOf(c, failure))
		return classify(c, failure)
	}
	to.recordResult(now, began, pick.Succeeded)
	return outcome{verdict: verdict.Answered, code: verdict.CodeAnswered, response: response}
}

// refusedByHome returns the outcome that the home reports for a request
// without a response from the server.
func (h *Handler) refusedByHome(c *call, to target, v verdict.Verdict, received *upstream.Response) outcome {
	detail, _ := io.ReadAll(io.LimitReader(received.Body, maxDetailBytes)) // On an error the part that was read is used.
	received.Body.Close()
	out := outcome{verdict: v, code: verdict.Code(received.Header.Get(verdict.HeaderCode)), detail: string(detail)}
	if hint, err := strconv.ParseInt(received.Header.Get(HeaderRetryAfter), 10, 32); err == nil {
		out.retryAfter = time.Duration(hint) * time.Millisecond
	}
	if out.code == verdict.CodeStopping || out.code == verdict.CodeNotHome {
		h.avoid(to.peer, "refused: "+string(out.code))
	}
	if server := received.Header.Get(HeaderPeerServer); server != "" && to.group != nil {
		c.failedServers = append(c.failedServers, server)
	}
	return out
}

// PeerHandler returns the handler for requests that other VMs forward. It must
// be reachable only by the VMs of the fleet, because it trusts their internal
// headers.
func (h *Handler) PeerHandler() http.Handler { return http.HandlerFunc(h.servePeer) }

func (h *Handler) servePeer(w http.ResponseWriter, r *http.Request) {
	if !sameToken(r.Header.Get(HeaderPeerToken), h.options.PeerToken) {
		http.Error(w, "wrong peer token", http.StatusForbidden)
		return
	}
	if refused := h.enter(); refused != nil {
		h.refuse(w, refused)
		return
	}
	defer h.leave()
	c, refused := h.parsePeer(r)
	if refused != nil {
		h.refuse(w, refused)
		return
	}
	ctx, cancel, refused := h.receiveBody(w, r, c)
	defer cancel()
	if refused != nil {
		h.refuse(w, refused)
		return
	}
	to, refused := h.homeTarget(c, r.Header)
	if refused != nil {
		h.refuse(w, refused)
		return
	}
	out := h.send(ctx, c, to)
	h.setPeerHeaders(w.Header(), c, to, out)
	h.writeOutcome(ctx, w, c, out)
}

// sameToken compares two secrets in constant time.
func sameToken(got, want string) bool {
	gotSum := sha256.Sum256([]byte(got))
	wantSum := sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(gotSum[:], wantSum[:]) == 1
}

// parsePeer parses a request that another VM forwarded.
func (h *Handler) parsePeer(r *http.Request) (*call, *refusal) {
	c, refused := h.parse(r, PeerPrefix)
	if refused != nil {
		return nil, refused
	}
	c.forwarded = true
	c.crossRegion = h.otherRegion(r.Header.Get(HeaderPeerRegion))
	c.id = r.Header.Get(backend.HeaderRequestID)
	c.attempt, _ = strconv.Atoi(r.Header.Get(backend.HeaderAttempt)) // Always valid, because another VM set it.
	if wait, err := strconv.ParseInt(r.Header.Get(HeaderPeerMaxWait), 10, 32); err == nil {
		c.maxWait = time.Duration(wait) * time.Microsecond
	}
	if tried := r.Header.Get(HeaderPeerTried); tried != "" {
		c.failedServers = strings.Split(tried, ",")
	}
	return c, nil
}

// setPeerHeaders adds the headers from which the forwarding VM updates its
// statistics.
func (h *Handler) setPeerHeaders(header http.Header, c *call, to target, out outcome) {
	state := gateOf(to).State()
	header[HeaderPeerOutstanding] = []string{strconv.Itoa(state.Busy + state.Queued)}
	header[HeaderPeerQueueTime] = []string{strconv.FormatInt(c.observation.Queue.Microseconds(), 10)}
	if out.response == nil && len(c.failedServers) > 0 {
		header[HeaderPeerServer] = []string{c.failedServers[len(c.failedServers)-1]}
	}
}

// homeTarget returns the target of a forwarded request. It checks that this VM
// is the home of the named server or group, and that this VM's own snapshot
// routes the key there.
func (h *Handler) homeTarget(c *call, header http.Header) (target, *refusal) {
	v := h.current()
	s := v.services[c.service.Name]
	if s == nil {
		return target{}, &refusal{verdict.CodeUnknownService, "the service was removed"}
	}
	if !s.DividedByKey {
		return homeGroup(v, s, header.Get(HeaderPeerZone))
	}
	declared := s.Server(header.Get(HeaderPeerServer))
	if declared == nil || s.members[declared].home != v.snapshot.Self {
		return target{}, &refusal{verdict.CodeNotHome, "this VM is not the server's home"}
	}
	unit, ok := s.Lookup(c.key)
	if !ok || unit.Server != declared {
		return target{}, &refusal{verdict.CodeMoved, "the key is served elsewhere"}
	}
	return target{server: s.members[declared].server, unit: unit.ID, epoch: unit.Epoch}, nil
}

func homeGroup(v *view, s *service, zone string) (target, *refusal) {
	for _, g := range s.groups {
		if g.zoneName() == zone && g.home == v.snapshot.Self {
			return target{group: g.groupState}, nil
		}
	}
	return target{}, &refusal{verdict.CodeNotHome, "this VM is not the group's home"}
}
