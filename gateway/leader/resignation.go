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
	var version kvstore.Version
	var overwrite bool
	c.update(func(core *core) { version, overwrite = core.resign(permanently) })
	if !overwrite {
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
