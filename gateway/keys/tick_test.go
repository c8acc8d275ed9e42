package keys_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// BenchmarkTick measures one tick of a leader with many servers and with recent
// requests for many keys.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{87, 870} {
		b.Run(fmt.Sprintf("%d-servers", servers), func(b *testing.B) { benchmarkTick(b, servers) })
	}
}

func benchmarkTick(b *testing.B, servers int) {
	const requested = 10_000
	sim := newSimulation(1)
	for i := range servers {
		sim.addServer(fmt.Sprintf("i-%d", i), 1000)
	}
	m := sim.addLeader("a")
	sim.run(1500 * time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	warm := make([]uint16, requested)
	for at := range warm {
		warm[at] = uint16(random.IntN(model.Keys))
	}
	at := 0
	for b.Loop() {
		sim.now += tickInterval
		m.StepRequests(sim.now, warm[at:at+requested/100])
		at = (at + requested/100) % requested
		m.Tick(sim.now)
		m.Ready()
	}
}

// BenchmarkTakeoverTick measures one tick of a leader that has taken over a page whose
// ranges have prior holders that do not answer.
func BenchmarkTakeoverTick(b *testing.B) {
	for _, ranges := range []int{448, 1792} {
		b.Run(fmt.Sprintf("%d-ranges", ranges), func(b *testing.B) { benchmarkTakeoverTick(b, ranges) })
	}
}

func benchmarkTakeoverTick(b *testing.B, ranges int) {
	page, servers := takenOverPage(ranges)
	m := keys.NewMachine(keys.Options{Service: "s", Self: keys.Leader{VM: "b", Incarnation: "b"}, GrantTTL: 2500 * time.Millisecond, PredecessorTimeout: time.Hour})
	now := time.Second
	m.Lead(now, 1)
	m.StepServers(now, servers, true)
	m.Tick(now)
	m.StepRead(now, page, kvstore.Position{Era: 1, Version: 1})
	m.Tick(now)
	m.StepWritten(now, m.Ready().Write.Page.WriteID, kvstore.Position{Era: 1, Version: 2}, nil)
	for b.Loop() {
		now += 20 * time.Millisecond
		m.Tick(now)
		ready := m.Ready()
		for _, call := range ready.Grants {
			m.StepGranted(now, call, keys.Accepted, 1)
		}
		for _, call := range ready.Releases {
			m.StepReleased(now+call.Timeout, call, keys.ReleaseUnanswered, "")
		}
	}
}

// takenOverPage returns a page of another leader, and the servers that are listed: four ranges
// for each owner, and as many servers that have just lost ranges.
func takenOverPage(ranges int) (*keys.Page, []model.Server) {
	page := &keys.Page{Stamp: keys.Stamp{Era: 1, Number: 9}, Fence: 1 << 16, Writer: keys.Leader{VM: "a", Incarnation: "a"}}
	var servers []model.Server
	for at := range ranges / 4 {
		servers = append(servers, model.Server{ID: fmt.Sprintf("i-%d", at), Born: 1, Address: fmt.Sprintf("10.0.%d.%d:1", at/200, at%200)})
	}
	for at := range ranges {
		owner := servers[at%len(servers)]
		r := keys.Range{From: uint16(at * model.Keys / ranges), To: uint16((at+1)*model.Keys/ranges - 1)}
		r.Owner = keys.Holder{Incarnation: owner.Incarnation(), Address: owner.Address, Fence: 1}
		lost := at % len(servers)
		r.Prior = []keys.Holder{{Incarnation: model.Incarnation{ID: fmt.Sprintf("j-%d", lost), Born: 1}, Address: fmt.Sprintf("10.1.%d.%d:1", lost/200, lost%200), Fence: 1}}
		page.Ranges = append(page.Ranges, r)
	}
	return page, servers
}
