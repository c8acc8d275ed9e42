// Package keys decides which backend server owns which keys of one service.
//
// Ownership is recorded in a Page, which the leading VM writes to the platform's
// store by compare-and-swap. Machine is a deterministic state machine: the Step
// methods feed it events, Tick advances its clock, and Ready returns the page
// to write and the calls to send. It does no I/O and reads no clock.
//
// Invariants:
//   - A range is granted only to the owner that a committed page names, and only
//     after every prior holder of its keys has lost them: it answered a release
//     and no unanswered grant to it can still take effect, or every grant that
//     it may have received has expired, or its process has ended.
//   - A change of a range's owner takes a fence (a fencing token) above all that
//     were taken before. The page that reserves a fence is written before the
//     first grant with it is sent.
//   - A server that lost keys by expiry alone may still accept an earlier leader's grant of
//     them. It gets no keys before it has answered a release with a higher fence, or has
//     ended.
//   - A fence is sent for a key on one connection only, and so to one life of a
//     server: after the end of the connection the owner gets a higher one.
//   - A new leader first gives every range a new fence, so that servers refuse
//     grants of earlier leaders. Grants of an earlier leader count until that
//     leader is known to have stopped; a page lists the predecessors that its
//     writer did not know to have stopped.
package keys
