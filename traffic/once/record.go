// Package once makes a non-idempotent request with an idempotency key run at
// most once over all VMs, by a record in the platform's store that is created
// before the request is sent.
//
// A record that exists forbids another run until it expires. It is removed
// only by the VM that created it, and only when the request was proved not to
// have run. docs/callers.md states the guarantee.
package once

import (
	"encoding/json"
	"fmt"
	"net/url"

	"guavacrank.example/kvstore"
)

// State is how far the request under a record came.
type State string

// States of a record.
const (
	// Begun: the request may be under way, or the VM that began it was lost.
	Begun State = "begun"
	// Finished: the request was answered whole.
	Finished State = "finished"
	// Unknown: the request ended without proof of whether it ran.
	Unknown State = "unknown"
)

// Record is the value of an idempotency key in the store.
type Record struct {
	State State `json:"state"`
	// ClaimID is unique for each Begin; it settles lost replies by reading back.
	ClaimID string `json:"claim"`
	VM      string `json:"vm"`
	// Fingerprint tells the request from another one under the same key.
	Fingerprint string    `json:"fingerprint"`
	Response    *Response `json:"answer,omitempty"`
}

// Response is what is kept of an answer.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	// HasBody says that Body is the answer's body; otherwise it was too large.
	HasBody bool   `json:"whole"`
	Body    []byte `json:"body,omitempty"`
}

// MaxBodyBytes is the largest body that a record keeps.
const MaxBodyBytes = 4 << 10

// NewResponse returns what is kept of an answer; a large body is left out.
func NewResponse(status int, contentType string, body []byte, whole bool) Response {
	if !whole || len(body) > MaxBodyBytes {
		return Response{Status: status, ContentType: contentType}
	}
	return Response{
		Status:      status,
		ContentType: contentType,
		HasBody:     true,
		Body:        append([]byte(nil), body...),
	}
}

// storeKey returns the key of a record; services and keys can't be confused.
func storeKey(service, key string) string {
	return kvstore.IdempotencyPrefix + url.PathEscape(service) + "/" + url.PathEscape(key)
}

func encode(r Record) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("once: " + err.Error()) // A Record holds nothing that fails to encode.
	}
	return value
}

func decode(key string, value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("once: record %q: %w", key, err)
	}
	return r, nil
}
