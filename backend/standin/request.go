package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/backend/fence"
)

// HeaderCallerID carries the caller's own identifier of a request through the
// router to the record of the run.
const HeaderCallerID = "Standin-Caller-Id"

// Answer is the body of a stand-in's answer. It names the request, so that an
// answer to another request is seen.
type Answer struct {
	RequestID string `json:"request_id"`
	CallerID  string `json:"caller_id,omitempty"`
	Key       string `json:"key"`
	Server    string `json:"server"`
	Attempt   int    `json:"attempt"`
	Unit      uint32 `json:"unit"`
	Epoch     uint64 `json:"epoch"`
	Padding   string `json:"padding,omitempty"`
}

// request is a forwarded request as its headers give it.
type request struct {
	id       string
	callerID string
	attempt  int
	unit     uint32
	hasUnit  bool
	epoch    uint64
	key      string
	class    string
	// deadline is a reading of the server's clock; zero: none.
	deadline time.Duration
	// grant is what the run began under; nil at a server that checks none.
	grant *fence.Grant
}

// parseRequest reads the headers. A header that is no number is an error.
func parseRequest(header http.Header, now time.Duration) (request, error) {
	parsed := request{
		id:       header.Get(backend.HeaderRequestID),
		callerID: header.Get(HeaderCallerID),
		class:    header.Get(backend.HeaderClass),
		hasUnit:  header.Get(backend.HeaderUnit) != "",
	}
	key, err := url.PathUnescape(header.Get(backend.HeaderKey))
	if err != nil {
		return request{}, fmt.Errorf("header %s: %w", backend.HeaderKey, err)
	}
	parsed.key = key
	attempt, err := number(header, backend.HeaderAttempt, 32)
	if err != nil {
		return request{}, err
	}
	unit, err := number(header, backend.HeaderUnit, 32)
	if err != nil {
		return request{}, err
	}
	epoch, err := number(header, backend.HeaderEpoch, 64)
	if err != nil {
		return request{}, err
	}
	remaining, err := number(header, backend.HeaderDeadline, 40)
	if err != nil {
		return request{}, err
	}
	parsed.attempt, parsed.unit, parsed.epoch = int(attempt), uint32(unit), epoch
	if header.Get(backend.HeaderDeadline) != "" {
		parsed.deadline = now + time.Duration(remaining)*time.Millisecond
	}
	return parsed, nil
}

// number reads an unsigned decimal header; a missing one is zero.
func number(header http.Header, name string, bits int) (uint64, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, fmt.Errorf("header %s: %w", name, err)
	}
	return value, nil
}

func (p *process) serveRequest(w http.ResponseWriter, r *http.Request) {
	parsed, err := parseRequest(r.Header, p.options.Clock())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "reading the body: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.gate.pass()
	conn, _ := r.Context().Value(connectionKey{}).(connection)
	if refusal := p.admit(&parsed, conn); refusal != "" {
		refuse(w, refusal)
		return
	}
	if p.run(r.Context(), parsed) != "" {
		panic(http.ErrAbortHandler) // No answer: the run was cut off.
	}
	p.answer(w, r, parsed)
}

// admit checks everything that refuses a request, and takes a slot for it.
func (p *process) admit(request *request, conn connection) backend.Refusal {
	faults := p.server.Faults()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock()
	switch {
	case conn.overLimit:
		return backend.RefusedConnections
	case faults.Drain:
		return backend.RefusedDraining
	case request.deadline != 0 && now >= request.deadline:
		return backend.RefusedDeadline
	case p.busy >= p.options.Slots:
		return backend.RefusedShed
	case p.options.ChecksGrants && !p.beginGranted(request, now):
		return backend.RefusedFence
	}
	p.busy++
	return ""
}

func (p *process) beginGranted(request *request, now time.Duration) bool {
	if !request.hasUnit || !p.fence.Begin(request.unit, request.epoch, now.Milliseconds()) {
		return false
	}
	request.grant = p.fence.Grant()
	return true
}

// refuse sends a documented refusal.
func refuse(w http.ResponseWriter, refusal backend.Refusal) {
	status := http.StatusServiceUnavailable
	if refusal == backend.RefusedFence {
		status = http.StatusConflict
	}
	w.Header().Set(backend.HeaderRefused, string(refusal))
	http.Error(w, "refused: "+string(refusal), status)
}
