package run

import "time"

const (
	// batchInterval is how long daemons that lack the same thing are gathered,
	// resendInterval the least time between two sends of it to one daemon.
	batchInterval  = 150 * time.Millisecond
	resendInterval = 1500 * time.Millisecond
)

// gathering holds the daemons of a large fleet that lack something, which is sent
// to them together by the tree.
type recipientBatch struct {
	pending  map[string]bool
	sentAt   map[string]time.Duration // When it was sent to each daemon last.
	nextSend time.Duration            // It is not sent before.
}

func newRecipientBatch() recipientBatch {
	return recipientBatch{pending: make(map[string]bool), sentAt: make(map[string]time.Duration)}
}

// clear forgets everything.
func (b *recipientBatch) clear() {
	clear(b.pending)
	clear(b.sentAt)
}

// add notes a daemon that lacks it, unless it is under way.
func (b *recipientBatch) add(vm string, now time.Duration) {
	if sent, before := b.sentAt[vm]; !before || now >= sent+resendInterval {
		b.pending[vm] = true
	}
}

// take returns the daemons to send it to now, or nil.
func (b *recipientBatch) take(now time.Duration) map[string]bool {
	if len(b.pending) == 0 || now < b.nextSend {
		return nil
	}
	b.nextSend = now + batchInterval
	for vm := range b.pending {
		b.sentAt[vm] = now
	}
	taken := b.pending
	b.pending = make(map[string]bool)
	return taken
}
