// Package once makes a non-idempotent request with an idempotency key run at
// most once over all VMs, by a record in the platform's store that is created
// before the request is sent.
//
// While a record exists, the request must not run again, until the record
// expires. It is removed only by the VM that created it, and only when the
// request was proved not to have run. docs/callers.md states the guarantee.
package once

import (
	"encoding/json"
	"fmt"
	"net/url"

	"guavacrank.example/kvstore"
)

// State is the progress of the request of a record.
type State string

// States of a record.
const (
	// Begun: the request may be running, or the VM that sent it was lost.
	Begun State = "begun"
	// Finished: the complete response was received.
	Finished State = "finished"
	// Unknown: the request ended without proof of whether it ran.
	Unknown State = "unknown"
)

// Record is the value of an idempotency key in the store.
type Record struct {
	State State `json:"state"`
	// ClaimID is unique for each Begin; after a lost reply of the store, reading
	// the record back shows whether it was written.
	ClaimID string `json:"claim"`
	VM      string `json:"vm"`
	// Fingerprint distinguishes the request from another one with the same key.
	Fingerprint string    `json:"fingerprint"`
	Response    *Response `json:"answer,omitempty"`
}

// Response is the stored part of a response.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	// HasBody reports whether Body is the complete response body; otherwise it was
	// too large or incomplete.
	HasBody bool   `json:"whole"`
	Body    []byte `json:"body,omitempty"`
}

// MaxBodyBytes is the largest body that a record stores.
const MaxBodyBytes = 4 << 10

// NewResponse returns the stored part of a response, without a large body.
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

// storeKey returns the key of a record; its parts are escaped, so that keys of
// different services can't collide.
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
