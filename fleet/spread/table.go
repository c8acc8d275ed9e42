package spread

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavacrank.example/fleet/document"
)

// MemberPrefix is the key prefix of the documents that VMs write about
// themselves. They are not in the store.
const MemberPrefix = "member/"

// tombstoneTTL is how long the tombstone of a member's document is kept.
const tombstoneTTL = 10 * time.Minute

// entry is one replicated document.
type entry struct {
	document document.Document
	// previous is the preceding version, the base of deltas.
	previous document.Document
	// hash is the document's contribution to the table's root hash; zero for a
	// tombstone.
	hash uint64
	// learnedAt is when this VM learned of the version.
	learnedAt time.Duration
}

// table holds the highest known version of every document.
type table struct {
	entries map[string]entry
	// root is the XOR of all document hashes.
	root uint64
}

func newTable() *table { return &table{entries: make(map[string]entry)} }

// set stores a document if its version is higher than the known one.
func (t *table) set(now time.Duration, changed document.Document, ignoreVersions bool) bool {
	known, present := t.entries[changed.Key]
	if present && changed.Version <= known.document.Version {
		if !ignoreVersions || changed.Version == known.document.Version {
			return false
		}
	}
	hash := hashVersion(changed)
	t.root ^= known.hash ^ hash
	t.entries[changed.Key] = entry{document: changed, previous: known.document, hash: hash, learnedAt: now}
	return true
}

func (t *table) get(key string) document.Document { return t.entries[key].document }

// expire drops tombstones of members' documents after tombstoneTTL.
func (t *table) expire(now time.Duration) {
	for key, e := range t.entries {
		if e.document.Deleted && strings.HasPrefix(key, MemberPrefix) && now-e.learnedAt > tombstoneTTL {
			delete(t.entries, key)
		}
	}
}

// bucketCount returns the number of buckets for comparing this table: the
// smallest power of two that is at least the square root of the number of
// documents, so that there are about as many buckets as documents per bucket.
func (t *table) bucketCount() int {
	count := 1
	for count*count < len(t.entries) {
		count *= 2
	}
	return count
}

// buckets returns the XOR of the document hashes in each bucket.
func (t *table) buckets(count int) []uint64 {
	hashes := make([]uint64, count)
	for key, e := range t.entries {
		hashes[bucketOf(key, count)] ^= e.hash
	}
	return hashes
}

// inBuckets returns the documents of the selected buckets, sorted by key.
func (t *table) inBuckets(selected []bool) []document.Document {
	var found []document.Document
	for key, e := range t.entries {
		if selected[bucketOf(key, len(selected))] {
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
