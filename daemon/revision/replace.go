package revision

import (
	"context"
	"encoding/json"
	"errors"

	"guavacrank.example/config"
	"guavacrank.example/kvstore"
)

// replacement is one compare-and-swap of the record in force until its outcome
// is settled.
type replacement struct {
	keeper   *Repository
	expected kvstore.Version
	record   config.Record
	value    []byte
	// sent is set once an attempt may have taken effect.
	sent bool
}

// replace writes the record over the version and settles the outcome. A lost
// reply is settled by writing again: the store applies at most one of the
// writes that expect the same version, and a conflict is read back.
func (k *Repository) replace(ctx context.Context, expected kvstore.Version, record config.Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	r := &replacement{keeper: k, expected: expected, record: record, value: value}
	pause := minPause
	for {
		err := r.attempt(ctx)
		if err == nil || !r.repeat(err) {
			return err
		}
		if k.options.Wait(ctx, pause) != nil {
			return &UnknownOutcomeError{ChangeID: record.ChangeID, Err: err}
		}
		pause = longer(pause)
	}
}

// repeat reports whether the outcome is still open after err.
func (r *replacement) repeat(err error) bool {
	var failure *kvstore.Error
	return r.sent && errors.As(err, &failure) && !r.keeper.disabled.settle
}

// attempt writes once, and reads back after a conflict.
func (r *replacement) attempt(ctx context.Context) error {
	version, err := r.keeper.options.Store.CompareAndSwap(ctx, kvstore.ConfigKey, r.expected, r.value, 0)
	if err == nil {
		r.keeper.options.OnWritten(kvstore.Entry{Key: kvstore.ConfigKey, Value: r.value, Version: version})
	}
	if kvstore.IsUnknown(err) {
		r.sent = true
	}
	if kvstore.IsKind(err, kvstore.KindConflict) {
		return r.readBack(ctx)
	}
	return err
}

// readBack finds out whose record replaced the expected version.
func (r *replacement) readBack(ctx context.Context) error {
	found, err := r.keeper.current(ctx)
	if err != nil {
		return err
	}
	winner := found.record
	var notKept *NotFoundError
	if winner.Revision > r.record.Revision {
		winner, err = r.keeper.Revision(ctx, r.record.Revision)
	}
	switch {
	case errors.As(err, &notKept):
		return &UnknownOutcomeError{ChangeID: r.record.ChangeID, Err: err}
	case err != nil:
		return err
	case winner.ChangeID == r.record.ChangeID:
		r.keeper.options.OnWritten(kvstore.Entry{Key: kvstore.ConfigKey, Value: found.value, Version: found.version})
		return nil
	default:
		return r.keeper.conflict(ctx, r.record.Revision-1, found.record)
	}
}
