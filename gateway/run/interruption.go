package run

import (
	"time"

	"guavacrank.example/gateway/peer"
)

// A VM that has not read the server list for a while can't tell an outage of the store, after
// which absent servers may reappear, from a time in which it alone was cut off. A VM that has
// had lists all the time can.

const (
	// holdTime is how long a read after an interruption waits for the lists of others.
	holdTime = 250 * time.Millisecond
	// witnessesAsked is the number of others that are asked meanwhile.
	witnessesAsked = 4
)

// witnessResponded is the answer of a VM that was asked what has changed during an
// interruption.
type witnessResponded struct{ response *peer.ReportResponse }

func (r witnessResponded) apply(l *loop) { l.applyListNews(r.response) }

// hold applies a read holdTime later and asks others for their lists meanwhile.
func (l *loop) hold(s serversRead) {
	l.askWitnesses()
	s.heldFor = holdTime
	go func() {
		sleep(l.ctx, holdTime)
		l.deliver(s)
	}()
}

// askWitnesses asks some other VMs what has changed since this VM's list. Earlier questions to
// others may still wait for VMs that were cut off with this one.
func (l *loop) askWitnesses() {
	query := l.newFollowerQuery()
	query.OnlyConfiguration, query.OnlyVersion = true, true
	for _, address := range l.chooseOthers(witnessesAsked) {
		go func() {
			response, err := l.peers.Report(l.ctx, address, query)
			if err == nil {
				l.deliver(witnessResponded{response})
			}
		}()
	}
}
