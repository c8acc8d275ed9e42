// Package capacity learns how many requests each backend server takes well.
//
// The servers of one service differ in speed, some slow down long before all their slots
// are in use, and any may turn slow for a while. A VM sends so few requests to each server
// that it can't tell. Every VM therefore reports what it saw (Sample), the leader pools the
// samples (Estimator) and every VM chooses servers by the pooled estimates (Estimate).
//
// The package answers the load of an uneven service: it keeps no state but its own, reads no
// clock and does no I/O. Times are readings of a monotonic clock that its callers pass.
package capacity
