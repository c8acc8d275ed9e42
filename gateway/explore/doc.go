// Package explore searches the orders of events of a small fleet for one in which the rules
// on the ownership of keys are broken.
//
// The decisions are those of the product: keys.Machine. Around it a world of a few parts,
// without goroutines and sockets, holds calls in flight as data: the VMs that lead, the
// servers and their later lives, and a store with one page. A scheduler lists the events
// that are possible in a state. One of them is the usual one (a call is answered at once,
// or time passes); the others are faults, of which a schedule has a bounded number, and
// what follows from earlier faults. States that differ only by a shift of time or a renaming
// are visited once.
//
// A schedule lists the events that are not the usual ones. It can be written as text and
// played again.
package explore
