package spread

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavacrank.example/fleet/document"
)

// MemberPrefix starts the keys of the documents that VMs write about
// themselves. They are not in the store.
const MemberPrefix = "member/"

// tombstoneLife is how long the removal of a member's document is kept.
const tombstoneLife = 10 * time.Minute

// entry is one replicated document.
type entry struct {
	document document.Document
	// previous is the version before, the base of deltas.
	previous document.Document
	// hash is the document's share of the table's root; zero for a removal.
	hash uint64
	// since is when this VM learned the version.
	since time.Duration
}

// table holds the newest known version of every document.
type table struct {
	entries map[string]entry
	// root is the exclusive or of all hashes.
	root uint64
}

func newTable() *table { return &table{entries: make(map[string]entry)} }

// set takes a document if its version is higher than the known one.
func (t *table) set(now time.Duration, changed document.Document, ignoreVersions bool) bool {
	known, present := t.entries[changed.Key]
	if present && changed.Version <= known.document.Version {
		if !ignoreVersions || changed.Version == known.document.Version {
			return false
		}
	}
	hash := hashVersion(changed)
	t.root ^= known.hash ^ hash
	t.entries[changed.Key] = entry{document: changed, previous: known.document, hash: hash, since: now}
	return true
}

func (t *table) get(key string) document.Document { return t.entries[key].document }

// expire drops removals of members' documents after tombstoneLife.
func (t *table) expire(now time.Duration) {
	for key, e := range t.entries {
		if e.document.Deleted && strings.HasPrefix(key, MemberPrefix) && now-e.since > tombstoneLife {
			delete(t.entries, key)
		}
	}
}

// bucketCount is the number of buckets that divides the table into about as
// many buckets as each has documents.
func (t *table) bucketCount() int {
	count := 1
	for count*count < len(t.entries) {
		count *= 2
	}
	return count
}

// buckets returns the exclusive or of the hashes in each bucket.
func (t *table) buckets(count int) []uint64 {
	hashes := make([]uint64, count)
	for key, e := range t.entries {
		hashes[bucketOf(key, count)] ^= e.hash
	}
	return hashes
}

// inBuckets returns the documents of the marked buckets, sorted by key.
func (t *table) inBuckets(marked []bool) []document.Document {
	var found []document.Document
	for key, e := range t.entries {
		if marked[bucketOf(key, len(marked))] {
			found = append(found, e.document)
		}
	}
	slices.SortFunc(found, func(a, b document.Document) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func bucketOf(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}

func hashVersion(d document.Document) uint64 {
	if d.Deleted {
		return 0
	}
	buffer := make([]byte, 0, len(d.Key)+8)
	buffer = append(buffer, d.Key...)
	buffer = binary.BigEndian.AppendUint64(buffer, d.Version)
	return xxhash.Sum64(buffer)
}
