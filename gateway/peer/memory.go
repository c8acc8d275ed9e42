package peer

import (
	"net/http"
	"time"

	"guavacrank.example/gateway/memory"
)

// messageWeight is the memory that a message takes, as a multiple of its length: its
// growing buffer and its decoded form.
const messageWeight = 4

// countedMessages counts the bytes of each message before it is read, and until its
// response was written.
type countedMessages struct {
	next    http.Handler
	account *memory.Account
}

// ServeHTTP implements http.Handler.
func (c countedMessages) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	holding := c.account.Hold(memory.PeerMessages)
	defer holding.Release()
	if err := holding.Reserve(messageBytes(r)); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	// Its sender doesn't wait longer. Without deadlines, which no server of ours lacks, a
	// message is not limited in time.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(spreadTimeout))
	c.next.ServeHTTP(w, r)
}

// messageBytes returns the memory that a message may take. Daemons declare the length and
// don't compress; any other message may be as large as the largest.
func messageBytes(r *http.Request) int64 {
	length := r.ContentLength
	if length < 0 || r.Header.Get("Content-Encoding") != "" {
		length = maxMessageBytes
	}
	return min(length, maxMessageBytes) * messageWeight
}
