// Package balance chooses a backend server among those of a service. It uses
// only what this VM observes: requests in flight, latency, refusals, failures
// and the network distance to the server.
//
// Times are readings of a monotonic clock that the caller of the package passes.
package balance
