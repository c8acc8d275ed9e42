package revision

import (
	"context"
	"encoding/json"
	"errors"

	"guavacrank.example/config"
	"guavacrank.example/kvstore"
)

// recordWrite is one compare-and-swap of the record in force, retried until its
// outcome is known.
type recordWrite struct {
	repository *Repository
	expected   kvstore.Version
	record     config.Record
	value      []byte
	// mayHaveApplied is set once an attempt has ended with an unknown outcome.
	mayHaveApplied bool
}

// replace overwrites the expected version with the record and determines the
// outcome. After a lost reply it repeats the write: the store applies at most
// one of the writes that expect the same version, and after a conflict the
// stored record is read back.
func (r *Repository) replace(ctx context.Context, expected kvstore.Version, record config.Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	w := &recordWrite{repository: r, expected: expected, record: record, value: value}
	backoff := minBackoff
	for {
		err := w.attempt(ctx)
		if err == nil || !w.shouldRetry(err) {
			return err
		}
		if r.options.Wait(ctx, backoff) != nil {
			return &UnknownOutcomeError{ChangeID: record.ChangeID, Err: err}
		}
		backoff = nextBackoff(backoff)
	}
}

// shouldRetry reports whether the outcome is still unknown after err.
func (w *recordWrite) shouldRetry(err error) bool {
	var failure *kvstore.Error
	return w.mayHaveApplied && errors.As(err, &failure) && !w.repository.disabledRules.resolve
}

// attempt writes once; after a conflict it reads the stored record back.
func (w *recordWrite) attempt(ctx context.Context) error {
	version, err := w.repository.options.Store.CompareAndSwap(ctx, kvstore.ConfigKey, w.expected, w.value, 0)
	if err == nil {
		w.repository.options.OnWritten(kvstore.Entry{Key: kvstore.ConfigKey, Value: w.value, Version: version})
	}
	if kvstore.IsUnknown(err) {
		w.mayHaveApplied = true
	}
	if kvstore.IsKind(err, kvstore.KindConflict) {
		return w.readBack(ctx)
	}
	return err
}

// readBack determines which change replaced the expected version.
func (w *recordWrite) readBack(ctx context.Context) error {
	found, err := w.repository.current(ctx)
	if err != nil {
		return err
	}
	winner := found.record
	var notFound *NotFoundError
	if winner.Revision > w.record.Revision {
		winner, err = w.repository.Revision(ctx, w.record.Revision)
	}
	switch {
	case errors.As(err, &notFound):
		return &UnknownOutcomeError{ChangeID: w.record.ChangeID, Err: err}
	case err != nil:
		return err
	case winner.ChangeID == w.record.ChangeID:
		w.repository.options.OnWritten(kvstore.Entry{Key: kvstore.ConfigKey, Value: found.value, Version: found.version})
		return nil
	default:
		return w.repository.conflict(ctx, w.record.Revision-1, found.record)
	}
}
