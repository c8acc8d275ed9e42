// Package run assembles the gateway's subsystems into one process.
//
// A single goroutine, the control loop, owns the state of the process: the
// configuration, the backend servers, the ownership pages and, on the leader, the
// state machines that assign keys to servers. Other goroutines deliver typed
// inputs to it, from the store, from peers and from calls to backend servers, and
// perform the calls that it starts. Requests are served by goroutines of net/http
// that read the current view and never wait for the loop.
//
// A starting daemon gets the configuration, the server list and the ownership
// pages from the leader's response to its report, or from a seed peer that has
// them. It reads the store itself if that would not saturate a network link, or
// after waiting for a leader.
//
// A leader of a large fleet sends updates along a tree of daemons. For the time without
// a leader it assigns each daemon to the store followers of its zone: they offer it new
// configurations, and it asks them for what it lacks.
package run
