package run

import (
	"time"

	"guavacrank.example/gateway/peer"
)

// A daemon's configuration is confirmed when a read of the store, or the response of a
// daemon whose own configuration is confirmed, shows that there was no newer one.

// neverConfirmed stands for the age of a confirmation if there was none.
const neverConfirmed int64 = -1

// confirmedAgeMS returns the time in milliseconds since the configuration in force was
// last confirmed, or neverConfirmed.
func (l *loop) confirmedAgeMS() int64 {
	if l.confirmedAt <= 0 {
		return neverConfirmed
	}
	return (l.clock() - l.confirmedAt).Milliseconds()
}

// confirmByPeer processes the confirmation in a response to a message that was sent at
// the given time.
func (l *loop) confirmByPeer(response *peer.ReportResponse, sentAt time.Duration) {
	if l.configuration == nil || response.ConfirmedAgeMS == neverConfirmed || response.ConfigurationVersion > l.configuration.Version {
		return
	}
	l.confirmedAt = max(l.confirmedAt, sentAt-time.Duration(response.ConfirmedAgeMS)*time.Millisecond)
}

// hearOfVersion makes the leader read the configuration if another daemon has a newer
// version: its own watch may have fallen silent.
func (l *loop) hearOfVersion(version uint64) {
	now := l.clock()
	if l.configuration == nil || version <= l.configuration.Version || now < l.relay.configurationRelistedAt+relistInterval {
		return
	}
	l.relay.configurationRelistedAt = now
	l.configurationWatcher.relist()
}

// confirmByStore processes a successful read of the configuration that began the given
// time ago.
func (l *loop) confirmByStore(took time.Duration) {
	if l.configuration != nil {
		l.confirmedAt = max(l.confirmedAt, l.clock()-took)
	}
}
