package leader

import (
	"bytes"
	"context"

	"guavacrank.example/kvstore"
)

// resigned is the value of the key after its holder has resigned.
var resigned = []byte(`"resigned"`)

// IsVacant says whether a value of the key, nil if the key does not exist, names no leader.
func IsVacant(value []byte) bool { return value == nil || bytes.Equal(value, resigned) }

// Resign gives up the leadership. If permanently is set, the campaign never claims
// it again.
func (c *Campaign) Resign(ctx context.Context, permanently bool) error {
	c.mu.Lock()
	held, restored, version := c.state.Held, c.restored(), c.state.Term.Version
	c.state.Held = false
	c.disabled = c.disabled || permanently
	c.mu.Unlock()
	if !held || restored {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.options.Store.CompareAndSwap(ctx, c.options.Key, version, resigned, 0)
	if kvstore.IsKind(err, kvstore.KindConflict) {
		return nil // The lease has expired.
	}
	return err
}

// setVacant records whether a value of the key, written at the given version, names no
// leader. The caller holds c.mu.
func (c *Campaign) setVacant(value []byte, version kvstore.Version) {
	c.vacant, c.vacantAt = IsVacant(value), 0
	if value != nil {
		c.vacantAt = version
	}
}

// vacantVersion returns the version that a claim of the vacant key expects.
func (c *Campaign) vacantVersion() kvstore.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vacantAt
}
