package backend

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// unitGrantBytes is the size of one encoded UnitGrant.
const unitGrantBytes = 4 + 8

// Digest returns the digest of a set of units: FNV-1a (64 bit) over the
// units, sorted by identifier, each as a big-endian unit and epoch. The
// grantor and the server compute the same value for the same set in any order.
func Digest(units []UnitGrant) uint64 {
	sorted := slices.Clone(units)
	slices.SortFunc(sorted, compareUnitGrants)
	hash := fnv.New64a()
	var buf [unitGrantBytes]byte
	for _, unit := range sorted {
		binary.BigEndian.PutUint32(buf[:4], unit.Unit)
		binary.BigEndian.PutUint64(buf[4:], unit.Epoch)
		hash.Write(buf[:])
	}
	return hash.Sum64()
}

func compareUnitGrants(a, b UnitGrant) int {
	if order := cmp.Compare(a.Unit, b.Unit); order != 0 {
		return order
	}
	return cmp.Compare(a.Epoch, b.Epoch)
}
