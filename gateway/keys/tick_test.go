package keys_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavacrank.example/gateway/model"
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
