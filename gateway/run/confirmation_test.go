package run

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

func TestADaemonIsConfirmedNoLaterThanItsSource(t *testing.T) {
	g := NewWithT(t)
	source, daemon := newTestLoop(t, 0), newTestLoop(t, 0)
	source.configuration, daemon.configuration = &model.Configuration{Version: 3}, &model.Configuration{Version: 3}
	now := source.clock()
	g.Expect(source.confirmedAgeMS()).To(Equal(neverConfirmed))
	source.confirmByStore(now - 400*time.Millisecond)
	g.Expect(source.confirmedAgeMS()).To(BeEquivalentTo(400))

	daemon.confirmByPeer(&peer.ReportResponse{ConfirmedAgeMS: neverConfirmed}, now)
	g.Expect(daemon.confirmedAgeMS()).To(Equal(neverConfirmed), "the source knows nothing")
	daemon.confirmByPeer(&peer.ReportResponse{ConfirmedAgeMS: 400, ConfigurationVersion: 4}, now)
	g.Expect(daemon.confirmedAgeMS()).To(Equal(neverConfirmed), "the source has a newer version")
	daemon.confirmByPeer(&peer.ReportResponse{ConfirmedAgeMS: 400, ConfigurationVersion: 3}, now-100*time.Millisecond)
	g.Expect(daemon.confirmedAgeMS()).To(BeEquivalentTo(500))
	daemon.confirmByPeer(&peer.ReportResponse{ConfirmedAgeMS: 900, ConfigurationVersion: 3}, now)
	g.Expect(daemon.confirmedAgeMS()).To(BeEquivalentTo(500), "an earlier confirmation takes nothing back")
}

func TestTimeInTheQueueMakesNoConfirmationYounger(t *testing.T) {
	g := NewWithT(t)
	l := newServingLoop(t, false)
	now := 20 * time.Second
	l.clock = func() time.Duration { return now }
	read := watchResult{prefix: "configuration", full: true, asOf: now, entries: []kvstore.Entry{{Key: "configuration", Value: []byte(`{"Version":1}`), Version: 1}}}
	now += 3 * time.Second // In the queue, or frozen.
	read.apply(l)
	g.Expect(l.confirmedAt).To(Equal(20 * time.Second))
}

// lateStore answers each watch with the given entries, which arrive the given time after
// the start of the watch.
type lateStore struct {
	port.Store
	now     *atomic.Int64
	entries []kvstore.Entry
	late    time.Duration
}

func (s lateStore) List(context.Context, string) ([]kvstore.Entry, kvstore.Position, error) {
	return nil, kvstore.Position{Era: 1, Version: 40}, nil
}

func (s lateStore) Changes(context.Context, string, kvstore.Version, time.Duration) ([]kvstore.Entry, kvstore.Position, error) {
	s.now.Add(int64(s.late))
	return s.entries, kvstore.Position{Era: 1, Version: 41}, nil
}

// watchedAsOf returns how long after the start of a watch the store responded at the
// earliest, according to the watch's result.
func watchedAsOf(t *testing.T, late time.Duration, entries ...kvstore.Entry) time.Duration {
	var now atomic.Int64
	now.Store(int64(time.Minute))
	results := make(chan input)
	store := lateStore{now: &now, entries: entries, late: late}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	deliver := func(in input) {
		select {
		case results <- in:
		case <-ctx.Done():
		}
	}
	w := newStoreWatcher(store, "k", deliver, func() time.Duration { return time.Duration(now.Load()) })
	w.frequent.Store(true)
	w.setActive(true)
	go w.run(ctx)
	<-results // The list.
	return (<-results).(watchResult).asOf - time.Minute
}

