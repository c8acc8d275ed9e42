package run

import (
	"time"

	"guavacrank.example/event"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
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

// confirmedAgeFor returns confirmedAgeMS for the response to a report, or neverConfirmed if
// the sender has a newer version: what this daemon knows of the store may come from an
// earlier copy.
func (l *loop) confirmedAgeFor(report *peer.Report) int64 {
	if l.configuration != nil && report.ConfigurationVersion > l.configuration.Version {
		return neverConfirmed
	}
	return l.confirmedAgeMS()
}

// confirmByPeer processes the confirmation in a response to a message that was sent at
// the given time.
func (l *loop) confirmByPeer(response *peer.ReportResponse, sentAt time.Duration) {
	if l.configuration == nil || response.ConfirmedAgeMS == neverConfirmed || response.ConfigurationVersion > l.configuration.Version {
		return
	}
	l.confirmedAt = max(l.confirmedAt, sentAt-time.Duration(response.ConfirmedAgeMS)*time.Millisecond)
}

// learnNewerVersion makes the leader read the configuration if the sender of a report has
// a newer version: its own watch may have fallen silent. It asks the sender too, since a
// store that was restored may have an older one.
func (l *loop) learnNewerVersion(report *peer.Report) {
	if l.configuration == nil || report.ConfigurationVersion <= l.configuration.Version {
		return
	}
	l.askForConfiguration(report.Address)
	now := l.clock()
	if now >= l.reporting.configurationRelistedAt+relistInterval {
		l.reporting.configurationRelistedAt = now
		l.configurationWatcher.relist()
	}
}

// askForConfiguration asks a daemon for its configuration, unless such a call is pending.
func (l *loop) askForConfiguration(address string) {
	if l.newerPending {
		return
	}
	l.newerPending = true
	query := l.newFollowerQuery()
	go func() {
		response, err := l.peers.Report(l.ctx, address, query)
		l.deliver(newerConfigurationDone{response, err})
	}()
}

func (n newerConfigurationDone) apply(l *loop) {
	l.newerPending = false
	if n.err != nil {
		l.log.Event(event.PeerUnreachable, n.err.Error())
		return
	}
	if n.response.Record != nil {
		l.applyRecord(n.response.Record)
	}
}

// storedConfiguration is what the newest known record of the configuration in the store
// holds. It was read here, or by the peer that sent it.
type storedConfiguration struct {
	position kvstore.Position
	readable bool
	version  uint64 // Of the configuration, if it is readable.
}

// noteStored records what a record in the store holds: the given configuration, or nil if
// it can't be read.
func (l *loop) noteStored(entry kvstore.Entry, configuration *model.Configuration) {
	position := kvstore.Position{Era: entry.Era, Version: entry.Version}
	if position.Before(l.stored.position) {
		return
	}
	l.stored = storedConfiguration{position: position}
	if configuration != nil {
		l.stored.readable, l.stored.version = true, configuration.Version
	}
}

// storeConfirms says whether a read of the store confirms the configuration in force,
// also one that shows no change. It doesn't after a record that can't be read, which may
// hold a newer one, nor while the store holds an older version than that in force or none
// in its present era: it was restored from an earlier copy and may have lost a newer one
// too. The operators write again what it has lost.
func (l *loop) storeConfirms() bool {
	return l.configuration != nil && l.stored.readable && l.stored.position.Era == l.era && l.stored.version == l.configuration.Version
}

// confirmByStore processes a successful read of the configuration that shows the store's
// state at or after the given time.
func (l *loop) confirmByStore(asOf time.Duration) {
	if l.configuration != nil {
		l.confirmedAt = max(l.confirmedAt, asOf)
	}
}
