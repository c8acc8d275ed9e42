package keys

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Fingerprint identifies a state up to a shift of time and a renaming of its numbers.
type Fingerprint [16]byte

// rankedClass is a class of numbers of which only the order counts.
type rankedClass int

const (
	fenceClass rankedClass = iota
	versionClass
	stampClass
	rankedClasses
)

// StateEncoder turns the parts of a state into a Fingerprint. Times count from the present.
// Fences, versions of the store and numbers of pages are replaced by their ranks, and names
// of calls by the order in which they appear, so that states which differ only in these are
// equal.
type StateEncoder struct {
	now    time.Duration
	words  []uint64
	ranked [rankedClasses][]rankedWord
	names  []name
	bytes  []byte
}

// rankedWord is a number and its place among the words.
type rankedWord struct {
	value uint64
	at    int
}

// name is a number that counts only by being the same as another one of its scope.
type name struct{ scope, value uint64 }

// Reset begins another state at a time.
func (e *StateEncoder) Reset(now time.Duration) {
	e.now = now
	e.words, e.names = e.words[:0], e.names[:0]
	for class := range e.ranked {
		e.ranked[class] = e.ranked[class][:0]
	}
}

// Sum returns the fingerprint of what was added since Reset.
func (e *StateEncoder) Sum() Fingerprint {
	for class := range e.ranked {
		e.rank(e.ranked[class])
	}
	e.bytes = e.bytes[:0]
	for _, word := range e.words {
		e.bytes = binary.LittleEndian.AppendUint64(e.bytes, word)
	}
	sum := sha256.Sum256(e.bytes)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// rank replaces numbers by their ranks.
func (e *StateEncoder) rank(words []rankedWord) {
	slices.SortFunc(words, func(a, b rankedWord) int { return cmp.Compare(a.value, b.value) })
	rank, last := uint64(0), uint64(0)
	for _, word := range words {
		if word.value != last {
			rank, last = rank+1, word.value
		}
		e.words[word.at] = rank
	}
}

// Word adds a number as it is.
func (e *StateEncoder) Word(value uint64) { e.words = append(e.words, value) }

// Int adds an integer as it is.
func (e *StateEncoder) Int(value int) { e.Word(uint64(value)) }

// Float adds a floating-point number as it is.
func (e *StateEncoder) Float(value float64) { e.Word(math.Float64bits(value)) }

// Bools adds up to 64 truth values.
func (e *StateEncoder) Bools(values ...bool) {
	word := uint64(0)
	for at, value := range values {
		if value {
			word |= 1 << at
		}
	}
	e.Word(word)
}

// Parameters of the FNV-1a hash with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Text adds a text.
func (e *StateEncoder) Text(text string) { e.Word(textWord(text)) }

// textWord returns the FNV-1a hash of a text.
func textWord(text string) uint64 {
	hash := uint64(fnvOffset)
	for at := range len(text) {
		hash = (hash ^ uint64(text[at])) * fnvPrime
	}
	return hash
}

// longPast stands for a time that is so long ago that its distance has no effect.
const longPast = math.MaxUint64

// Due adds a time from which something may happen: any in the past are the same.
func (e *StateEncoder) Due(at time.Duration) { e.Word(uint64(max(at-e.now, 0))) }

// Time adds a time of which zero means none. relevance is how long after it its distance
// has an effect.
func (e *StateEncoder) Time(at, relevance time.Duration) {
	switch {
	case at == 0:
		e.Word(0)
	case at+relevance < e.now:
		e.Word(longPast)
	default:
		e.Word(uint64(at-e.now+relevance) + 1)
	}
}

// Fence adds a fence. Zero stays zero.
func (e *StateEncoder) Fence(fence uint64) { e.addRanked(fenceClass, fence) }

// Version adds a version of the store. Zero stays zero.
func (e *StateEncoder) Version(version uint64) { e.addRanked(versionClass, version) }

// stamp adds the number of a page.
func (e *StateEncoder) stamp(number uint64) { e.addRanked(stampClass, number) }

func (e *StateEncoder) addRanked(class rankedClass, value uint64) {
	e.ranked[class] = append(e.ranked[class], rankedWord{value, len(e.words)})
	e.Word(value)
}

// Name adds a number of which only equality with others of its scope counts. Zero stays zero.
func (e *StateEncoder) Name(scope string, value uint64) {
	if value == 0 {
		e.Word(0)
		return
	}
	wanted := name{textWord(scope), value}
	at := slices.Index(e.names, wanted)
	if at < 0 {
		at = len(e.names)
		e.names = append(e.names, wanted)
	}
	e.Int(at + 1)
}

// Now returns the present of the state.
func (e *StateEncoder) Now() time.Duration { return e.now }