func TestALateResponseToAWatchDoesNotConfirmTheTimeOfItsArrival(t *testing.T) {
	g := NewWithT(t)
	changed := kvstore.Entry{Key: "k", Version: 41, Era: 1}
	g.Expect(watchedAsOf(t, 300*time.Millisecond, changed)).To(BeZero(), "the store responds to a change at once")
	g.Expect(watchedAsOf(t, 3*time.Second, changed)).To(BeZero(), "the same, and the watch's time has passed")
	g.Expect(watchedAsOf(t, 300*time.Millisecond)).To(BeZero(), "the watch ended early")
	g.Expect(watchedAsOf(t, 3*time.Second)).To(Equal(frequentWatchTimeout), "the store waited for so long")
}

func TestARecordThatCannotBeReadConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	l := newServingLoop(t, false)
	read := func(asOf time.Duration, entries ...kvstore.Entry) time.Duration {
		watchResult{prefix: "configuration", asOf: asOf, entries: entries}.apply(l)
		return l.confirmedAt
	}
	g.Expect(read(20*time.Second, kvstore.Entry{Key: "configuration", Value: []byte("{"), Version: 2})).To(BeZero())
	g.Expect(read(21*time.Second)).To(BeZero(), "the record has not changed")
	g.Expect(read(22*time.Second, kvstore.Entry{Key: "configuration", Value: []byte(`{"Version":1}`), Version: 1})).To(BeZero(), "it was read before that record")
	g.Expect(read(23*time.Second, kvstore.Entry{Key: "configuration", Value: []byte(`{"Version":2}`), Version: 3})).To(Equal(23 * time.Second))
}

func TestAStoreThatLostTheVersionInForceDoesNotConfirmIt(t *testing.T) {
	g := NewWithT(t)
	l := newServingLoop(t, false)
	read := func(asOf time.Duration, era kvstore.Era, entries ...kvstore.Entry) time.Duration {
		watchResult{prefix: "configuration", era: era, asOf: asOf, entries: entries}.apply(l)
		return l.confirmedAt
	}
	record := func(era kvstore.Era, value string, version kvstore.Version) kvstore.Entry {
		return kvstore.Entry{Key: "configuration", Value: []byte(value), Version: version, Era: era}
	}
	g.Expect(read(20*time.Second, 1, record(1, `{"Version":5}`, 50))).To(Equal(20 * time.Second))
	g.Expect(read(21*time.Second, 2)).To(Equal(20*time.Second), "the store was restored, perhaps without a configuration")
	g.Expect(read(22*time.Second, 2, record(2, `{"Version":3}`, 30))).To(Equal(20*time.Second), "version 6 may be lost too")
	g.Expect(read(23*time.Second, 2)).To(Equal(20*time.Second), "nothing has been written again")
	g.Expect(read(24*time.Second, 2, record(2, `{"Version":5}`, 31))).To(Equal(24 * time.Second))
}

func TestADaemonThatDoesNotLeadDoesNotConfirmAnOlderVersion(t *testing.T) {
	g := NewWithT(t)
	other, daemon := newTestLoop(t, 3), newTestLoop(t, 3)
	other.configuration, other.confirmedAt = &model.Configuration{Version: 4}, other.clock()
	daemon.configuration = &model.Configuration{Version: 3}
	response := other.startupResponse(&peer.Report{ConfigurationVersion: 3, ListBase: kvstore.Position{Version: 9}})
	daemon.confirmByPeer(&response, daemon.clock())
	g.Expect(daemon.confirmedAgeMS()).To(Equal(neverConfirmed))
}

func TestAPeerWithAnOlderVersionDoesNotConfirmALaterOne(t *testing.T) {
	g := NewWithT(t)
	other, daemon := newTestLoop(t, 3), newTestLoop(t, 3)
	other.configuration, other.confirmedAt = &model.Configuration{Version: 3}, other.clock() // It read a restored store.
	report := &peer.Report{ConfigurationVersion: 5, ListBase: kvstore.Position{Version: 9}}
	for _, response := range []peer.ReportResponse{other.startupResponse(report), other.followerResponse(report), other.leaderResponse(report)} {
		daemon.configuration = &model.Configuration{Version: 5}
		daemon.confirmByPeer(&response, daemon.clock())
		g.Expect(daemon.confirmedAgeMS()).To(Equal(neverConfirmed), "version 6 may be lost too")
	}
}
