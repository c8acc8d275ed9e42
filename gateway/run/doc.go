// Package run joins the gateway's subsystems into one process.
//
// One goroutine, the loop, owns what the process believes: the configuration,
// the backend servers, the owners of keys and, while it leads, the machines
// that decide on them. Other goroutines bring it typed inputs from the store,
// from peers and from calls to servers, and carry out its orders. Requests are
// served by goroutines of net/http that read the newest view and never wait for
// the loop.
//
// A starting daemon gets the configuration, the servers and the pages with the
// leader's answer, from a seed that has them, or from the store itself where
// reading it fills no link.
package run
