// Package pages reads and writes ownership pages in the platform's store for
// the control plane, and maps the store's errors to write outcomes.
//
// The outcome of a failed write is unknown unless the error proves that the
// write had no effect.
package pages

import (
	"context"
	"fmt"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
	"guavacrank.example/kvstore"
)

// callTimeout bounds one call to the store. The outcome of a write that takes
// longer is unknown; the control plane determines it by reading the page back.
const callTimeout = 2 * time.Second

// Client reads and writes pages in the store. It is safe for concurrent use.
type Client struct {
	store kvstore.Store
}

// New returns a Client for the store.
func New(store kvstore.Store) *Client {
	return &Client{store: store}
}

// Read returns the current page of a service as an input for the control plane.
// A page that does not exist has version zero. It fails with a
// *kvstore.Error or with a decoding error.
func (c *Client) Read(ctx context.Context, service string) (control.PageRead, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := c.store.Get(ctx, kvstore.PagePrefix+service)
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		return control.PageRead{Service: service}, nil
	}
	if err != nil {
		return control.PageRead{}, err
	}
	return Decode(service, uint64(entry.Version), entry.Value)
}

// Decode converts a stored value to an input for the control plane.
func Decode(service string, version uint64, value []byte) (control.PageRead, error) {
	page, err := ownership.Decode(value)
	if err != nil {
		return control.PageRead{}, fmt.Errorf("page of service %q at version %d: %w", service, version, err)
	}
	return control.PageRead{Service: service, Version: version, Page: page}, nil
}

// WriteResult is the result of a write: the input that reports it to the control
// plane, and the written value, which goes to the other VMs if the write was
// applied.
type WriteResult struct {
	Input control.PageWritten
	Value []byte
}

// Write performs a compare-and-swap of a page.
func (c *Client) Write(ctx context.Context, write control.PageWrite) WriteResult {
	input := control.PageWritten{Service: write.Service, ChangeID: write.Page.ChangeID}
	value, err := ownership.Encode(&write.Page)
	if err != nil {
		input.Outcome = control.WriteFailed
		return WriteResult{Input: input}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := kvstore.PagePrefix + write.Service
	version, err := c.store.CompareAndSwap(ctx, key, kvstore.Version(write.Expected), value, 0)
	input.Outcome = outcome(err)
	input.Version = uint64(version)
	return WriteResult{Input: input, Value: value}
}

// outcome classifies the error of a write. Errors other than *kvstore.Error mean
// an unknown outcome.
func outcome(err error) control.WriteOutcome {
	switch {
	case err == nil:
		return control.WriteApplied
	case kvstore.IsUnknown(err):
		return control.WriteUnknown
	case kvstore.IsKind(err, kvstore.KindConflict):
		return control.WriteConflict
	case kvstore.IsNotApplied(err):
		return control.WriteFailed
	default:
		return control.WriteUnknown
	}
}
