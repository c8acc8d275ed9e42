// Package control decides who owns what. It is a pure state machine: no I/O,
// no clock, no goroutine, no global random source, no dependence on map order.
// The same inputs give the same outputs.
//
// The caller feeds inputs with Step, lets time pass with Tick, and carries out
// what Ready returns. Time is elapsed time of this VM including suspend; no
// rule compares the clocks of two machines.
//
// docs/design/ownership.md gives the rules and why they are safe.
package control
