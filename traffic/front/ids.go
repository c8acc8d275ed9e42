package front

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// ids generates identifiers that are unique across all VMs and restarts: a
// random prefix for each process and a counter.
type ids struct {
	prefix string
	count  atomic.Uint64
}

func newIDs() *ids {
	var random [8]byte
	rand.Read(random[:]) // crypto/rand.Read never returns an error.
	return &ids{prefix: hex.EncodeToString(random[:]) + "-"}
}

func (i *ids) next() string {
	text := make([]byte, 0, 40)
	text = append(text, i.prefix...)
	return string(strconv.AppendUint(text, i.count.Add(1), 16))
}
