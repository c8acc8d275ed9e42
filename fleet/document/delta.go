package document

import (
	"encoding/binary"
	"errors"

	"guavacrank.example/kvstore"
)

// ErrDelta means that a delta is malformed or that its result is too large.
var ErrDelta = errors.New("document: malformed delta")

// blockBytes is the length of the blocks of the old value that Diff searches
// for in the new one.
const blockBytes = 16

// Diff returns a delta that turns old into changed. A delta is a sequence of
// operations, each starting with a varint n. If n is even, n/2 literal bytes
// follow. If n is odd, an offset follows, from which n/2 bytes of old are
// copied.
func Diff(old, changed []byte) []byte {
	blocks := make(map[string]int, len(old)/blockBytes)
	for offset := 0; offset+blockBytes <= len(old); offset += blockBytes {
		block := string(old[offset : offset+blockBytes])
		if _, present := blocks[block]; !present {
			blocks[block] = offset
		}
	}
	var delta []byte
	literal := 0
	position := 0
	for position+blockBytes <= len(changed) {
		offset, found := blocks[string(changed[position:position+blockBytes])]
		if !found {
			position++
			continue
		}
		start, from := extendBackward(old, changed, literal, position, offset)
		length := commonPrefix(old[from:], changed[start:])
		delta = appendLiteral(delta, changed[literal:start])
		delta = appendCopy(delta, from, length)
		position = start + length
		literal = position
	}
	return appendLiteral(delta, changed[literal:])
}

// extendBackward extends a match towards the start as long as the preceding
// bytes are equal.
func extendBackward(old, changed []byte, limit, position, offset int) (start, from int) {
	for position > limit && offset > 0 && changed[position-1] == old[offset-1] {
		position--
		offset--
	}
	return position, offset
}

func commonPrefix(a, b []byte) int {
	limit := min(len(a), len(b))
	for i := range limit {
		if a[i] != b[i] {
			return i
		}
	}
	return limit
}

func appendLiteral(delta, literal []byte) []byte {
	if len(literal) == 0 {
		return delta
	}
	delta = binary.AppendUvarint(delta, uint64(len(literal))<<1)
	return append(delta, literal...)
}

func appendCopy(delta []byte, offset, length int) []byte {
	delta = binary.AppendUvarint(delta, uint64(length)<<1|1)
	return binary.AppendUvarint(delta, uint64(offset))
}

// Patch applies a delta made by Diff to old. It returns ErrDelta if the delta
// is malformed or the result exceeds kvstore.MaxValueBytes.
func Patch(old, delta []byte) ([]byte, error) {
	var value []byte
	for len(delta) > 0 {
		operation, width := binary.Uvarint(delta)
		if width <= 0 {
			return nil, ErrDelta
		}
		delta = delta[width:]
		length := operation >> 1
		if length > kvstore.MaxValueBytes || uint64(len(value))+length > kvstore.MaxValueBytes {
			return nil, ErrDelta
		}
		if operation&1 == 0 {
			if length > uint64(len(delta)) {
				return nil, ErrDelta
			}
			value = append(value, delta[:length]...)
			delta = delta[length:]
			continue
		}
		offset, width := binary.Uvarint(delta)
		if width <= 0 || offset > uint64(len(old)) || length > uint64(len(old))-offset {
			return nil, ErrDelta
		}
		delta = delta[width:]
		value = append(value, old[offset:offset+length]...)
	}
	return value, nil
}
