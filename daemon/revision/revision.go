// Package revision keeps the fleet's configuration in the platform's store:
// one record that is changed by compare-and-swap only and whose revision only
// grows, and a bounded history of the records that it replaced.
//
// A lost reply is settled by the change's unique identifier. Of operators who
// race, exactly one wins; the others get a *ConflictError.
// docs/design/configuration.md gives the rules and the ways weighed.
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

// Options configures a Keeper.
type Options struct {
	Store kvstore.Store
	// OnWritten is told each entry of the record in force that this keeper wrote,
	// so that it can be spread at once. May be nil; must not block.
	OnWritten func(kvstore.Entry)
	// Now is the wall clock; it is written into records for people to read and
	// decides nothing. Nil takes time.Now.
	Now func() time.Time
	// Wait pauses between two attempts at the store. Nil takes a timer.
	Wait func(ctx context.Context, pause time.Duration) error
	// MaxHistory bounds the newest earlier revisions, MaxHourly those before
	// them, of which one an hour is kept, and MaxHistoryBytes the size of all.
	// Zero takes the defaults.
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
	// readAttempts is the number of attempts at a read that nothing depends on.
	readAttempts = 3
	// editAttempts is the number of attempts at an edit that loses races.
	editAttempts = 10
	// minPause and maxPause bound the exponential pause between attempts.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// Repository reads and changes the configuration in the store. It is safe for
// concurrent use.
type Repository struct {
	options  Options
	disabled rules
}

// rules names the safety rules that a mutation check switches off.
type rules struct {
	base   bool // A change names the revision that it was made from.
	settle bool // A lost reply is settled before the outcome is reported.
}

// New returns a keeper.
func New(options Options) *Repository {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Wait == nil {
		options.Wait = wait
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

// Change is what an operator wants to put into force.
type Change struct {
	// ChangeID is unique for each change. Repeated calls with the same one are
	// one change.
	ChangeID string
	// Base is the revision that the operator worked from; zero: none existed.
	Base   config.Revision
	Author string
	Reason string
	// File names the operator's file in errors.
	File string
	YAML string
}

// stored is the record in force with its version in the store.
type stored struct {
	record  config.Record
	version kvstore.Version
	value   []byte
}

// Current returns the record in force; its revision is zero where none exists.
func (k *Repository) Current(ctx context.Context) (config.Record, error) {
	found, err := k.current(ctx)
	return found.record, err
}

// Apply puts a configuration into force and returns its record. It fails with
// the joined *config.Error values of a faulty file, a *ConflictError if Base is
// not in force, an *UnknownError if the outcome could not be settled before ctx
// ended, or a *kvstore.Error if nothing was applied.
func (k *Repository) Apply(ctx context.Context, change Change) (config.Record, error) {
	if err := change.validate(); err != nil {
		return config.Record{}, err
	}
	found, err := k.current(ctx)
	if err != nil {
		return config.Record{}, err
	}
	applied, done, err := k.alreadyApplied(ctx, change.ChangeID, found)
	if done && applied.YAML != change.YAML {
		return config.Record{}, usedBefore(applied)
	}
	if done || err != nil {
		return applied, err
	}
	if change.Base != found.record.Revision && !k.disabled.base {
		return config.Record{}, k.conflict(ctx, change.Base, found.record)
	}
	if err := check(change, found.record); err != nil {
		return config.Record{}, err
	}
	if err := k.archive(ctx, found); err != nil {
		return config.Record{}, err
	}
	record := config.Record{
		Revision: found.record.Revision + 1,
		ChangeID: change.ChangeID,
		Author:   change.Author,
		Reason:   change.Reason,
		Time:     k.options.Now().UTC(),
		YAML:     change.YAML,
	}
	return record, k.replace(ctx, found.version, record)
}

// Check reports why Apply would refuse a change of the given record, like
// Apply, and applies nothing.
func (k *Repository) Check(ctx context.Context, change Change, inForce config.Record) error {
	if change.Base != inForce.Revision {
		return k.conflict(ctx, change.Base, inForce)
	}
	return check(change, inForce)
}

// Edit applies a change of single facts: edit gets the text in force and
// returns the new one. It is tried again on what another operator put into
// force meanwhile. Change.Base and Change.YAML are ignored.
func (k *Repository) Edit(ctx context.Context, change Change, edit func(text string) (string, error)) (config.Record, error) {
	if err := change.validate(); err != nil {
		return config.Record{}, err
	}
	for attempt := 1; ; attempt++ {
		found, err := k.current(ctx)
		if err != nil {
			return config.Record{}, err
		}
		if applied, done, err := k.alreadyApplied(ctx, change.ChangeID, found); done || err != nil {
			return applied, err
		}
		change.Base = found.record.Revision
		change.YAML, err = edit(found.record.YAML)
		if err != nil {
			return config.Record{}, err
		}
		record, err := k.Apply(ctx, change)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || attempt == editAttempts {
			return record, err
		}
	}
}

// Rollback puts the text of an earlier revision into force as a new revision.
// It fails like Apply, or with a *NotKeptError. Change.YAML is ignored.
func (k *Repository) Rollback(ctx context.Context, to config.Revision, change Change) (config.Record, error) {
	earlier, err := k.Revision(ctx, to)
	if err != nil {
		return config.Record{}, err
	}
	change.YAML = earlier.YAML
	change.File = fmt.Sprintf("revision %d", to)
	change.Reason = fmt.Sprintf("rollback to revision %d: %s", to, change.Reason)
	return k.Apply(ctx, change)
}

// validate reports what is missing in a change.
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

// usedBefore is the fault of a change identifier that names another change.
func usedBefore(applied config.Record) error {
	reason := fmt.Sprintf("%q is revision %d already, with another text", applied.ChangeID, applied.Revision)
	return &config.Error{File: "request", Field: "change_id", Reason: reason}
}

// check parses the text of a change against the record in force.
func check(change Change, inForce config.Record) error {
	_, err := config.ParseChange(change.File, []byte(change.YAML), configurationOf(inForce))
	return err
}

// configurationOf parses a record. It returns nil where there is none, and for
// a text that an earlier version accepted and this one does not.
func configurationOf(record config.Record) *config.Configuration {
	parsed, err := config.ParseConfiguration("in force", []byte(record.YAML))
	if err != nil {
		return nil
	}
	return parsed
}

// current reads the record in force.
func (k *Repository) current(ctx context.Context) (stored, error) {
	entry, err := k.get(ctx, kvstore.ConfigKey)
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, err
	}
	return decode(entry)
}

// decode reads a record from an entry of the store.
func decode(entry kvstore.Entry) (stored, error) {
	found := stored{version: entry.Version, value: entry.Value}
	if err := json.Unmarshal(entry.Value, &found.record); err != nil {
		return stored{}, &CorruptError{Key: entry.Key, Err: err}
	}
	return found, nil
}

// get reads an entry, with a few attempts.
func (k *Repository) get(ctx context.Context, key string) (kvstore.Entry, error) {
	pause := minPause
	for attempt := 1; ; attempt++ {
		entry, err := k.options.Store.Get(ctx, key)
		if err == nil || kvstore.IsKind(err, kvstore.KindNotFound) || attempt == readAttempts {
			return entry, err
		}
		if k.options.Wait(ctx, pause) != nil {
			return entry, err
		}
		pause = longer(pause)
	}
}

// longer returns the pause after the given one.
func longer(pause time.Duration) time.Duration { return min(2*pause, maxPause) }

// wait pauses by the system's clock.
func wait(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// conflict describes what was put into force instead of base.
func (k *Repository) conflict(ctx context.Context, base config.Revision, inForce config.Record) error {
	conflict := &ConflictError{Base: base, InForce: summarize(inForce)}
	earlier, err := k.Revision(ctx, base)
	if err == nil {
		conflict.Changes = diff.Compare(configurationOf(earlier), configurationOf(inForce))
		conflict.Compared = true
	}
	return conflict
}
