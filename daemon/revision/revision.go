// Package revision stores the fleet's configuration in the platform's store:
// one record that is changed only by compare-and-swap and whose revision number
// only increases, and a bounded history of the records that it replaced.
//
// Each change has a unique identifier, by which a write whose reply was lost is
// found again. Of several concurrent changes made from the same revision exactly
// one is applied; the others fail with a *ConflictError.
// docs/design/configuration.md describes the rules and the alternatives considered.
package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/config/diff"
	"guavacrank.example/kvstore"
)

// Options configures a Repository.
type Options struct {
	Store kvstore.Store
	// OnWritten is called with the entry of the record in force after each change
	// that this repository applied, so that the entry can be sent to the other VMs
	// at once. It may be nil and must not block.
	OnWritten func(kvstore.Entry)
	// Now is the wall clock for the time in records. The time is informational:
	// it only selects which old revisions are kept. Nil means time.Now.
	Now func() time.Time
	// Wait sleeps between two attempts at a store call. Nil means a timer.
	Wait func(ctx context.Context, backoff time.Duration) error
	// MaxHistory is the number of most recent earlier revisions that are kept.
	// Of older revisions one per hour is kept, at most MaxHourly of them.
	// MaxHistoryBytes bounds the total size. Zero means the default.
	MaxHistory      int
	MaxHourly       int
	MaxHistoryBytes int
}

// Defaults of Options.
const (
	DefaultMaxHistory      = 100
	DefaultMaxHourly       = 48
	DefaultMaxHistoryBytes = 16 << 20
)

