package serverlist

import (
	"crypto/sha256"
	"encoding/binary"

	"guavacrank.example/gateway/model"
)

// digestOf returns the digest of one server. That of a list is the sum over its servers, so
// it needs a hash whose values for similar servers don't cancel each other out.
func digestOf(server model.Server) uint64 {
	var text []byte
	for _, field := range []string{server.ID, server.Service, server.Address, server.Zone} {
		text = append(text, field...)
		text = append(text, 0)
	}
	text = binary.LittleEndian.AppendUint64(text, uint64(server.Slots))
	text = binary.LittleEndian.AppendUint64(text, uint64(server.Born))
	if server.WarmUp > 0 {
		text = binary.LittleEndian.AppendUint64(text, uint64(server.WarmUp))
	}
	if server.Draining {
		text = append(text, 1)
	}
	if server.Evacuated {
		text = append(text, 2)
	}
	hash := sha256.Sum256(text)
	return binary.LittleEndian.Uint64(hash[:])
}
