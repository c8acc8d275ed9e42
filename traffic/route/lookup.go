package route

import "github.com/cespare/xxhash/v2"

// Shard returns the shard of a key among count shards. Every VM and the
// control plane use the same function.
func Shard(key string, count uint32) uint32 {
	if count == 0 {
		return 0
	}
	return uint32(xxhash.Sum64String(key) % uint64(count))
}

// Lookup returns the unit of a key in a service divided by key: its override,
// or its shard. It returns false while the service's page is not known.
func (s *Service) Lookup(key string) (Unit, bool) {
	if unit, ok := s.Overrides[key]; ok {
		return unit, true
	}
	if s.Shards == 0 {
		return Unit{}, false
	}
	shard := Shard(key, s.Shards)
	if int(shard) >= len(s.Units) {
		return Unit{}, false
	}
	return s.Units[shard], true
}

// Server returns the server of a name, or nil. Servers are sorted by name.
func (s *Service) Server(name string) *Server {
	low, high := 0, len(s.Servers)
	for low < high {
		middle := (low + high) / 2
		if s.Servers[middle].Name < name {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(s.Servers) && s.Servers[low].Name == name {
		return s.Servers[low]
	}
	return nil
}
