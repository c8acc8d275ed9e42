// Package controltest simulates several control.Machines on a virtual clock,
// with a fake compare-and-swap store, fake backend servers and a network that
// delays, drops and duplicates messages. Model checks and benchmarks use it.
//
// All events run in the order of a single queue, so that a run is reproducible
// from its seed and faults.
package controltest