const (
	// maxReadAttempts bounds the attempts at a read, and at archiving a record.
	// Neither changes the configuration in force.
	maxReadAttempts = 3
	// maxEditAttempts bounds the attempts at an edit that meets conflicting changes.
	maxEditAttempts = 10
	// minBackoff and maxBackoff bound the exponential backoff between attempts.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Repository reads and changes the configuration in the store. It is safe for
// concurrent use.
type Repository struct {
	options       Options
	disabledRules rules
}

// rules selects the safety rules that a mutation test disables.
type rules struct {
	baseCheck bool // A change applies only on top of the revision that it was made from.
	resolve   bool // A write whose reply was lost is resolved before the outcome is reported.
}

// New returns a Repository.
func New(options Options) *Repository {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Wait == nil {
		options.Wait = sleep
	}
	if options.OnWritten == nil {
		options.OnWritten = func(kvstore.Entry) {}
	}
	if options.MaxHistory == 0 {
		options.MaxHistory = DefaultMaxHistory
	}
	if options.MaxHourly == 0 {
		options.MaxHourly = DefaultMaxHourly
	}
	if options.MaxHistoryBytes == 0 {
		options.MaxHistoryBytes = DefaultMaxHistoryBytes
	}
	return &Repository{options: options}
}

// Change is a configuration change requested by an operator.
type Change struct {
	// ChangeID uniquely identifies the change. Calls with the same ChangeID are
	// repetitions of one change, which is applied at most once.
	ChangeID string
	// Base is the revision that the operator edited; zero if none existed.
	Base   config.Revision
	Author string
	Reason string
	// File is the name of the operator's file, for error messages.
	File string
	YAML string
}

// storedRecord is the record in force with its version in the store.
type storedRecord struct {
	record  config.Record
	version kvstore.Version
	value   []byte
}

// Current returns the record in force; its revision is zero if none exists.
func (r *Repository) Current(ctx context.Context) (config.Record, error) {
	found, err := r.current(ctx)
	return found.record, err
}

// Apply puts a configuration into force and returns its record. It fails with
// the joined *config.Error values of a invalid file, a *ConflictError if Base is
// not in force, an *UnknownError if the outcome could not be determined before ctx
// ended, or a *kvstore.Error if nothing was applied.
func (r *Repository) Apply(ctx context.Context, change Change) (config.Record, error) {
	if err := change.validate(); err != nil {
		return config.Record{}, err
	}
	found, err := r.current(ctx)
	if err != nil {
		return config.Record{}, err
	}
	applied, done, err := r.alreadyApplied(ctx, change.ChangeID, found)
	if done && applied.YAML != change.YAML {
		return config.Record{}, reusedChangeID(applied)
	}
	if done || err != nil {
		return applied, err
	}
	if change.Base != found.record.Revision && !r.disabledRules.baseCheck {
		return config.Record{}, r.conflict(ctx, change.Base, found.record)
	}
	if err := checkText(change, found.record); err != nil {
		return config.Record{}, err
	}
	if err := r.archive(ctx, found); err != nil {
		return config.Record{}, err
	}
	record := config.Record{
		Revision: found.record.Revision + 1,
		ChangeID: change.ChangeID,
		Author:   change.Author,
		Reason:   change.Reason,
		Time:     r.options.Now().UTC(),
		YAML:     change.YAML,
	}
	return record, r.replace(ctx, found.version, record)
}

// Check returns the error with which Apply would reject a change of the given
// record, and applies nothing.
func (r *Repository) Check(ctx context.Context, change Change, inForce config.Record) error {
	if change.Base != inForce.Revision {
		return r.conflict(ctx, change.Base, inForce)
	}
	return checkText(change, inForce)
}

// Edit applies a change to the text in force: edit gets the text and returns
// the changed one. If another change was applied in the meantime, edit is
// called again with the newer text. Change.Base and Change.YAML are ignored.
func (r *Repository) Edit(ctx context.Context, change Change, edit func(text string) (string, error)) (config.Record, error) {
	if err := change.validate(); err != nil {
		return config.Record{}, err
	}
	for attempt := 1; ; attempt++ {
		found, err := r.current(ctx)
		if err != nil {
			return config.Record{}, err
		}
		if applied, done, err := r.alreadyApplied(ctx, change.ChangeID, found); done || err != nil {
			return applied, err
		}
		change.Base = found.record.Revision
		change.YAML, err = edit(found.record.YAML)
		if err != nil {
			return config.Record{}, err
		}
		record, err := r.Apply(ctx, change)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || attempt == maxEditAttempts {
			return record, err
		}
	}
}

// Rollback puts the text of an earlier revision into force as a new revision.
// It fails like Apply, or with a *NotKeptError. Change.YAML is ignored.
func (r *Repository) Rollback(ctx context.Context, to config.Revision, change Change) (config.Record, error) {
	earlier, err := r.Revision(ctx, to)
	if err != nil {
		return config.Record{}, err
	}
	change.YAML = earlier.YAML
	change.File = fmt.Sprintf("revision %d", to)
	change.Reason = fmt.Sprintf("rollback to revision %d: %s", to, change.Reason)
	return r.Apply(ctx, change)
}

// validate checks the fields that every change needs.
func (c Change) validate() error {
	fields := []struct{ name, value string }{
		{"change_id", c.ChangeID},
		{"author", c.Author},
		{"reason", c.Reason},
	}
	for _, field := range fields {
		if strings.TrimSpace(field.value) == "" {
			return &config.Error{File: "request", Field: field.name, Reason: "is missing"}
		}
		if len(field.value) > config.MaxReasonBytes {
			return &config.Error{File: "request", Field: field.name, Reason: "is too long"}
		}
	}
	return nil
}

// reusedChangeID returns the error for a change whose identifier was already
// used for another change.
func reusedChangeID(applied config.Record) error {
	reason := fmt.Sprintf("%q is revision %d already, with another text", applied.ChangeID, applied.Revision)
	return &config.Error{File: "request", Field: "change_id", Reason: reason}
}

// checkText validates the text of a change against the record in force.
func checkText(change Change, inForce config.Record) error {
	_, err := config.ParseChange(change.File, []byte(change.YAML), parseRecord(inForce))
	return err
}

// parseRecord parses the text of a record. It returns nil if there is no text,
// or if an earlier version of the program accepted it and this one does not.
func parseRecord(record config.Record) *config.Configuration {
	parsed, err := config.ParseConfiguration("in force", []byte(record.YAML))
	if err != nil {
		return nil
	}
	return parsed
}

// current reads the record in force.
func (r *Repository) current(ctx context.Context) (storedRecord, error) {
	entry, err := r.get(ctx, kvstore.ConfigKey)
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	return decode(entry)
}

// decode decodes the record in a store entry.
func decode(entry kvstore.Entry) (storedRecord, error) {
	found := storedRecord{version: entry.Version, value: entry.Value}
	if err := json.Unmarshal(entry.Value, &found.record); err != nil {
		return storedRecord{}, &CorruptError{Key: entry.Key, Err: err}
	}
	return found, nil
}

// get reads an entry, with up to maxReadAttempts attempts.
func (r *Repository) get(ctx context.Context, key string) (kvstore.Entry, error) {
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		entry, err := r.options.Store.Get(ctx, key)
		if err == nil || kvstore.IsKind(err, kvstore.KindNotFound) || attempt == maxReadAttempts {
			return entry, err
		}
		if r.options.Wait(ctx, backoff) != nil {
			return entry, err
		}
		backoff = nextBackoff(backoff)
	}
}

// nextBackoff returns the backoff that follows the given one.
func nextBackoff(backoff time.Duration) time.Duration { return min(2*backoff, maxBackoff) }

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, backoff time.Duration) error {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// conflict returns the error that describes the record in force instead of base
// and the difference between the two.
func (r *Repository) conflict(ctx context.Context, base config.Revision, inForce config.Record) error {
	conflict := &ConflictError{Base: base, InForce: summarize(inForce)}
	earlier, err := r.Revision(ctx, base)
	if err == nil {
		conflict.Changes = diff.Compare(parseRecord(earlier), parseRecord(inForce))
		conflict.Compared = true
	}
	return conflict
}
