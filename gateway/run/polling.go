package run

import (
	"context"
	"math/rand/v2"
	"time"

	"guavacrank.example/kvstore"
)

const (
	// serverPollInterval is the minimum interval at which a daemon that gets no
	// server list from a leader reads the servers' records.
	serverPollInterval = 900 * time.Millisecond
	// leaderServerPollInterval is the longest interval at which the leader reads them.
	leaderServerPollInterval = 450 * time.Millisecond
	// configurationPollInterval is the minimum interval at which the leader reads
	// the configuration.
	configurationPollInterval = time.Second
	// maxConfigurationBytesPerSec limits the average rate of the leader's reads of
	// the configuration.
	maxConfigurationBytesPerSec = 64 << 10
	// maxFleetServerBytesPerSec limits the average rate at which all daemons together
	// read the servers' records while none of them gets a server list from a peer: they
	// share the link between regions with requests, reports and configurations.
	maxFleetServerBytesPerSec = 1 << 20
	// maxFleetReadTime limits the time in which all daemons read them once, whatever
	// their number and size are said to be.
	maxFleetReadTime = time.Hour
	// maxZoneServerBytesPerSec limits the rate of the one daemon of a zone that reads
	// them for the others.
	maxZoneServerBytesPerSec = 256 << 10
	// serverRecordBytes is the typical size of a server's record.
	serverRecordBytes = 200
)

// pollServers reads the servers' records periodically. The leader reads them for
// all daemons; the others do so only while they get no server list from a leader.
// The records are polled because a watch would return for every heartbeat of
// every server.
func (l *loop) pollServers(ctx context.Context) {
	l.waitForLeader(ctx)
	evacuations := evacuationReader{loop: l}
	for ctx.Err() == nil {
		if !l.mayReadServers() {
			sleep(ctx, minRetryDelay)
			continue
		}
		sleep(ctx, l.directReadDelay())
		if !l.mayReadServers() {
			continue
		}
		began := time.Now()
		read := l.readServers(ctx, &evacuations)
		read.duration = time.Since(began)
		l.deliver(read)
		sleep(ctx, max(l.serverPollDelay(read.entries, read.err)-time.Since(began), minRetryDelay))
	}
}

// readServers reads the servers' records and, after them, which zones are evacuated.
func (l *loop) readServers(ctx context.Context, evacuations *evacuationReader) serversRead {
	var read serversRead
	read.entries, read.position, read.err = l.store.List(ctx, l.records.ServersPrefix())
	if read.err == nil {
		read.evacuated, read.err = evacuations.zonesFor(ctx, read.position.Era)
	}
	return read
}

// serverPollDelay returns the time between two reads of the servers' records. In a
// large fleet, reads by daemons that get no server list from a leader must not
// saturate the link between regions.
func (l *loop) serverPollDelay(read []kvstore.Entry, err error) time.Duration {
	switch {
	case err != nil:
		return jitter(maxRetryDelay)
	case l.leadingNow.Load():
		return l.leaderReadInterval()
	}
	bytes := time.Duration(totalBytes(read))
	if reading := listReading(l.listReading.Load()); reading == readForZone || reading == readForZoneIfStale {
		return max(serverPollInterval, bytes*time.Second/maxZoneServerBytesPerSec)
	}
	return max(serverPollInterval, l.fleetReadTime(bytes))
}

// fleetReadTime returns how long all daemons together take to read the given number of
// bytes each.
func (l *loop) fleetReadTime(bytes time.Duration) time.Duration {
	seconds := float64(l.vms.Load()) * float64(bytes) / maxFleetServerBytesPerSec
	return time.Duration(min(seconds, maxFleetReadTime.Seconds()) * float64(time.Second))
}

// directReadDelay returns a random delay before a daemon that lost its peers reads the
// servers' records, because the others may have lost theirs too.
func (l *loop) directReadDelay() time.Duration {
	if l.leadingNow.Load() || listReading(l.listReading.Load()) != readIfStale {
		return 0
	}
	return rand.N(l.fleetReadTime(time.Duration(l.listSize.Load()*serverRecordBytes)) + 1)
}

// totalBytes returns the size of the entries' keys and values.
func totalBytes(entries []kvstore.Entry) int {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Key) + len(entry.Value)
	}
	return bytes
}

// pollConfiguration reads the configuration periodically on the leader, because a
// watch may miss a change. The other daemons compare their version with the
// leader's.
func (l *loop) pollConfiguration(ctx context.Context) {
	interval := configurationPollInterval
	for ctx.Err() == nil {
		sleep(ctx, interval)
		if !l.leadingNow.Load() {
			continue
		}
		began := l.clock()
		entry, err := l.store.Get(ctx, l.records.ConfigurationKey())
		interval = max(configurationPollInterval, time.Duration(len(entry.Value))*time.Second/maxConfigurationBytesPerSec)
		if kvstore.IsKind(err, kvstore.KindNotFound) {
			continue
		}
		l.deliver(watchResult{
			prefix: l.records.ConfigurationKey(), era: max(entry.Era, kvstore.EraOf(err)),
			entries: []kvstore.Entry{entry}, err: err, asOf: began,
		})
	}
}

// readPages reads the ownership pages once, unless a leader responds first. Later
// versions come from the leader.
func (l *loop) readPages(ctx context.Context) {
	l.waitForLeader(ctx)
	for ctx.Err() == nil && !l.leaderResponded.Load() {
		entries, position, err := l.store.List(ctx, pagePrefix)
		l.deliver(watchResult{prefix: pagePrefix, full: true, era: resultEra(position, err), entries: entries, err: err})
		if err == nil {
			return
		}
		sleep(ctx, jitter(maxRetryDelay))
	}
}
