// Package document is the unit that the fleet replicates: one key of the
// platform's store at a version, and its form on the wire, whole or as a delta
// against an earlier version.
package document

import (
	"errors"

	"github.com/cespare/xxhash/v2"

	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

// Document is one key of the store at a version. A higher version always
// replaces a lower one; a VM never goes back.
type Document struct {
	Key     string
	Version uint64
	Value   []byte
	// Deleted marks a removal at Version; Value is then empty.
	Deleted bool
}

// ErrMissingBase says that a delta's base version is not at hand: ask for the
// whole document.
var ErrMissingBase = errors.New("document: base version of the delta is not known")

// ErrChecksum says that a delta did not give the value that its sender has.
var ErrChecksum = errors.New("document: checksum of the delta's result differs")

// minDeltaBytes is the size from which a delta is worth its effort.
const minDeltaBytes = 256

// Encode returns the wire form of document: a delta against base where that
// is less than half as long, otherwise the whole value. A base of version zero
// means that there is none.
func Encode(document, base Document) *fleetv1.Document {
	wire := &fleetv1.Document{
		Key:     document.Key,
		Version: document.Version,
		Value:   document.Value,
		Deleted: document.Deleted,
	}
	if base.Version == 0 || base.Deleted || document.Deleted || len(document.Value) < minDeltaBytes {
		return wire
	}
	delta := Diff(base.Value, document.Value)
	if 2*len(delta) >= len(document.Value) {
		return wire
	}
	wire.Value = delta
	wire.BaseVersion = base.Version
	wire.Checksum = xxhash.Sum64(document.Value)
	return wire
}

// Decode returns the document of a wire form; known is the receiver's newest
// version of the same key. It returns ErrMissingBase or ErrChecksum when only
// the whole document can help.
func Decode(wire *fleetv1.Document, known Document) (Document, error) {
	decoded := Document{
		Key:     wire.GetKey(),
		Version: wire.GetVersion(),
		Value:   wire.GetValue(),
		Deleted: wire.GetDeleted(),
	}
	if wire.GetBaseVersion() == 0 {
		return decoded, nil
	}
	if known.Version != wire.GetBaseVersion() || known.Deleted {
		return Document{}, ErrMissingBase
	}
	value, err := Patch(known.Value, wire.GetValue())
	if err != nil {
		return Document{}, err
	}
	if xxhash.Sum64(value) != wire.GetChecksum() {
		return Document{}, ErrChecksum
	}
	decoded.Value = value
	return decoded, nil
}
