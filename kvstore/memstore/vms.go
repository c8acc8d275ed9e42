package memstore

import (
	"context"
	"slices"
	"strings"
	"time"

	"guavacrank.example/kvstore"
)

// vmList is the list of VMs as it was from a time on.
type vmList struct {
	since time.Duration
	vms   []kvstore.VM
}

// SetVMs replaces the list of VMs. VMs shows it once it is as old as
// Faults.VMListLag.
func (s *Store) SetVMs(vms []kvstore.VM) {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b kvstore.VM) int { return strings.Compare(a.Name, b.Name) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmList{since: s.clock.Now(), vms: sorted})
}

// VMs implements kvstore.Store.
func (s *Store) VMs(ctx context.Context) ([]kvstore.VM, error) {
	var found []kvstore.VM
	err := s.read(ctx, "list VMs", "", &s.counts.VMLists, func() error {
		found = slices.Clone(s.laggingVMs())
		return nil
	})
	return found, err
}

// laggingVMs returns the newest list that is old enough to be shown,
// otherwise the first one.
func (s *Store) laggingVMs() []kvstore.VM {
	shown := s.clock.Now() - s.faults.VMListLag
	for i := len(s.vms) - 1; i >= 0; i-- {
		if s.vms[i].since <= shown {
			return s.vms[i].vms
		}
	}
	if len(s.vms) > 0 {
		return s.vms[0].vms
	}
	return nil
}
