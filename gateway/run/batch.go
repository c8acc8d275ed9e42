package run

import "time"

const (
	// batchInterval is the minimum time between two sends of a batch. Recipients
	// are collected meanwhile.
	batchInterval = 150 * time.Millisecond
	// resendInterval is the minimum time between two sends to the same daemon.
	resendInterval = 1500 * time.Millisecond
)

// recipientBatch collects the daemons of a large fleet that lack the same data, so
// that it can be sent to all of them together along a forwarding tree.
type recipientBatch struct {
	pending  map[string]bool          // VMs that wait for the data.
	sentAt   map[string]time.Duration // Time of the last send to each VM.
	nextSend time.Duration            // Earliest time of the next send.
}

func newRecipientBatch() recipientBatch {
	return recipientBatch{pending: make(map[string]bool), sentAt: make(map[string]time.Duration)}
}

// clear removes all recipients and the times of earlier sends.
func (b *recipientBatch) clear() {
	clear(b.pending)
	clear(b.sentAt)
}

// add adds a recipient, unless the data was sent to it within resendInterval.
func (b *recipientBatch) add(vm string, now time.Duration) {
	if sentAt, sent := b.sentAt[vm]; !sent || now >= sentAt+resendInterval {
		b.pending[vm] = true
	}
}

// take returns and removes the recipients to send the data to now, or nil.
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
