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

// index lists the kept earlier revisions, oldest first. A record stands in the
// index and under its own key before it is replaced, so that no revision
// within the bounds is ever missing.
type index struct {
	Entries []Summary `json:"entries"`
}

const indexKey = kvstore.HistoryPrefix + "index"

// historyKey returns the key of an earlier revision.
func historyKey(revision config.Revision) string {
	return fmt.Sprintf("%s%012d", kvstore.HistoryPrefix, revision)
}

// History returns the kept revisions, newest first, the one in force included.
func (k *Repository) History(ctx context.Context) ([]Summary, error) {
	found, err := k.current(ctx)
	if err != nil || found.record.Revision == 0 {
		return nil, err
	}
	kept, _, err := k.readIndex(ctx)
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
func (k *Repository) Revision(ctx context.Context, revision config.Revision) (config.Record, error) {
	found, err := k.current(ctx)
	if err != nil {
		return config.Record{}, err
	}
	if found.record.Revision == revision && revision != 0 {
		return found.record, nil
	}
	entry, err := k.get(ctx, historyKey(revision))
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		return config.Record{}, &NotFoundError{Revision: revision}
	}
	if err != nil {
		return config.Record{}, err
	}
	earlier, err := decode(entry)
	return earlier.record, err
}

// alreadyApplied looks for a change among the record in force and its history.
func (k *Repository) alreadyApplied(ctx context.Context, changeID string, found stored) (config.Record, bool, error) {
	if found.record.ChangeID == changeID {
		return found.record, true, nil
	}
	kept, _, err := k.readIndex(ctx)
	if err != nil {
		return config.Record{}, false, err
	}
	for _, entry := range kept.Entries {
		if entry.ChangeID == changeID {
			record, err := k.Revision(ctx, entry.Revision)
			return record, err == nil, err
		}
	}
	return config.Record{}, false, nil
}

// archive keeps the record in force before it is replaced. It changes nothing
// that is in force, so a failure of any kind means "not applied".
func (k *Repository) archive(ctx context.Context, found stored) error {
	if found.record.Revision == 0 {
		return nil
	}
	pause := minPause
	for attempt := 1; ; attempt++ {
		err := k.archiveOnce(ctx, found)
		if err == nil {
			return nil
		}
		if attempt == readAttempts || k.options.Wait(ctx, pause) != nil {
			return &kvstore.Error{Op: "archive", Key: historyKey(found.record.Revision), Kind: kvstore.KindUnavailable, Err: err}
		}
		pause = longer(pause)
	}
}

// archiveOnce writes the record under its own key, then into the index. Both
// writes give the same result when they are repeated.
func (k *Repository) archiveOnce(ctx context.Context, found stored) error {
	kept, version, err := k.readIndex(ctx)
	if err != nil {
		return err
	}
	if kept.has(found.record.Revision) {
		return nil
	}
	_, err = k.options.Store.CompareAndSwap(ctx, historyKey(found.record.Revision), 0, found.value, 0)
	if err != nil && !kvstore.IsKind(err, kvstore.KindConflict) {
		return err
	}
	kept.Entries = append(kept.Entries, summarize(found.record))
	if err := k.prune(ctx, &kept); err != nil {
		return err
	}
	value, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	_, err = k.options.Store.CompareAndSwap(ctx, indexKey, version, value, 0)
	return err
}

// has reports whether the index holds a revision, or passed it already.
func (x index) has(revision config.Revision) bool {
	return slices.ContainsFunc(x.Entries, func(s Summary) bool { return s.Revision >= revision })
}

// bytes returns the size of the kept texts.
func (x index) bytes() int {
	total := 0
	for _, entry := range x.Entries {
		total += entry.Bytes
	}
	return total
}

// prune removes what is beyond the bounds.
func (k *Repository) prune(ctx context.Context, kept *index) error {
	for {
		victim, found := k.victim(*kept)
		if !found {
			return nil
		}
		if err := k.remove(ctx, historyKey(kept.Entries[victim].Revision)); err != nil {
			return err
		}
		kept.Entries = slices.Delete(kept.Entries, victim, victim+1)
	}
}

// victim chooses the revision to remove. The newest MaxHistory are kept, and
// before them the last of each hour, MaxHourly of those; all within
// MaxHistoryBytes. The hours are those of the records and decide nothing else.
func (k *Repository) victim(kept index) (int, bool) {
	entries := kept.Entries
	older := len(entries) - k.options.MaxHistory
	for i := range older {
		if hour(entries[i]).Equal(hour(entries[i+1])) {
			return i, true
		}
	}
	return 0, older > k.options.MaxHourly || kept.bytes() > k.options.MaxHistoryBytes
}

// hour returns the hour of a revision.
func hour(entry Summary) time.Time { return entry.Time.Truncate(time.Hour) }

// remove deletes a key that may be gone already.
func (k *Repository) remove(ctx context.Context, key string) error {
	entry, err := k.options.Store.Get(ctx, key)
	if err == nil {
		err = k.options.Store.Delete(ctx, key, entry.Version)
	}
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		return nil
	}
	return err
}

// readIndex reads the index and its version.
func (k *Repository) readIndex(ctx context.Context) (index, kvstore.Version, error) {
	var kept index
	entry, err := k.get(ctx, indexKey)
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
