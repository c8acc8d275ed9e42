// Package keys decides which backend server owns which keys of one service.
//
// Ownership stands in a Page in the platform's store, written by
// compare-and-swap by the VM that leads. Machine is pure: Step methods take
// what happened, Tick runs the systems over the tables, and Ready returns the
// page to write and the calls to make. It does no I/O and reads no clock.
//
// Invariants:
//   - A range is granted only to the owner that a confirmed page names, and
//     only when every earlier holder of its keys has ended: it answered a
//     release and no unanswered grant to it can still be applied, or the
//     longest time that any grant to it may hold has passed, or its process is
//     over.
//   - A change of a range's owner has a fence above every fence of the page.
//     The page is written before the first grant with that fence is sent.
//   - A leader that takes over gives every range a new fence first, so that
//     servers refuse the grants of an earlier leader. Grants of earlier leaders
//     count until each of them is known to have stopped; pages name those of
//     whose end their writer does not know.
package keys
