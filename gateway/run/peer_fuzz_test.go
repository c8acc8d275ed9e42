package run

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/view"
	"guavacrank.example/kvstore"
)

// jsonRecords decode a configuration that is encoded as the model's type.
type jsonRecords struct{ port.Records }

func (jsonRecords) ConfigurationKey() string { return "configuration" }
func (jsonRecords) ServersPrefix() string    { return "backends/" }

func (jsonRecords) Configuration(value []byte) (*model.Configuration, error) {
	var c model.Configuration
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

func (jsonRecords) Server(kvstore.Entry) (model.Server, error) {
	return model.Server{}, errors.New("not used")
}

// noStore fails all calls.
type noStore struct{ port.Store }

func (noStore) Get(context.Context, string) (kvstore.Entry, error) {
	return kvstore.Entry{}, &kvstore.Error{Kind: kvstore.KindUnavailable}
}

func (noStore) CompareAndSwap(context.Context, string, kvstore.Version, []byte, kvstore.LeaseID) (kvstore.Position, error) {
	return kvstore.Position{}, &kvstore.Error{Kind: kvstore.KindUnavailable}
}

func (noStore) KeepAlive(context.Context, kvstore.LeaseID) (kvstore.Era, error) {
	return 0, &kvstore.Error{Kind: kvstore.KindUnavailable}
}

func (noStore) Revoke(context.Context, kvstore.LeaseID) error { return nil }

// noGrantor fails all calls.
type noGrantor struct{}

func (noGrantor) Grant(context.Context, string, port.Grant) (port.Connection, error) {
	return 0, errors.New("no server")
}
func (noGrantor) Release(context.Context, string, port.Release) (string, error) {
	return "", errors.New("no server")
}
func (noGrantor) Identify(context.Context, string, string) (string, error) {
	return "", errors.New("no server")
}

// newServingLoop returns a loop with a configuration and servers, whose calls all fail.
func newServingLoop(t testing.TB, leading bool) *loop {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	log := logbook.New(io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	var now atomic.Int64
	now.Store(int64(10 * time.Second))
	settings := &model.Settings{VM: "self", Zone: "a", MaxDescriptors: 800, Bounds: model.Bounds{RetryWindow: time.Second, MaxGrantTTL: 10 * time.Second}}
	settings.Listen.Peers = "127.0.0.1:1"
	l := newLoop(ctx, Options{Settings: settings, Store: noStore{}, Records: jsonRecords{}, Grantor: noGrantor{}}, sharedState{
		log: log, budget: budget.New(budget.Options{Window: time.Second, Ratio: 0.2, Slack: 10}), views: view.NewPublisher(),
		requestedKeys: newRequestedKeys(), clock: func() time.Duration { return time.Duration(now.Add(int64(time.Millisecond))) },
	})
	record, err := json.Marshal(model.Configuration{Version: 1, Services: map[string]model.Service{"s": {Name: "s", Partitioned: true}}})
	if err != nil {
		t.Fatal(err)
	}
	l.applyConfiguration(kvstore.Entry{Value: record, Version: 1}, sourceStore)
	l.read(model.Server{ID: "i", Service: "s", Address: "127.0.0.1:1", Slots: 4})
	if leading {
		l.startLeading(l.clock())
	}
	l.publish()
	return l
}

// work does the periodic work after a message.
func (l *loop) work() {
	for service, machine := range l.machines {
		machine.Tick(l.clock())
		l.startCalls(service, machine, l.clock())
	}
	l.sendBatches(l.clock())
	l.nextReport, l.reportPending = 0, false
	tick{}.apply(l)
	l.directReadDelay()
	l.publish()
}

// applyMessage applies a message of the kind to a loop, as a peer may send it.
func applyMessage(l *loop, kind byte, text []byte) {
	switch kind % 7 {
	case 0:
		report := &peer.Report{}
		if json.Unmarshal(text, report) == nil {
			report.Leader = l.knownLeader // Another report is refused unread.
			reportReceived{report, make(chan peer.ReportResponse, 1)}.apply(l)
		}
	case 1:
		response := &peer.ReportResponse{}
		if json.Unmarshal(text, response) == nil {
			reportDone{response, nil}.apply(l)
			followerResponded{"127.0.0.1:1", response, nil, 0}.apply(l)
		}
	case 2:
		update := &peer.SpreadRequest{}
		if json.Unmarshal(text, update) == nil {
			spreadReceived{update}.apply(l)
		}
	case 3:
		request := &peer.FollowRequest{}
		if json.Unmarshal(text, request) == nil {
			leaderAnnounced{request, make(chan peer.FollowResponse, 1)}.apply(l)
		}
	case 4:
		response := &peer.FollowResponse{}
		if json.Unmarshal(text, response) == nil {
			followDone{"127.0.0.1:1", l.term, response, nil}.apply(l)
		}
	case 5:
		request := &peer.FenceRequest{}
		if json.Unmarshal(text, request) == nil {
			fenceReceived{request, make(chan bool, 1)}.apply(l)
		}
	default:
		response := &peer.YieldResponse{}
		if json.Unmarshal(text, response) == nil {
			yieldDone{keys.Leader{VM: "x", Incarnation: "x", Address: "127.0.0.1:1"}, l.term, response, nil}.apply(l)
		}
	}
}

// peerMessages are messages of each kind with values that no daemon sends.
var peerMessages = []struct {
	kind byte
	text string
}{
	{0, `null`},
	{0, `{"vm":"a","strength":1e308,"asked":{"s":[0,65535],"t":null},"servers":[{"id":"i","answers":-5,"mean_ms":1e308},{"id":"i","answers":9223372036854775807,"mean_ms":-1}],"change":18446744073709551615,"members":-1}`},
	{0, `{"vm":"a","limits":[{"server":"i","limited":true,"rate":1e308,"age_ms":-9223372036854775808,"demand":9223372036854775807,"sent":-9223372036854775808},{"rate":-1,"limited":true}],"gave_up":true,"gave_up_ago_ms":9223372036854775807}`},
	{0, `{"to_follower":true,"list_age_ms":-9223372036854775808}`},
	{1, `{}`},
	{1, `{"leading":true,"vms":9223372036854775807,"strongest":-1e308,"source":"x","all":true,"servers":[{"ID":"","Service":"s","Slots":-9,"Born":-1,"Address":"127.0.0.1:70000"},{"ID":"j","Service":"s","Slots":9223372036854775807,"WarmUp":-9223372036854775808}],"list_age_ms":-9223372036854775808}`},
	{1, `{"leading":true,"vms":1000000000,"source":"x","all":true,"servers":[{"ID":"j","Service":"s"},{"ID":"k","Service":"s"}]}`},
	{1, `{"leading":true,"limits":[{"server":"i","limited":true,"rate":1e308,"decided":true,"share":1e308},{"server":"i","limited":true,"rate":0,"decided":true,"share":-1}],"pages":[{"service":"s","page":{"number":3,"fence":18446744073709551615,"servers":[{"id":"i"}],"ranges":[[0,0,5]]}}]}`},
	{1, `{"leading":true,"pages":[{"service":"s","page":{"number":3,"ranges":[[],[1],[70000,0,1]]}},{"service":"s","version":4,"page":null},{"service":"s","version":5}],"distribution":{"followers":["","127.0.0.1:1"]},"record":{"packed":"H4sI","position":{"version":18446744073709551615}}}`},
	{2, `{"page":{"service":"s","base":{},"change":{"number":9,"fence":1,"longest_hold":9223372036854775807,"servers":[{"id":"i"}],"ranges":[[0,65535,0,1]]}}}`},
	{2, `{"page":{"service":"s","change":{"number":9,"ranges":[[5],[5,4,3],[65535,0,0,1]]}},"servers":{"packed":""},"record":{}}`},
	{2, `{"changes":{"source":"","base":0,"change":18446744073709551615,"gone":[{"id":""}]}}`},
	{3, `{"leader":{"vm":"x"},"term":{"era":18446744073709551615,"version":18446744073709551615},"pages":{"s":{"number":1}},"members":-1}`},
	{4, `{"former":{"leader":{"vm":"x","incarnation":"x","address":"127.0.0.1:1"},"term":{"version":18446744073709551615}},"pages":[{"service":"s"},{"service":"t","page":{"ranges":[[]]}}],"members":["",""]}`},
	{5, `{"leader":{"leader":{"vm":"x"},"term":{"era":18446744073709551615,"version":1}},"address":"","from":65535,"to":0,"fence":18446744073709551615}`},
	{6, `{"incarnation":"x","newest_pages":true,"pages":[{"service":"s","page":{"era":18446744073709551615,"number":18446744073709551615}}]}`},
}

func FuzzPeerMessagesEndNoProcess(f *testing.F) {
	for _, message := range peerMessages {
		f.Add(message.kind, []byte(message.text))
	}
	f.Fuzz(func(t *testing.T, kind byte, text []byte) {
		for _, leading := range []bool{false, true} {
			l := newServingLoop(t, leading)
			applyMessage(l, kind, text)
			l.work()
			if _, err := json.Marshal(l.leaderResponse(&peer.Report{VM: "b"})); err != nil {
				t.Fatalf("the leader can't respond to others any more: %v", err)
			}
			if _, err := json.Marshal(l.newReport()); err != nil {
				t.Fatalf("the daemon can't report any more: %v", err)
			}
		}
	})
}

func FuzzPagesEndNoProcess(f *testing.F) {
	f.Add([]byte(`{"fence":2,"servers":[{"id":"i","born":1,"address":"127.0.0.1:1"}],"ranges":[[0,0,1],[7,0,2,0,1]]}`))
	f.Add([]byte(`{"fence":18446744073709551615,"longest_hold":9223372036854775807,"servers":[{"id":"i"}],"ranges":[[0,0,18446744073709551615]]}`))
	f.Add([]byte(`{"ranges":[[0,0,0]]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		l := newServingLoop(t, true)
		pageRead{service: "s", entry: kvstore.Entry{Key: pagePrefix + "s", Value: value, Version: 3}}.apply(l)
		for range 50 {
			l.work()
		}
		page, err := keys.Decode(value)
		if err != nil {
			return
		}
		for _, key := range []uint16{0, 1, model.Keys - 1} {
			page.Find(key)
		}
	})
}
