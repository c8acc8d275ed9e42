// Package controltest runs several control.Machines on a virtual clock against
// small fakes: a store with compare-and-swap, backend servers, and a network
// that delays, drops and repeats. Model checks and benchmarks share it.
//
// Everything happens in the order of one event queue, so that a run with the
// same seed and faults is the same each time.
package controltest
