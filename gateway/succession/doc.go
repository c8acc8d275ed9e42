// Package succession decides which leader may still act: whether a leader that the store
// does not answer has a majority, when earlier leaders have stopped, and whether the newest
// pages of the time before a restoration of the store are known. It is pure: no I/O, clock or
// goroutine.
package succession
