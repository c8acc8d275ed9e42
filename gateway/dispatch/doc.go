// Package dispatch sends one request to a backend server and reports to the
// caller whether the request ran.
//
// A request ends as answered, not run or possibly run (package verdict). It is
// retried only if the previous attempt is proved not to have run, or if the
// route is idempotent. Retries are bounded by the route and by the retry budget
// that all VMs share. A request to a partitioned service is sent only to the
// server that owns the request's key; while no server owns it, the request waits
// for a short time.
package dispatch
