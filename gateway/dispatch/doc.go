// Package dispatch brings one request to a backend server and decides what its
// end means for the caller.
//
// A request ends answered, not run or possibly run (package verdict). It is
// sent once more only if the earlier send is proved not to have run, or if the
// route allows repeats; repeats are bounded by the route and by the budget that
// all VMs share. A request of a service that is divided by key goes to the one
// server that owns the key, and waits a moment while nobody does.
package dispatch
