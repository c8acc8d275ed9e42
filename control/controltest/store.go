package controltest

import (
	"time"

	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
)

// Store is a fake of the platform's store that holds one page for each service.
type Store struct {
	fleet   *Fleet
	version uint64
	pages   map[string]storedPage
	// Down leaves every call without a reply and without effect.
	Down bool
	// ReplyDelay is added to the network delay of each reply.
	ReplyDelay time.Duration
	// LostReplyPercent is the percentage of writes whose reply is lost after the
	// store has processed them.
	LostReplyPercent int
	// LateWritePercent is the percentage of writes that reach the store only after
	// their caller was told that the outcome is unknown.
	LateWritePercent int
}

type storedPage struct {
	version uint64
	page    ownership.Page
}

// lateWriteDelay is the delay of a late write. It is longer than the call
// timeout.
const lateWriteDelay = 700 * time.Millisecond

// Page returns the stored page of a service.
func (s *Store) Page(service string) (ownership.Page, uint64) {
	stored := s.pages[service]
	return stored.page, stored.version
}

func (s *Store) read(vm *VM, request control.PageReadRequest) {
	f := s.fleet
	f.deliver(vm.Name, StoreName, func() {
		if s.Down {
			return
		}
		stored := s.pages[request.Service]
		s.reply(vm, func() {
			vm.step(control.PageRead{
				Service: request.Service, Request: request.Request,
				Version: stored.version, Page: stored.page.Clone(),
			})
		})
	})
}

func (s *Store) write(vm *VM, write control.PageWrite) {
	f := s.fleet
	report := func(outcome control.WriteOutcome, version uint64) {
		vm.step(control.PageWritten{
			Service: write.Service, ChangeID: write.Page.ChangeID, Outcome: outcome, Version: version,
		})
	}
	if f.chance(s.LateWritePercent) {
		f.clock.After(f.callTimeout, func() { report(control.WriteUnknown, 0) })
		f.clock.After(lateWriteDelay, func() {
			if !s.Down {
				s.apply(write)
			}
		})
		return
	}
	replied := false
	f.clock.After(f.callTimeout, func() {
		if !replied {
			report(control.WriteUnknown, 0)
		}
	})
	f.deliver(vm.Name, StoreName, func() {
		if s.Down {
			return
		}
		applied, version := s.apply(write)
		if f.chance(s.LostReplyPercent) {
			return
		}
		s.reply(vm, func() {
			if replied {
				return
			}
			replied = true
			if applied {
				report(control.WriteApplied, version)
				return
			}
			report(control.WriteConflict, 0)
		})
	})
}

// reply delivers a reply to a VM, delayed by ReplyDelay.
func (s *Store) reply(vm *VM, arrive func()) {
	if s.ReplyDelay == 0 {
		s.fleet.deliver(StoreName, vm.Name, arrive)
		return
	}
	s.fleet.clock.After(s.ReplyDelay, func() { s.fleet.deliver(StoreName, vm.Name, arrive) })
}

func (s *Store) apply(write control.PageWrite) (bool, uint64) {
	stored := s.pages[write.Service]
	if stored.version != write.Expected {
		return false, 0
	}
	s.version++
	s.fleet.checker.pageWritten(&stored.page, stored.version, &write.Page)
	s.pages[write.Service] = storedPage{version: s.version, page: write.Page.Clone()}
	s.fleet.propagatePage(write.Service)
	return true, s.version
}
