// Package serverlist keeps the list of backend servers with its latest changes, so that VMs
// can tell each other what has changed since a state of the store that both know, whichever
// of them read it. It is pure: no I/O, clock or goroutine.
//
// Invariants:
//
//   - The position of a List never decreases.
//   - Since(base) names every server whose row differs between the list at base and the
//     present one, or reports that it can't.
//   - Two lists with the same digest hold the same servers. Lists at one position may differ:
//     the store is read in several pages, and a reader keeps servers that may reappear. Changes
//     therefore carry the digest of the list that they lead to.
package serverlist
