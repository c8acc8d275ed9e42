package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/kvstore"
)

// Summary is a record without its text.
type Summary struct {
	Revision config.Revision `json:"revision"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
	Time     time.Time       `json:"time"`
	Bytes    int             `json:"bytes"` // Size of the text.
}

// summarize returns a record without its text.
func summarize(record config.Record) Summary {
	return Summary{
		Revision: record.Revision,
		ChangeID: record.ChangeID,
		Author:   record.Author,
		Reason:   record.Reason,
		Time:     record.Time,
		Bytes:    len(record.YAML),
	}
}

// index lists the earlier revisions in the history, oldest first. A record is
// written under its own key and added to the index before it is replaced, so
// that no revision within the bounds is ever missing.
type index struct {
	Entries []Summary `json:"entries"`
}

const indexKey = kvstore.HistoryPrefix + "index"

// historyKey returns the key of an earlier revision.
func historyKey(revision config.Revision) string {
	return fmt.Sprintf("%s%012d", kvstore.HistoryPrefix, revision)
}

// History returns the revisions in the history, newest first, including the one
// in force.
func (r *Repository) History(ctx context.Context) ([]Summary, error) {
	found, err := r.current(ctx)
	if err != nil || found.record.Revision == 0 {
		return nil, err
	}
	kept, _, err := r.readIndex(ctx)
	if err != nil {
		return nil, err
	}
	list := []Summary{summarize(found.record)}
	for _, entry := range slices.Backward(kept.Entries) {
		if entry.Revision < found.record.Revision {
			list = append(list, entry)
		}
	}
	return list, nil
}

// Revision returns the record of one revision, in force or earlier, or fails
// with a *NotKeptError.
func (r *Repository) Revision(ctx context.Context, revision config.Revision) (config.Record, error) {
	found, err := r.current(ctx)
	if err != nil {
		return config.Record{}, err
	}
	if found.record.Revision == revision && revision != 0 {
		return found.record, nil
	}
	entry, err := r.get(ctx, historyKey(revision))
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		return config.Record{}, &NotFoundError{Revision: revision}
	}
	if err != nil {
		return config.Record{}, err
	}
	earlier, err := decode(entry)
	return earlier.record, err
}

// alreadyApplied looks up a change by its identifier in the record in force and
// in the history.
func (r *Repository) alreadyApplied(ctx context.Context, changeID string, found storedRecord) (config.Record, bool, error) {
	if found.record.ChangeID == changeID {
		return found.record, true, nil
	}
	kept, _, err := r.readIndex(ctx)
	if err != nil {
		return config.Record{}, false, err
	}
	for _, entry := range kept.Entries {
		if entry.ChangeID == changeID {
			record, err := r.Revision(ctx, entry.Revision)
			return record, err == nil, err
		}
	}
	return config.Record{}, false, nil
}

// archive copies the record in force to the history before it is replaced. It
// does not change the record in force, so any failure means that the change was
// not applied.
func (r *Repository) archive(ctx context.Context, found storedRecord) error {
	if found.record.Revision == 0 {
		return nil
	}
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		err := r.tryArchive(ctx, found)
		if err == nil {
			return nil
		}
		if attempt == maxReadAttempts || r.options.Wait(ctx, backoff) != nil {
			return &kvstore.Error{Op: "archive", Key: historyKey(found.record.Revision), Kind: kvstore.KindUnavailable, Err: err}
		}
		backoff = nextBackoff(backoff)
	}
}

// tryArchive writes the record under its own key, then adds it to the index.
// Both writes are idempotent.
func (r *Repository) tryArchive(ctx context.Context, found storedRecord) error {
	kept, version, err := r.readIndex(ctx)
	if err != nil {
		return err
	}
	if kept.covers(found.record.Revision) {
		return nil
	}
	_, err = r.options.Store.CompareAndSwap(ctx, historyKey(found.record.Revision), 0, found.value, 0)
	if err != nil && !kvstore.IsKind(err, kvstore.KindConflict) {
		return err
	}
	kept.Entries = append(kept.Entries, summarize(found.record))
	if err := r.prune(ctx, &kept); err != nil {
		return err
	}
	value, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	_, err = r.options.Store.CompareAndSwap(ctx, indexKey, version, value, 0)
	return err
}

// covers reports whether the index contains the revision or a later one.
func (x index) covers(revision config.Revision) bool {
	return slices.ContainsFunc(x.Entries, func(s Summary) bool { return s.Revision >= revision })
}

// totalBytes returns the total size of the texts in the history.
func (x index) totalBytes() int {
	total := 0
	for _, entry := range x.Entries {
		total += entry.Bytes
	}
	return total
}

// prune removes the revisions that exceed the bounds of the history.
func (r *Repository) prune(ctx context.Context, kept *index) error {
	for {
		candidate, found := r.pruneCandidate(*kept)
		if !found {
			return nil
		}
		if err := r.deleteIfPresent(ctx, historyKey(kept.Entries[candidate].Revision)); err != nil {
			return err
		}
		kept.Entries = slices.Delete(kept.Entries, candidate, candidate+1)
	}
}

// pruneCandidate returns the position of the next revision to remove. The most
// recent MaxHistory revisions are kept, and of the older ones the last of each
// hour, at most MaxHourly of them; all within MaxHistoryBytes. The hours come
// from the wall-clock times in the records, which are used for nothing else.
func (r *Repository) pruneCandidate(kept index) (int, bool) {
	entries := kept.Entries
	older := len(entries) - r.options.MaxHistory
	for i := range older {
		if hourOf(entries[i]).Equal(hourOf(entries[i+1])) {
			return i, true
		}
	}
	return 0, older > r.options.MaxHourly || kept.totalBytes() > r.options.MaxHistoryBytes
}

// hourOf returns the hour in which a revision was applied.
func hourOf(entry Summary) time.Time { return entry.Time.Truncate(time.Hour) }

// deleteIfPresent deletes a key that may not exist any more.
func (r *Repository) deleteIfPresent(ctx context.Context, key string) error {
	entry, err := r.options.Store.Get(ctx, key)
	if err == nil {
		err = r.options.Store.Delete(ctx, key, entry.Version)
	}
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		return nil
	}
	return err
}

// readIndex reads the index and its version in the store.
func (r *Repository) readIndex(ctx context.Context) (index, kvstore.Version, error) {
	var kept index
	entry, err := r.get(ctx, indexKey)
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		return kept, 0, nil
	}
	if err != nil {
		return kept, 0, err
	}
	if err := json.Unmarshal(entry.Value, &kept); err != nil {
		return kept, 0, &CorruptError{Key: indexKey, Err: err}
	}
	return kept, entry.Version, nil
}
