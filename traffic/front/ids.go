package front

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// ids makes identifiers that are unique over all VMs and starts: a random
// prefix for each start, and a count.
type ids struct {
	prefix string
	count  atomic.Uint64
}

func newIDs() *ids {
	var random [8]byte
	rand.Read(random[:]) // Never fails; see crypto/rand.
	return &ids{prefix: hex.EncodeToString(random[:]) + "-"}
}

func (i *ids) next() string {
	text := make([]byte, 0, 40)
	text = append(text, i.prefix...)
	return string(strconv.AppendUint(text, i.count.Add(1), 16))
}
