package memstore

import (
	"context"
	"slices"
	"strings"
	"time"

	"guavacrank.example/kvstore"
)

// vmList is a VM list and the time at which it was set.
type vmList struct {
	since time.Duration
	vms   []kvstore.VM
}

// SetVMs replaces the VM list. VMs returns the new list once Faults.VMListLag
// has passed.
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

// laggingVMs returns the latest list that is at least Faults.VMListLag old, or
// the first list if there is none.
func (s *Store) laggingVMs() []kvstore.VM {
	cutoff := s.clock.Now() - s.faults.VMListLag
	for i := len(s.vms) - 1; i >= 0; i-- {
		if s.vms[i].since <= cutoff {
			return s.vms[i].vms
		}
	}
	if len(s.vms) > 0 {
		return s.vms[0].vms
	}
	return nil
}
