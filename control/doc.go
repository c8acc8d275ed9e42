// Package control decides which backend server owns which keys. It is a
// deterministic state machine: it does no I/O, reads no clock, starts no
// goroutine, uses no global random source and does not depend on map iteration
// order. The same inputs always give the same outputs.
//
// The program that embeds it feeds inputs with Step, advances time with Tick
// and carries out what Ready returns. Time is the elapsed time of this VM,
// including suspend; no rule compares the clocks of two machines.
//
// docs/design/ownership.md describes the rules and why they are safe.
package control
