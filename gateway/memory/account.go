// Package memory counts the bytes that a process holds for callers and backend servers
// and keeps them within its memory limit.
//
// Bytes are counted before memory is allocated for them. What finds no room fails alone:
// a request is refused, a response ends its attempt. docs/design/memory.md gives the
// reasons.
package memory

import (
	"fmt"
	"math"
	"sync"
)

// Kind is what bytes are held for.
type Kind uint8

// Kinds.
const (
	RequestBodies Kind = iota
	// Responses are complete or partial responses of backend servers with their headers.
	Responses
	// ResponseHeaders are headers of responses that are being read.
	ResponseHeaders
	// ReadAhead are requests that callers sent before earlier ones were answered.
	ReadAhead
	// PeerMessages are messages of other VMs.
	PeerMessages
	// StoreResponses are responses of the store.
	StoreResponses
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"request_bodies", "responses", "response_headers", "read_ahead", "peer_messages", "store_responses"}[k]
}

// internal reports whether bytes are the process's own and not for callers. What callers
// and servers take leaves their room alone.
func (k Kind) internal() bool { return k >= PeerMessages }

// shareDivisor limits the bytes of each kind to this part of the process's memory limit,
// beside the room of small holdings.
var shareDivisor = [kinds]int64{RequestBodies: 4, Responses: 4, ResponseHeaders: 16, ReadAhead: 16, PeerMessages: 16, StoreResponses: 16}

const (
	// totalNumerator and totalDivisor limit all kinds for callers together to 3/8 of the
	// process's memory limit, beside the room of small holdings. The rest is for connections,
	// state and uncollected garbage.
	totalNumerator, totalDivisor = 3, 8
	// longestResponseDivisor limits one response to 1/16 of the process's memory limit.
	longestResponseDivisor = 16
	// smallBytes is the size of the largest small holding.
	smallBytes = 16 << 10
	// smallRoomDivisor makes the room that only small holdings take, in each share and
	// in the total, 1/64 of the process's memory limit.
	smallRoomDivisor = 64
	// leastInternalShare is the least share of an internal kind. On every VM it fits the
	// largest message or response of 8 MB, which takes four times its length, and its
	// last chunk.
	leastInternalShare = 32<<20 + maxChunkBytes
)

// NoRoomError reports that the memory for a kind of bytes is used up.
type NoRoomError struct{ Kind Kind }

func (e NoRoomError) Error() string { return fmt.Sprintf("the memory for %v is used up", e.Kind) }

// Account counts the bytes of all holdings. It is safe for concurrent use. A nil Account
// sets no limit.
type Account struct {
	limit int64

	mu        sync.Mutex
	onRefused func(Kind)
	total     int64 // Without internal kinds.
	held      [kinds]int64
	peak      [kinds]int64
	refused   [kinds]int64
}

// NewAccount returns an account for a process with a memory limit in bytes.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// OnRefused sets a function that is called after each refusal.
func (a *Account) OnRefused(call func(Kind)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onRefused = call
}

// LongestResponse returns the size limit of one response.
func (a *Account) LongestResponse() int64 {
	if a == nil {
		return math.MaxInt64
	}
	return a.limit / longestResponseDivisor
}

// Hold returns an empty holding.
func (a *Account) Hold(kind Kind) *Holding { return &Holding{account: a, kind: kind} }

// share returns the limit of a kind, beside the room of small holdings.
func (a *Account) share(kind Kind) int64 {
	share := a.limit / shareDivisor[kind]
	if kind.internal() {
		return max(share, leastInternalShare)
	}
	return share
}

// reserve counts more bytes of a kind, if there is room. small says that the room of
// small holdings is available.
func (a *Account) reserve(kind Kind, bytes int64, small bool) bool {
	share, total := a.share(kind), a.limit/totalDivisor*totalNumerator
	if small {
		room := a.limit / smallRoomDivisor
		share, total = share+room, total+room
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held[kind]+bytes > share || !kind.internal() && a.total+bytes > total {
		a.refused[kind]++
		return false
	}
	a.add(kind, bytes)
	a.peak[kind] = max(a.peak[kind], a.held[kind])
	return true
}

// reportRefused calls the function for refusals, if one is set.
func (a *Account) reportRefused(kind Kind) {
	a.mu.Lock()
	call := a.onRefused
	a.mu.Unlock()
	if call != nil {
		call(kind)
	}
}

func (a *Account) release(kind Kind, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(kind, -bytes)
}

func (a *Account) add(kind Kind, bytes int64) {
	a.held[kind] += bytes
	if !kind.internal() {
		a.total += bytes
	}
}

// Usage is the use of one kind, in bytes and refusals.
type Usage struct {
	Held    int64 `json:"held"`
	Peak    int64 `json:"peak"`
	Limit   int64 `json:"limit"`
	Refused int64 `json:"refused"`
}

// Usage returns the use of each kind by its name.
func (a *Account) Usage() map[string]Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	usage := make(map[string]Usage, kinds)
	for kind := range kinds {
		usage[kind.String()] = Usage{a.held[kind], a.peak[kind], a.share(kind), a.refused[kind]}
	}
	return usage
}
