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

// Headers between VMs. They are only believed on the peer listener.
const (
	// HeaderPeerToken carries the secret that the fleet shares.
	HeaderPeerToken = "Guavacrank-Peer-Token"
	// HeaderPeerServer names the server that the home shall send to, and in an
	// answer the one that it sent to.
	HeaderPeerServer = "Guavacrank-Peer-Server"
	// HeaderPeerZone names the group, as region/zone, in a service not divided by key.
	HeaderPeerZone = "Guavacrank-Peer-Zone"
	// HeaderPeerRegion names the region of the VM that forwards.
	HeaderPeerRegion = "Guavacrank-Peer-Region"
	// HeaderPeerMaxWait asks the home to refuse a request that is expected to
	// wait longer, in microseconds.
	HeaderPeerMaxWait = "Guavacrank-Peer-Max-Wait-Us"
	// HeaderPeerTried names servers that failed the request, separated by commas.
	HeaderPeerTried = "Guavacrank-Peer-Tried"
	// HeaderPeerQueueTime gives the time in the home's queue in microseconds.
	HeaderPeerQueueTime = "Guavacrank-Peer-Queue-Us"
	// HeaderPeerOutstanding gives how many requests the home holds for the server or group.
	HeaderPeerOutstanding = "Guavacrank-Peer-Held"
)

// HeaderRetryAfter carries the hint of Retry-After in milliseconds.
const HeaderRetryAfter = "Guavacrank-Retry-After-Ms"

// maxDetailBytes limits the explanation that another VM sends.
const maxDetailBytes = 1 << 10

// forward sends the request to the home of the server or group.
func (h *Handler) forward(ctx context.Context, c *call, to target) outcome {
	if err := h.passOut(ctx, c, to.crossing); err != nil {
		return notRun(endCode(c), "waited for the link between regions")
	}
	began := h.now()
	if to.group != nil {
		to.group.seen.BeginRequest()
	}
	received, failure := to.peer.pool.Do(ctx, h.peerRequest(c, to, began), !c.class.Idempotent)
	now := h.now()
	c.seen.Backend += now - began
	if failure != nil {
		h.noteSilence(c, to.peer, failure)
		to.learn(now, began, resultOf(c, failure))
		return classify(c, failure)
	}
	to.peer.silences.Store(0)
	c.noteHome(received.Header)
	to.noteHeld(now, received.Header)
	switch received.Header.Get(verdict.Header) {
	case verdict.Answered.String():
		return h.takeForwarded(c, to, began, received)
	case verdict.NotRun.String():
		to.learn(now, began, pick.Canceled)
		return h.refusedByHome(c, to, verdict.NotRun, received)
	case verdict.MayHaveRun.String():
		to.learn(now, began, pick.Canceled)
		return h.refusedByHome(c, to, verdict.MayHaveRun, received)
	default:
		to.learn(now, began, pick.Failed)
		received.Body.Close()
		return mayHaveRun(verdict.CodePeer, "the home answered without a verdict")
	}
}

// noteSilence avoids a home that can't be reached, or that left several requests
// in a row without any answer: it may be frozen.
func (h *Handler) noteSilence(c *call, p *peer, failure *upstream.Failure) {
	if failure.Stage == upstream.StageConnect && !failure.Timeout {
		h.avoid(p, "connect: "+failure.Error())
		return
	}
	silent := failure.Stage == upstream.StageResponse && failure.Timeout && endCode(c) == verdict.CodeTimeout
	if silent && p.silences.Add(1) >= mostSilences {
		p.silences.Store(0)
		h.avoid(p, "no answer to several requests in a row")
	}
}

// learn notes how the home took a request for a group.
func (t target) learn(now, began time.Duration, result pick.Result) {
	if t.group != nil {
		t.group.seen.EndRequest(now, result, now-began)
	}
}

// noteHeld takes the home's word on its queue.
func (t target) noteHeld(now time.Duration, header http.Header) {
	held, err := strconv.Atoi(header.Get(HeaderPeerOutstanding))
	if t.group != nil && err == nil {
		t.group.seen.ReportBacklog(now, held)
	}
}

