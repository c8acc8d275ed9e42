// Package balance chooses a backend server among those of a service by what
// this VM sees itself: requests under way, time to an answer, refusals and
// failures, and how far away the server stands.
//
// Time is a reading of a clock that the caller passes.
package balance
