package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/traffic/upstream"
	"guavacrank.example/traffic/verdict"
)

// HeaderRetryAfter carries the hint of Retry-After in milliseconds.
const HeaderRetryAfter = "Guavacrank-Retry-After-Ms"

// maxDetailBytes limits the explanation that another VM sends.
const maxDetailBytes = 1 << 10

// forward sends the request to the server's home.
func (h *Handler) forward(ctx context.Context, c *call, to target) outcome {
	now := h.options.Elapsed()
	received, failure := to.peer.pool.Do(ctx, c.peerRequest(to, h.options.PeerToken, now), !c.class.Idempotent)
	if failure != nil {
		if failure.Stage == upstream.StageConnect && !failure.Timeout {
			to.peer.avoid(now)
		}
		return classify(c, failure)
	}
	switch received.Header.Get(verdict.Header) {
	case verdict.Answered.String():
		return h.takeForwarded(c, received)
	case verdict.NotRun.String():
		return h.refusedByHome(to, verdict.NotRun, received)
	case verdict.MayHaveRun.String():
		return h.refusedByHome(to, verdict.MayHaveRun, received)
	default:
		received.Body.Close()
		return mayHaveRun(verdict.CodePeer, "the home answered without a verdict")
	}
}

func (h *Handler) takeForwarded(c *call, received *upstream.Answer) outcome {
	held, failure := hold(received)
	if failure != nil {
		return classify(c, failure)
	}
	return outcome{verdict: verdict.Answered, code: verdict.CodeAnswered, answer: held}
}

// refusedByHome reads the home's explanation.
func (h *Handler) refusedByHome(to target, v verdict.Verdict, received *upstream.Answer) outcome {
	detail, _ := io.ReadAll(io.LimitReader(received.Body, maxDetailBytes))
	received.Body.Close()
	out := outcome{verdict: v, code: verdict.Code(received.Header.Get(verdict.HeaderCode)), detail: string(detail)}
	if hint, err := strconv.ParseInt(received.Header.Get(HeaderRetryAfter), 10, 32); err == nil {
		out.retryAfter = time.Duration(hint) * time.Millisecond
	}
	if out.code == verdict.CodeStopping {
		to.peer.avoid(h.options.Elapsed())
	}
	return out
}

// Peer returns the handler for requests that other VMs forward. It must only
// be reachable by the VMs of the fleet: it trusts their internal headers.
func (h *Handler) Peer() http.Handler { return http.HandlerFunc(h.servePeer) }

func (h *Handler) servePeer(w http.ResponseWriter, r *http.Request) {
	if !sameToken(r.Header.Get(HeaderPeerToken), h.options.PeerToken) {
		http.Error(w, "wrong peer token", http.StatusForbidden)
		return
	}
	if refused := h.enter(); refused != nil {
		writeRefusal(w, *refused)
		return
	}
	defer h.leave()
	c, refused := h.parse(r, PeerPrefix)
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	c.id = r.Header.Get(backend.HeaderRequestID)
	c.attempt, _ = strconv.Atoi(r.Header.Get(backend.HeaderAttempt))
	ctx, cancel := context.WithTimeout(r.Context(), c.remaining(h.options.Elapsed()))
	defer cancel()
	until, _ := ctx.Deadline()
	if c.body, refused = readBody(w, r, c.settings().MaxBodyBytes, until); refused != nil {
		writeRefusal(w, *refused)
		return
	}
	to, refused := h.homeTarget(c, r.Header.Get(HeaderPeerServer))
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	h.writeOutcome(ctx, w, c, h.send(ctx, c, to))
}

// sameToken compares two secrets in a time that does not tell where they differ.
func sameToken(got, want string) bool {
	gotSum := sha256.Sum256([]byte(got))
	wantSum := sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(gotSum[:], wantSum[:]) == 1
}

// homeTarget checks that this VM is the home of the named server, and that the
// server is the one that this VM's own snapshot names for the key.
func (h *Handler) homeTarget(c *call, name string) (target, *refusal) {
	v := h.current()
	s := v.services[c.service.Name]
	if s == nil {
		return target{}, &refusal{verdict.CodeUnknownService, "the service was removed"}
	}
	declared := s.Server(name)
	if declared == nil || declared.Home != v.snapshot.Self {
		return target{}, &refusal{verdict.CodeNotHome, "this VM is not the server's home"}
	}
	if !s.DividedByKey {
		return target{server: s.servers[declared]}, nil
	}
	unit, ok := s.Lookup(c.key)
	if !ok || unit.Server != declared {
		return target{}, &refusal{verdict.CodeMoved, "the key is served elsewhere"}
	}
	return target{server: s.servers[declared], unit: unit.ID, epoch: unit.Epoch}, nil
}