// noteHome moves the time in the home's queue from the time at the backend.
func (c *call) noteHome(header http.Header) {
	waited, err := strconv.ParseInt(header.Get(HeaderPeerQueueTime), 10, 64)
	if err != nil {
		return
	}
	queued := min(time.Duration(waited)*time.Microsecond, c.seen.Backend)
	c.seen.Queue += queued
	c.seen.Backend -= queued
}

func (h *Handler) takeForwarded(c *call, to target, began time.Duration, received *upstream.Response) outcome {
	held, failure := hold(received)
	now := h.now()
	if failure != nil {
		to.learn(now, began, resultOf(c, failure))
		return classify(c, failure)
	}
	to.learn(now, began, pick.Succeeded)
	return outcome{verdict: verdict.Answered, code: verdict.CodeAnswered, answer: held}
}

// refusedByHome reads the home's explanation.
func (h *Handler) refusedByHome(c *call, to target, v verdict.Verdict, received *upstream.Response) outcome {
	detail, _ := io.ReadAll(io.LimitReader(received.Body, maxDetailBytes)) // An explanation cut short is still one.
	received.Body.Close()
	out := outcome{verdict: v, code: verdict.Code(received.Header.Get(verdict.HeaderCode)), detail: string(detail)}
	if hint, err := strconv.ParseInt(received.Header.Get(HeaderRetryAfter), 10, 32); err == nil {
		out.retryAfter = time.Duration(hint) * time.Millisecond
	}
	if out.code == verdict.CodeStopping || out.code == verdict.CodeNotHome {
		h.avoid(to.peer, "refused: "+string(out.code))
	}
	if server := received.Header.Get(HeaderPeerServer); server != "" && to.group != nil {
		c.tried = append(c.tried, server)
	}
	return out
}

// PeerHandler returns the handler for requests that other VMs forward. It must only
// be reachable by the VMs of the fleet: it trusts their internal headers.
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
	ctx, cancel := context.WithTimeout(r.Context(), c.remaining(h.now()))
	defer cancel()
	until, _ := ctx.Deadline()
	if c.body, refused = readBody(w, r, c.settings().MaxBodyBytes, until); refused != nil {
		h.refuse(w, refused)
		return
	}
	to, refused := h.homeTarget(c, r.Header)
	if refused != nil {
		h.refuse(w, refused)
		return
	}
	out := h.send(ctx, c, to)
	h.tellPeer(w.Header(), c, to, out)
	h.writeOutcome(ctx, w, c, out)
}

// sameToken compares two secrets in a time that does not tell where they differ.
func sameToken(got, want string) bool {
	gotSum := sha256.Sum256([]byte(got))
	wantSum := sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(gotSum[:], wantSum[:]) == 1
}

// parsePeer parses a request that another VM forwards.
func (h *Handler) parsePeer(r *http.Request) (*call, *refusal) {
	c, refused := h.parse(r, PeerPrefix)
	if refused != nil {
		return nil, refused
	}
	c.forwarded = true
	c.crossing = h.elsewhere(r.Header.Get(HeaderPeerRegion))
	c.id = r.Header.Get(backend.HeaderRequestID)
	c.attempt, _ = strconv.Atoi(r.Header.Get(backend.HeaderAttempt)) // Another VM's own number.
	if wait, err := strconv.ParseInt(r.Header.Get(HeaderPeerMaxWait), 10, 32); err == nil {
		c.maxWait = time.Duration(wait) * time.Microsecond
	}
	if tried := r.Header.Get(HeaderPeerTried); tried != "" {
		c.tried = strings.Split(tried, ",")
	}
	return c, nil
}

// tellPeer adds what the VM that forwarded learns from.
func (h *Handler) tellPeer(header http.Header, c *call, to target, out outcome) {
	state := gateOf(to).State()
	header[HeaderPeerOutstanding] = []string{strconv.Itoa(state.Busy + state.Queued)}
	header[HeaderPeerQueueTime] = []string{strconv.FormatInt(c.seen.Queue.Microseconds(), 10)}
	if out.answer == nil && len(c.tried) > 0 {
		header[HeaderPeerServer] = []string{c.tried[len(c.tried)-1]}
	}
}

// homeTarget checks that this VM is the home of what the request names, and
// that this VM's own snapshot routes the key there.
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
		if g.place() == zone && g.home == v.snapshot.Self {
			return target{group: g.groupState}, nil
		}
	}
	return target{}, &refusal{verdict.CodeNotHome, "this VM is not the group's home"}
}
