// Package document defines the unit of replication in the fleet: one key of the
// platform's store at a version. It also defines the wire format, which carries
// the full value or a delta against an earlier version.
package document

import (
	"errors"

	"github.com/cespare/xxhash/v2"

	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

// Document is one key of the store at a version. A higher version always
// replaces a lower one; a VM never returns to a lower version.
type Document struct {
	Key     string
	Version uint64
	Value   []byte
	// Deleted marks a deletion at Version; Value is then empty.
	Deleted bool
}

// ErrMissingBase means that the receiver does not have the delta's base version
// and must request the full document.
var ErrMissingBase = errors.New("document: base version of the delta is not known")

// ErrChecksum means that the result of a delta differs from the sender's value.
var ErrChecksum = errors.New("document: checksum of the delta's result differs")

// minDeltaBytes is the value size below which no delta is computed.
const minDeltaBytes = 256

// Encode returns the wire format of a document: a delta against base if that is
// less than half as long as the value, otherwise the full value. A base with
// version zero means that there is no base.
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

// Decode returns the document of a message; known is the receiver's highest
// version of the same key. With an error, which is ErrMissingBase, ErrChecksum
// or ErrDelta, the receiver needs the full document.
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
