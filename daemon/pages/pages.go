// Package pages reads and writes ownership pages in the platform's store for
// the control plane, and turns the store's errors into outcomes.
//
// An error that does not prove that a write had no effect is an unknown
// outcome.
package pages

import (
	"context"
	"fmt"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
	"guavacrank.example/kvstore"
)

// callTimeout bounds one call of the store. The outcome of a write that takes
// longer is unknown and settled by reading back.
const callTimeout = 2 * time.Second

// Client reads and writes pages. It is safe for concurrent use.
type Client struct {
	store kvstore.Store
}

// New returns a client of the store.
func New(store kvstore.Store) *Client {
	return &Client{store: store}
}

// Read returns the newest page of a service as an input of the control plane.
// A page that does not exist has version zero. It fails with a
// *kvstore.Error, or with the error of decoding.
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

// Decode turns a stored value into an input of the control plane.
func Decode(service string, version uint64, value []byte) (control.PageRead, error) {
	page, err := ownership.Decode(value)
	if err != nil {
		return control.PageRead{}, fmt.Errorf("page of service %q at version %d: %w", service, version, err)
	}
	return control.PageRead{Service: service, Version: version, Page: page}, nil
}

// WriteResult is the result of a write: the answer for the control plane and, if
// the store confirmed it, the stored value for the other VMs.
type WriteResult struct {
	Input control.PageWritten
	Value []byte
}

// Write carries out a compare-and-swap of a page.
func (c *Client) Write(ctx context.Context, write control.PageWrite) WriteResult {
	answer := control.PageWritten{Service: write.Service, ChangeID: write.Page.ChangeID}
	value, err := ownership.Encode(&write.Page)
	if err != nil {
		answer.Outcome = control.WriteFailed
		return WriteResult{Input: answer}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := kvstore.PagePrefix + write.Service
	version, err := c.store.CompareAndSwap(ctx, key, kvstore.Version(write.Expected), value, 0)
	answer.Outcome = outcome(err)
	answer.Version = uint64(version)
	return WriteResult{Input: answer, Value: value}
}

// outcome classifies the error of a write. An error that is not the store's
// own proves nothing.
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
